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

void AdviceCallers::noteAlive(Timestamp now, const std::string &instance)
{
    this->callers[instance].aliveAt = now;
}

template<typename Visit>
void AdviceCallers::visitFree(Timestamp now, bool isLong, Visit visit) const
{
    const auto isAlive = [now](const auto &entry) { return now - entry.second.aliveAt < aliveFor; };
    const auto alive = static_cast<std::size_t>(std::count_if(this->callers.begin(), this->callers.end(), isAlive));
    const std::size_t shortOnly = alive > 1 ? (alive + shortOnlyShare - 1) / shortOnlyShare : 0;
    std::size_t number = 0;
    for (const auto &[name, caller] : this->callers) {
        if (now - caller.aliveAt >= aliveFor || caller.avoidedUntil > now) {
            continue;
        }
        const bool isShortOnly = number++ < shortOnly;
        if (!(isLong && isShortOnly) && caller.busyUntil <= now + longestWait) {
            visit(name, caller);
        }
    }
}

std::size_t AdviceCallers::freeForLong(Timestamp now) const
{
    std::size_t found = 0;
    this->visitFree(now, true, [&found](const std::string &, const Caller &) { ++found; });
    return found;
}

Duration AdviceCallers::timeForShort(Timestamp now) const
{
    Duration time;
    this->visitFree(now, false, [now, &time](const std::string &, const Caller &caller) { time += now + longestWait - std::max(now, caller.busyUntil); });
    return time;
}

AdviceChoice AdviceCallers::choose(Timestamp now, Duration cost)
{
    std::string best;
    Timestamp bestEnd = absl::InfiniteFuture();
    this->visitFree(now, cost > planning::longQuestionCost, [&](const std::string &name, const Caller &caller) {
        const Timestamp end = std::max(now, caller.busyUntil) + cost;
        if (end < bestEnd) {
            best = name;
            bestEnd = end;
        }
    });
    if (!best.empty()) {
        this->callers[best].busyUntil = bestEnd;
        ++this->callers[best].underWay;
    }
    return {best, bestEnd};
}

void AdviceCallers::noteEnd(Timestamp now, const std::string &instance, Duration)
{
    Caller &caller = this->callers[instance];
    caller.underWay = std::max(0, caller.underWay - 1);
    if (caller.underWay == 0) {
        caller.busyUntil = now;
    }
}

void AdviceCallers::noteFailure(Timestamp now, const std::string &instance)
{
    this->callers[instance].avoidedUntil = now + avoidedAfterFailure;
}

} // namespace paddlepier::cluster
