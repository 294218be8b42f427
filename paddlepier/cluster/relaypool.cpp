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

bool Carriers::noteAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation)
{
    const auto [entry, isNew] = this->carriers.try_emplace(instance);
    Carrier &carrier = entry->second;
    carrier.dataCentre = dataCentre;
    carrier.aliveAt = now;
    return std::exchange(carrier.incarnation, incarnation) == incarnation || isNew;
}

bool Carriers::Carrier::isAlive(Timestamp now) const
{
    return now - this->aliveAt <= aliveFor;
}

bool Carriers::isAlive(Timestamp now, const std::string &instance) const
{
    const auto carrier = this->carriers.find(instance);
    return carrier != this->carriers.end() && carrier->second.isAlive(now);
}

bool Carriers::noteFailure(Timestamp now, const std::string &instance)
{
    const auto carrier = this->carriers.find(instance);
    if (carrier == this->carriers.end() || carrier->second.avoidedUntil > now) {
        return false;
    }
    carrier->second.avoidedUntil = now + avoidedAfterFailure;
    return true;
}

void Carriers::noteUnreached(const std::string &worker)
{
    if (this->unreached.size() >= mostRemembered) {
        this->unreached.clear();
    }
    ++this->unreached[worker];
}

std::string Carriers::choose(Timestamp now, std::size_t workerCount, const std::string &worker, const std::string &dataCentre) const
{
    if (workerCount <= mostWorkersOfLeader) {
        return "";
    }
    const auto missed = this->unreached.find(worker);
    const std::uint32_t round = missed == this->unreached.end() ? 0 : missed->second;
    const std::string *best = nullptr;
    std::uint64_t mostWeight = 0;
    bool isBestNear = false;
    for (const auto &[instance, carrier] : this->carriers) {
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
