// Shares questions to the policy service out over the instances.

#include "paddlepier/cluster/advicecallers.h"

#include <algorithm>

namespace paddlepier::cluster
{

namespace
{

/** Instances show themselves every 300 ms; one that missed two isn't given questions. */
constexpr Duration aliveFor = absl::Milliseconds(800);

/** Questions over this cost are long: several short ones fit into it. */
constexpr Duration longCost = absl::Milliseconds(100);

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

AdviceChoice AdviceCallers::choose(Timestamp now, Duration cost)
{
    std::size_t alive = 0;
    for (const auto &[name, caller] : this->callers) {
        alive += now - caller.aliveAt < aliveFor ? 1 : 0;
    }
    const std::size_t shortOnly = alive > 1 ? (alive + shortOnlyShare - 1) / shortOnlyShare : 0;
    const bool isLong = cost > longCost;
    std::string best;
    Timestamp bestEnd = absl::InfiniteFuture();
    std::size_t number = 0;
    for (const auto &[name, caller] : this->callers) {
        if (now - caller.aliveAt >= aliveFor || caller.avoidedUntil > now) {
            continue;
        }
        const bool isShortOnly = number++ < shortOnly;
        if (isLong && isShortOnly) {
            continue;
        }
        const Timestamp end = std::max(now, caller.busyUntil) + cost;
        if (end < bestEnd && caller.busyUntil <= now + longestWait) {
            best = name;
            bestEnd = end;
        }
    }
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
