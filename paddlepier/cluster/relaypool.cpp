// Chooses the core instance that carries an order to a worker out.

#include "paddlepier/cluster/relaypool.h"

#include <xxhash.h>

#include <cstdint>
#include <utility>

namespace paddlepier::cluster
{

namespace
{

/** Workers that one process serves beside its decisions: a poll each half second and some two starts a second for each. */
constexpr std::size_t mostWorkersOfLeader = 100;

/** An instance that hasn't shown itself for this long carries nothing: four of its intervals. */
constexpr Duration aliveFor = absl::Milliseconds(900);

constexpr Duration avoidedAfterFailure = absl::Seconds(2);

/** Workers that weren't reached and are remembered; lives that are over are among them. */
constexpr std::size_t mostRemembered = 4096;

/** The same in every process and run. */
std::uint64_t weightOf(const std::string &instance, const std::string &worker, std::uint32_t round)
{
    return XXH64(worker.data(), worker.size(), XXH64(instance.data(), instance.size(), round));
}

} // namespace

bool RelayPool::markAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation)
{
    const auto [entry, isNew] = this->relays.try_emplace(instance);
    Relay &carrier = entry->second;
    carrier.dataCentre = dataCentre;
    carrier.lastSeenAt = now;
    return std::exchange(carrier.incarnation, incarnation) == incarnation || isNew;
}

bool RelayPool::Relay::isAlive(Timestamp now) const
{
    return now - this->lastSeenAt <= aliveFor;
}

bool RelayPool::isAlive(Timestamp now, const std::string &instance) const
{
    const auto carrier = this->relays.find(instance);
    return carrier != this->relays.end() && carrier->second.isAlive(now);
}

bool RelayPool::recordFailure(Timestamp now, const std::string &instance)
{
    const auto carrier = this->relays.find(instance);
    if (carrier == this->relays.end() || carrier->second.avoidedUntil > now) {
        return false;
    }
    carrier->second.avoidedUntil = now + avoidedAfterFailure;
    return true;
}

void RelayPool::recordUnreachable(const std::string &worker)
{
    if (this->unreachableCounts.size() >= mostRemembered) {
        this->unreachableCounts.clear();
    }
    ++this->unreachableCounts[worker];
}

std::string RelayPool::choose(Timestamp now, std::size_t workerCount, const std::string &worker, const std::string &dataCentre) const
{
    if (workerCount <= mostWorkersOfLeader) {
        return "";
    }
    const auto missed = this->unreachableCounts.find(worker);
    const std::uint32_t round = missed == this->unreachableCounts.end() ? 0 : missed->second;
    const std::string *best = nullptr;
    std::uint64_t mostWeight = 0;
    bool isBestNear = false;
    for (const auto &[instance, carrier] : this->relays) {
        if (!carrier.isAlive(now) || carrier.avoidedUntil > now) {
            continue;
        }
        // The highest weight wins, so that an instance that comes or goes moves its own workers alone.
        const std::uint64_t weight = weightOf(instance, worker, round);
        const bool isNear = carrier.dataCentre == dataCentre && round % 2 == 0;
        if (best == nullptr || (isNear && !isBestNear) || (isNear == isBestNear && weight > mostWeight)) {
            best = &instance;
            mostWeight = weight;
            isBestNear = isNear;
        }
    }
    return best == nullptr ? "" : *best;
}

} // namespace paddlepier::cluster
