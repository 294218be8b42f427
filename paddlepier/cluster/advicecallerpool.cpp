// Distributes requests to the policy service over the instances.

#include "paddlepier/cluster/advicecallerpool.h"

#include "paddlepier/planning/advicecache.h"

#include <algorithm>

namespace paddlepier::cluster
{

namespace
{

/** Instances report their presence every 300 ms; one that missed two reports gets no requests. */
constexpr Duration livenessTimeout = absl::Milliseconds(800);

/** One of this many callers is reserved for short requests, rounded up. */
constexpr std::size_t callersPerShortOnly = 4;

/** Longest time that a request may queue behind others: about half the cost of a long one. */
constexpr Duration maxQueueingTime = absl::Milliseconds(250);

constexpr Duration failureAvoidanceTime = absl::Seconds(1);

} // namespace

void AdviceCallerPool::markAlive(Timestamp now, const std::string &instance)
{
    this->callers[instance].lastSeenAt = now;
}

template<typename Visit>
void AdviceCallerPool::forEachAvailable(Timestamp now, bool isLong, Visit visit) const
{
    const auto isAlive = [now](const auto &entry) { return now - entry.second.lastSeenAt < livenessTimeout; };
    const auto alive = static_cast<std::size_t>(std::count_if(this->callers.begin(), this->callers.end(), isAlive));
    const std::size_t shortOnly = alive > 1 ? (alive + callersPerShortOnly - 1) / callersPerShortOnly : 0;
    std::size_t number = 0;
    for (const auto &[name, caller] : this->callers) {
        if (now - caller.lastSeenAt >= livenessTimeout || caller.avoidedUntil > now) {
            continue;
        }
        const bool isShortOnly = number++ < shortOnly;
        if (!(isLong && isShortOnly) && caller.busyUntil <= now + maxQueueingTime) {
            visit(name, caller);
        }
    }
}

std::size_t AdviceCallerPool::availableForLong(Timestamp now) const
{
    std::size_t found = 0;
    this->forEachAvailable(now, true, [&found](const std::string &, const Caller &) { ++found; });
    return found;
}

Duration AdviceCallerPool::timeAvailableForShort(Timestamp now) const
{
    Duration time;
    this->forEachAvailable(
        now, false, [now, &time](const std::string &, const Caller &caller) { time += now + maxQueueingTime - std::max(now, caller.busyUntil); });
    return time;
}

AssignedCaller AdviceCallerPool::assignCaller(Timestamp now, Duration cost)
{
    std::string best;
    Timestamp bestEnd = absl::InfiniteFuture();
    this->forEachAvailable(now, cost > planning::longRequestThreshold, [&](const std::string &name, const Caller &caller) {
        const Timestamp end = std::max(now, caller.busyUntil) + cost;
        if (end < bestEnd) {
            best = name;
            bestEnd = end;
        }
    });
    if (!best.empty()) {
        this->callers[best].busyUntil = bestEnd;
        ++this->callers[best].inFlight;
    }
    return {best, bestEnd};
}

void AdviceCallerPool::recordCompletion(Timestamp now, const std::string &instance, Duration)
{
    Caller &caller = this->callers[instance];
    caller.inFlight = std::max(0, caller.inFlight - 1);
    if (caller.inFlight == 0) {
        caller.busyUntil = now;
    }
}

void AdviceCallerPool::recordFailure(Timestamp now, const std::string &instance)
{
    this->callers[instance].avoidedUntil = now + failureAvoidanceTime;
}

} // namespace paddlepier::cluster
