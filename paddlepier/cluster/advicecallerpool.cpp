// Shares questions to the policy service out over the instances.

#include "paddlepier/cluster/advicecallerpool.h"

#include "paddlepier/planning/advicecache.h"

#include <algorithm>

namespace paddlepier::cluster
{

namespace
{

/** Instances show themselves every 300 ms; one that missed two isn't given questions. */
constexpr Duration aliveFor = absl::Milliseconds(800);

/** Of four callers one is kept for short questions, rounded up. */
constexpr std::size_t shortOnlyShare = 4;

/** Longest time that a question may wait behind others: about half of a long one. */
constexpr Duration longestWait = absl::Milliseconds(250);

constexpr Duration avoidedAfterFailure = absl::Seconds(1);

} // namespace

void AdviceCallerPool::markAlive(Timestamp now, const std::string &instance)
{
    this->callers[instance].lastSeenAt = now;
}

template<typename Visit>
void AdviceCallerPool::forEachAvailable(Timestamp now, bool isLong, Visit visit) const
{
    const auto isAlive = [now](const auto &entry) { return now - entry.second.lastSeenAt < aliveFor; };
    const auto alive = static_cast<std::size_t>(std::count_if(this->callers.begin(), this->callers.end(), isAlive));
    const std::size_t shortOnly = alive > 1 ? (alive + shortOnlyShare - 1) / shortOnlyShare : 0;
    std::size_t number = 0;
    for (const auto &[name, caller] : this->callers) {
        if (now - caller.lastSeenAt >= aliveFor || caller.avoidedUntil > now) {
            continue;
        }
        const bool isShortOnly = number++ < shortOnly;
        if (!(isLong && isShortOnly) && caller.busyUntil <= now + longestWait) {
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
        now, false, [now, &time](const std::string &, const Caller &caller) { time += now + longestWait - std::max(now, caller.busyUntil); });
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
    this->callers[instance].avoidedUntil = now + avoidedAfterFailure;
}

} // namespace paddlepier::cluster
