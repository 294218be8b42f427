// Chooses the core instance that relays an order to a worker.

#include "paddlepier/cluster/relaypool.h"

#include <xxhash.h>

#include <cstdint>
#include <utility>

namespace paddlepier::cluster
{

namespace
{

/** Workers that the leader's process can serve beside its decisions, at one poll each half second and some two starts a second per worker. */
constexpr std::size_t maxWorkersOfLeader = 100;

/** An instance that hasn't reported its presence for four intervals relays nothing. */
constexpr Duration livenessTimeout = absl::Milliseconds(900);

constexpr Duration failureAvoidanceTime = absl::Seconds(2);

/** Bound on remembered unreachable workers, which may include workers that no longer exist. */
constexpr std::size_t maxUnreachableWorkers = 4096;

/** Must be the same in every process and run. */
std::uint64_t weightOf(const std::string &instance, const std::string &worker, std::uint32_t round)
{
    return XXH64(worker.data(), worker.size(), XXH64(instance.data(), instance.size(), round));
}

} // namespace

bool RelayPool::markAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation)
{
    const auto [entry, isNew] = this->relays.try_emplace(instance);
    Relay &relay = entry->second;
    relay.dataCentre = dataCentre;
    relay.lastSeenAt = now;
    return std::exchange(relay.incarnation, incarnation) == incarnation || isNew;
}

bool RelayPool::Relay::isAlive(Timestamp now) const
{
    return now - this->lastSeenAt <= livenessTimeout;
}

bool RelayPool::isAlive(Timestamp now, const std::string &instance) const
{
    const auto relay = this->relays.find(instance);
    return relay != this->relays.end() && relay->second.isAlive(now);
}

bool RelayPool::recordFailure(Timestamp now, const std::string &instance)
{
    const auto relay = this->relays.find(instance);
    if (relay == this->relays.end() || relay->second.avoidedUntil > now) {
        return false;
    }
    relay->second.avoidedUntil = now + failureAvoidanceTime;
    return true;
}

void RelayPool::recordUnreachable(const std::string &worker)
{
    if (this->unreachableCounts.size() >= maxUnreachableWorkers) {
        this->unreachableCounts.clear();
    }
    ++this->unreachableCounts[worker];
}

std::string RelayPool::choose(Timestamp now, std::size_t workerCount, const std::string &worker, const std::string &dataCentre) const
{
    if (workerCount <= maxWorkersOfLeader) {
        return "";
    }
    const auto failures = this->unreachableCounts.find(worker);
    const std::uint32_t round = failures == this->unreachableCounts.end() ? 0 : failures->second;
    const std::string *best = nullptr;
    std::uint64_t bestWeight = 0;
    bool isBestNear = false;
    for (const auto &[instance, relay] : this->relays) {
        if (!relay.isAlive(now) || relay.avoidedUntil > now) {
            continue;
        }
        // Rendezvous hashing: the highest weight wins, so that adding or removing an instance reassigns only its own workers.
        const std::uint64_t weight = weightOf(instance, worker, round);
        const bool isNear = relay.dataCentre == dataCentre && round % 2 == 0;
        if (best == nullptr || (isNear && !isBestNear) || (isNear == isBestNear && weight > bestWeight)) {
            best = &instance;
            bestWeight = weight;
            isBestNear = isNear;
        }
    }
    return best == nullptr ? "" : *best;
}

} // namespace paddlepier::cluster
