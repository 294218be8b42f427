// What a leader knows about one worker's life.

#include "paddlepier/execution/workerview.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** Added to every wait for a lease to run out, for rounding and the way of the order. */
constexpr Duration leaseMargin = absl::Milliseconds(300);

/**
 * A reading of the clock so far before an earlier one isn't just an answer that was overtaken: every life has a clock of its own, and
 * another one may be there.
 */
constexpr std::int64_t strangeClockMillis = 3000;

/** Pause after a silent call, times the number in a row. */
constexpr Duration silencePause = absl::Milliseconds(100);
constexpr Duration longestSilencePause = absl::Milliseconds(300);

/**
 * A worker that has said when it leaves, and is silent after that, is gone; so is probably one that has neither answered nor announced
 * itself for twice as long as a cut usually lasts (5 s). It is asked seldom: 77 of 1,100 workers that were taken away cost 250 polls a
 * second otherwise, on the instance whose decisions everybody waits for. Its next announcement has it asked at once.
 */
constexpr Duration leftPatience = absl::Seconds(1);
constexpr Duration gonePatience = absl::Seconds(10);
constexpr Duration gonePause = absl::Seconds(2);

/** A worker that fails its runs gets none for this time, doubled with each further failure. */
constexpr Duration shortestTimeOut = absl::Milliseconds(500);
constexpr std::uint32_t mostDoublings = 4;

Duration slowed(Duration duration)
{
    return duration * (1000 + clockSlowPerMille) / 1000;
}

} // namespace

WorkerView::WorkerView(Timestamp termBegin, Duration longestLease, const Duration *pausesOfProcess)
    : knownSince(termBegin)
    , announcedAt(termBegin)
    , earlierLeasesExpireAt(termBegin + slowed(longestLease) + leaseMargin)
    , clockReadAt(termBegin)
    , processPauses(pausesOfProcess)
{
}

void WorkerView::recordFailedRun(Timestamp now)
{
    ++this->consecutiveFailures;
    const std::uint32_t doublings = std::min(this->consecutiveFailures, mostDoublings);
    this->suspectUntil = now + shortestTimeOut * (1U << doublings);
}

void WorkerView::recordDoneRun()
{
    this->consecutiveFailures = 0;
}

void WorkerView::recordAnswer(Timestamp now, std::optional<std::int64_t> clock)
{
    this->answeredAt = now;
    this->consecutiveFailedCalls = 0;
    if (clock && this->clockMillis && *clock + strangeClockMillis < *this->clockMillis) {
        this->listedAt = absl::InfinitePast();
    }
    // Answers may overtake each other; the greatest reading relative to its age is the nearest to the truth.
    if (clock && (!this->clockMillis || *clock >= *this->clockMillis)) {
        this->clockMillis = clock;
        this->clockReadAt = now;
    }
}

void WorkerView::recordListing(Timestamp now)
{
    this->listedAt = now;
}

void WorkerView::recordSuccessor(Timestamp now, Duration longestLease)
{
    this->isFenced = true;
    this->earlierLeasesExpireAt = std::max(this->earlierLeasesExpireAt, now + slowed(longestLease) + leaseMargin);
}

bool WorkerView::isIncarnationConfirmed(Timestamp now) const
{
    return this->listedAt + incarnationConfirmedFor >= now;
}

void WorkerView::recordFailedCall(Timestamp now)
{
    this->listedAt = absl::InfinitePast();
    ++this->consecutiveFailedCalls;
    const Duration pause = std::min(longestSilencePause, silencePause * this->consecutiveFailedCalls);
    this->nextPoll = now + (this->isLikelyGone(now) ? gonePause : pause);
}

bool WorkerView::isLikelyGone(Timestamp now) const
{
    const bool hasLeft = this->leavesAt + leftPatience < now;
    return hasLeft || std::max({this->knownSince, this->announcedAt, this->answeredAt}) + gonePatience < now;
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
    return now > this->clockReadAt + slowed(left) + leaseMargin;
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
    const auto take = [now, &next](Timestamp at) { next = at > now ? std::min(next, at) : next; };
    take(this->startsBlockedUntil);
    take(this->suspectUntil);
    for (const auto &[call, due] : this->answerDeadlines) {
        // It is overdue after that time, not at it.
        take(due + this->totalPause() + absl::Nanoseconds(1));
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
