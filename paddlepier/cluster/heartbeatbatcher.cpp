// Answers announcements of workers that tell nothing new on replicas that don't lead.

#include "paddlepier/cluster/heartbeatbatcher.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace paddlepier::cluster
{

bool HeartbeatRelay::absorb(const workload::Workload &state, const work::AnnounceCallT &call)
{
    const work::RegisterWorkerT &registration = *call.registration;
    const workload::Worker *known = state.findLatestWorker(registration.id);
    const bool isHeld = known != nullptr && workload::lifeOf(known->registration) == workload::lifeOf(registration)
                        && workload::isSameRegistration(known->registration, registration);
    if (!isHeld || registration.isDraining || call.sequence < known->registration.sequence) {
        return false;
    }
    std::uint64_t &newest = this->sequences[workload::lifeOf(registration)];
    newest = std::max(newest, call.sequence);
    return true;
}

bool HeartbeatRelay::isEmpty() const
{
    return this->sequences.empty();
}

work::HeartbeatsCallT HeartbeatRelay::take()
{
    work::HeartbeatsCallT call;
    for (const auto &[life, sequence] : std::exchange(this->sequences, {})) {
        auto &heartbeat = call.heartbeats.emplace_back(std::make_unique<work::HeartbeatT>());
        heartbeat->worker = life.id;
        heartbeat->born = life.born;
        heartbeat->sequence = sequence;
    }
    return call;
}

} // namespace paddlepier::cluster
