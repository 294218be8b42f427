// Tracks the clock, the leases and the responsiveness of one incarnation of a worker.

#include "paddlepier/execution/workerview.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** Added to every wait for a lease to expire, for rounding and the transit time of the order. */
constexpr Duration leaseMargin = absl::Milliseconds(300);

/**
 * A clock reading that is this far behind an earlier one isn't explained by answers that overtook each other. Every incarnation has its own clock, so
 * that another one may be there.
 */
constexpr std::int64_t maxClockStepBackMillis = 3000;

/** Pause before the next poll after a failed call, times the number of failed calls in a row. */
constexpr Duration failedCallPause = absl::Milliseconds(100);
constexpr Duration maxFailedCallPause = absl::Milliseconds(300);

/**
 * A worker that is unresponsive after the time at which it announced to leave is considered gone, and so is one that has neither answered nor
 * announced itself for twice as long as a network partition usually lasts (5 s). It is polled rarely: polling 77 of 1,100 workers that were taken
 * away cost 250 polls a second, on the instance that makes all placement decisions. Its next announcement triggers a poll at once.
 */
constexpr Duration leaveTimeout = absl::Seconds(1);
constexpr Duration goneTimeout = absl::Seconds(10);
constexpr Duration gonePollPause = absl::Seconds(2);

/** A worker that fails its runs is suspected for this time, doubled with each further failure. */
constexpr Duration minSuspicionTime = absl::Milliseconds(500);
constexpr std::uint32_t maxDoublings = 4;
constexpr std::uint32_t maxDoublingsWithoutAlternative = 2;

/** An answer may be lost, and a worker may execute some orders late; several orders in a row over this time are more than that. */
constexpr std::uint32_t minUnansweredOrders = 3;
constexpr Duration orderSilenceTime = absl::Seconds(2);

Duration onSlowClock(Duration duration)
{
    return duration * (1000 + clockSlowPerMille) / 1000;
}

} // namespace

WorkerView::WorkerView(Timestamp termBegin, Duration maxLease, const Duration *pausesOfProcess)
    : knownSince(termBegin)
    , announcedAt(termBegin)
    , earlierLeasesExpireAt(termBegin + onSlowClock(maxLease) + leaseMargin)
    , clockReadAt(termBegin)
    , processPauses(pausesOfProcess)
{
}

void WorkerView::recordFailedRun(Timestamp now, const workload::StepKey &step, bool hasAlternative)
{
    ++this->failuresByStep[step];
    ++this->consecutiveFailures;
    this->lastFailureAt = now;
    const std::uint32_t doublings = std::min(this->consecutiveFailures, hasAlternative ? maxDoublings : maxDoublingsWithoutAlternative);
    this->suspectUntil = now + minSuspicionTime * (1U << doublings);
}

void WorkerView::recordDoneRun()
{
    this->consecutiveFailures = 0;
    this->failuresByStep.clear();
}

void WorkerView::retractFailedRuns(const workload::StepKey &step)
{
    this->consecutiveFailures -= this->failuresOf(step);
    this->failuresByStep.erase(step);
}

bool WorkerView::isSuspended(Timestamp now) const
{
    return this->consecutiveFailures > 0 && now < this->suspectUntil;
}

std::uint32_t WorkerView::failuresOf(const workload::StepKey &step) const
{
    const auto found = this->failuresByStep.find(step);
    return found == this->failuresByStep.end() ? 0 : found->second;
}

void WorkerView::recordAnswer(Timestamp now, std::optional<std::int64_t> clock)
{
    this->answeredAt = now;
    this->consecutiveFailedCalls = 0;
    if (clock && this->clockMillis && *clock + maxClockStepBackMillis < *this->clockMillis) {
        this->listedAt = absl::InfinitePast();
    }
    // Answers may overtake each other; the greatest reading relative to its age is the most accurate.
    if (clock && (!this->clockMillis || *clock >= *this->clockMillis)) {
        this->clockMillis = clock;
        this->clockReadAt = now;
    }
}

void WorkerView::recordListing(Timestamp now)
{
    this->listedAt = now;
}

void WorkerView::recordSuccessor(Timestamp now, Duration maxLease)
{
    this->isFenced = true;
    this->earlierLeasesExpireAt = std::max(this->earlierLeasesExpireAt, now + onSlowClock(maxLease) + leaseMargin);
}

bool WorkerView::isIncarnationConfirmed(Timestamp now) const
{
    return this->listedAt + incarnationConfirmedFor >= now;
}

void WorkerView::recordFailedCall(Timestamp now)
{
    this->listedAt = absl::InfinitePast();
    ++this->consecutiveFailedCalls;
    const Duration pause = std::min(maxFailedCallPause, failedCallPause * this->consecutiveFailedCalls);
    this->nextPoll = now + (this->isLikelyGone(now) ? gonePollPause : pause);
}

void WorkerView::recordOrder(Timestamp now, bool isAnswered)
{
    this->unansweredOrders = isAnswered ? 0 : this->unansweredOrders + 1;
    this->ordersUnansweredSince = isAnswered ? absl::InfiniteFuture() : std::min(this->ordersUnansweredSince, now);
}

bool WorkerView::ignoresOrders(Timestamp now) const
{
    return this->unansweredOrders >= minUnansweredOrders && now - this->ordersUnansweredSince >= orderSilenceTime;
}

bool WorkerView::isLikelyGone(Timestamp now) const
{
    const bool hasLeft = this->leavesAt + leaveTimeout < now;
    return hasLeft || std::max({this->knownSince, this->announcedAt, this->answeredAt}) + goneTimeout < now;
}

std::int64_t WorkerView::leaseEnd(Timestamp now, Duration lease) const
{
    if (!this->clockMillis) {
        return 0;
    }
    return *this->clockMillis + absl::ToInt64Milliseconds(now - this->clockReadAt) + absl::ToInt64Milliseconds(lease);
}

void WorkerView::recordLease(std::int64_t endOnWorkerClock)
{
    this->latestLeaseEnd = std::max(this->latestLeaseEnd, endOnWorkerClock);
}

bool WorkerView::hasLeaseExpired(Timestamp now) const
{
    if (now < this->earlierLeasesExpireAt) {
        return false;
    }
    if (this->latestLeaseEnd == 0) {
        return true;
    }
    const Duration left = absl::Milliseconds(this->latestLeaseEnd - *this->clockMillis);
    return now > this->clockReadAt + onSlowClock(left) + leaseMargin;
}

bool WorkerView::isReachable() const
{
    return this->hasClock() && this->consecutiveFailedCalls == 0 && !this->isFenced;
}

bool WorkerView::isUnresponsive() const
{
    return this->consecutiveFailedCalls > 0;
}

void WorkerView::recordCall(std::uint64_t call, Timestamp due)
{
    this->answerDeadlines[call] = due - this->totalPause();
}

void WorkerView::recordCallEnd(std::uint64_t call)
{
    this->answerDeadlines.erase(call);
}

Duration WorkerView::totalPause() const
{
    return this->processPauses == nullptr ? absl::ZeroDuration() : *this->processPauses;
}

bool WorkerView::isOverdue(Timestamp now) const
{
    const Timestamp activeNow = now - this->totalPause();
    return std::any_of(this->answerDeadlines.begin(), this->answerDeadlines.end(), [activeNow](const auto &entry) { return entry.second < activeNow; });
}

Timestamp WorkerView::nextTimedChange(Timestamp now) const
{
    Timestamp next = absl::InfiniteFuture();
    const auto consider = [now, &next](Timestamp at) { next = at > now ? std::min(next, at) : next; };
    consider(this->startsBlockedUntil);
    consider(this->suspectUntil);
    for (const auto &[call, due] : this->answerDeadlines) {
        // It is overdue after that time, not at it.
        consider(due + this->totalPause() + absl::Nanoseconds(1));
    }
    return next;
}

bool WorkerView::hasClock() const
{
    return this->clockMillis.has_value();
}

Timestamp WorkerView::lastAnswerAt() const
{
    return this->answeredAt;
}

} // namespace paddlepier::execution
