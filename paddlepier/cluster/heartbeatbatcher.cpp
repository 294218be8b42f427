// Answers workers' announcements that contain nothing new on replicas that aren't the leader, and collects them for the
// leader.

#include "paddlepier/cluster/heartbeatbatcher.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace paddlepier::cluster
{

bool HeartbeatBatcher::absorb(const workload::Workload &state, const work::AnnounceCallT &call)
{
    const work::RegisterWorkerT &registration = *call.registration;
    const workload::Worker *known = state.findLatestWorker(registration.id);
    const bool isKnown = known != nullptr && workload::incarnationOf(known->registration) == workload::incarnationOf(registration)
                         && workload::isSameRegistration(known->registration, registration);
    // A draining worker reports its remaining drain time, which a heartbeat doesn't contain. An announcement older than the registration is
    // stale; the leader answers it without recording it.
    if (!isKnown || registration.isDraining || call.sequence < known->registration.sequence) {
        return false;
    }
    std::uint64_t &newest = this->sequences[workload::incarnationOf(registration)];
    newest = std::max(newest, call.sequence);
    return true;
}

bool HeartbeatBatcher::isEmpty() const
{
    return this->sequences.empty();
}

work::HeartbeatsCallT HeartbeatBatcher::drain()
{
    work::HeartbeatsCallT call;
    for (const auto &[incarnation, sequence] : std::exchange(this->sequences, {})) {
        auto &heartbeat = call.heartbeats.emplace_back(std::make_unique<work::HeartbeatT>());
        heartbeat->worker = incarnation.id;
        heartbeat->born = incarnation.born;
        heartbeat->sequence = sequence;
    }
    return call;
}

} // namespace paddlepier::cluster
