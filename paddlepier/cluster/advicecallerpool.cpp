// Distributes requests to the policy service over the instances.

#include "paddlepier/cluster/advicecallerpool.h"

#include "paddlepier/planning/advicecache.h"

#include <algorithm>
#include <cmath>
#include <tuple>

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

/**
 * Bound on a measured overhead, which is also that of a request without an answer. One such request moves the mean by an eighth of a second: more
 * than the pause of a throttled process (100 ms), so that the caller ranks behind those that answer.
 */
constexpr Duration maxOverhead = absl::Milliseconds(500);

/** Weight of the previous mean when the next answer arrives immediately after; it halves with the time between them. */
constexpr double previousWeight = 0.75;
constexpr Duration overheadHalfLife = absl::Seconds(5);

/** Callers whose expected answers differ by no more than this, or than this share of the request's cost, are used in turn. */
constexpr Duration minTolerance = absl::Milliseconds(5);
constexpr std::int64_t toleranceDivisor = 20;

/** Share of a measurement that is left at @p now. */
double remainingWeight(Timestamp now, Timestamp measuredAt)
{
    return std::exp2(-absl::FDivDuration(std::max(now - measuredAt, absl::ZeroDuration()), overheadHalfLife));
}

} // namespace

void AdviceCallerPool::markAlive(Timestamp now, const std::string &instance)
{
    this->callers[instance].lastSeenAt = now;
}

Duration AdviceCallerPool::expectedOverhead(Timestamp now, const Caller &caller, bool isLong)
{
    const Overhead &learned = isLong ? caller.longOverhead : caller.shortOverhead;
    return learned.mean * remainingWeight(now, learned.measuredAt);
}

Timestamp AdviceCallerPool::queueEnd(Timestamp now, const Caller &caller)
{
    // A request that is overdue by some time is expected to take as much again.
    const bool isOverdue = caller.inFlight > 0 && caller.busyUntil < now;
    return isOverdue ? now + (now - caller.busyUntil) : std::max(now, caller.busyUntil);
}

std::vector<const AdviceCallerPool::NamedCaller *> AdviceCallerPool::findAvailable(Timestamp now, bool isLong) const
{
    std::size_t alive = 0;
    std::vector<const NamedCaller *> available;
    for (const NamedCaller &entry : this->callers) {
        if (now - entry.second.lastSeenAt >= livenessTimeout) {
            continue;
        }
        ++alive;
        if (entry.second.avoidedUntil <= now && queueEnd(now, entry.second) <= now + maxQueueingTime) {
            available.push_back(&entry);
        }
    }
    if (!isLong || alive <= 1) {
        return available;
    }
    // The callers that serve short requests best are reserved for them, of those without a long request. Equal ones change with each
    // request: those used last are reserved.
    const auto isReservedBefore = [now](const NamedCaller *left, const NamedCaller *right) {
        const auto rank = [now](const Caller &caller) {
            return std::tuple(caller.longInFlight > 0, expectedOverhead(now, caller, false), ~caller.lastRequest);
        };
        return rank(left->second) < rank(right->second);
    };
    std::stable_sort(available.begin(), available.end(), isReservedBefore);
    const auto firstWithLong = std::find_if(available.begin(), available.end(), [](const NamedCaller *entry) { return entry->second.longInFlight > 0; });
    const std::size_t shortOnly = (alive + callersPerShortOnly - 1) / callersPerShortOnly;
    const auto reserved = std::min<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(shortOnly), firstWithLong - available.begin());
    available.erase(available.begin(), available.begin() + reserved);
    return available;
}

std::size_t AdviceCallerPool::availableForLong(Timestamp now) const
{
    return this->findAvailable(now, true).size();
}

Duration AdviceCallerPool::timeAvailableForShort(Timestamp now) const
{
    Duration time;
    for (const NamedCaller *entry : this->findAvailable(now, false)) {
        time += now + maxQueueingTime - queueEnd(now, entry->second);
    }
    return time;
}

AssignedCaller AdviceCallerPool::assignCaller(Timestamp now, Duration cost)
{
    const bool isLong = cost > planning::longRequestThreshold;
    const std::vector<const NamedCaller *> available = this->findAvailable(now, isLong);
    const auto answerAt = [now, isLong](const NamedCaller *entry) { return queueEnd(now, entry->second) + expectedOverhead(now, entry->second, isLong); };
    Timestamp latest = absl::InfiniteFuture();
    for (const NamedCaller *entry : available) {
        latest = std::min(latest, answerAt(entry) + std::max(minTolerance, cost / toleranceDivisor));
    }
    const NamedCaller *best = nullptr;
    for (const NamedCaller *entry : available) {
        if (answerAt(entry) <= latest && (best == nullptr || entry->second.lastRequest < best->second.lastRequest)) {
            best = entry;
        }
    }
    if (best == nullptr) {
        return {};
    }
    Caller &caller = this->callers.at(best->first);
    caller.busyUntil = queueEnd(now, caller) + cost;
    caller.lastRequest = ++this->requests;
    ++caller.inFlight;
    caller.longInFlight += isLong ? 1 : 0;
    return {best->first, caller.busyUntil, isLong};
}

AdviceCallerPool::Caller &AdviceCallerPool::endRequest(Timestamp now, const AssignedCaller &assigned, Duration overhead)
{
    Caller &caller = this->callers[assigned.instance];
    caller.inFlight = std::max(0, caller.inFlight - 1);
    caller.longInFlight = std::max(0, caller.longInFlight - (assigned.isLong ? 1 : 0));
    if (caller.inFlight == 0) {
        caller.busyUntil = now;
    }
    Overhead &learned = assigned.isLong ? caller.longOverhead : caller.shortOverhead;
    const double kept = previousWeight * remainingWeight(now, learned.measuredAt);
    learned.mean = learned.mean * kept + overhead * (1 - kept);
    learned.measuredAt = now;
    return caller;
}

Duration AdviceCallerPool::recordAnswer(Timestamp now, const AssignedCaller &assigned)
{
    const Duration overhead = std::clamp(now - assigned.expectedAt, absl::ZeroDuration(), maxOverhead);
    this->endRequest(now, assigned, overhead);
    return overhead;
}

void AdviceCallerPool::recordFailure(Timestamp now, const AssignedCaller &assigned)
{
    this->endRequest(now, assigned, maxOverhead).avoidedUntil = now + failureAvoidanceTime;
}

Duration AdviceCallerPool::overheadOf(Timestamp now, const std::string &instance, bool isLong) const
{
    const auto found = this->callers.find(instance);
    return found == this->callers.end() ? absl::ZeroDuration() : expectedOverhead(now, found->second, isLong);
}

} // namespace paddlepier::cluster
