// Volatile state that a leader keeps about one incarnation of a worker: its clock, its lease, and how it responds.
//
// The view is created anew in each term. The worker's clock is derived from its answers; it may run up to `clockSlowPerMille` slow.
// hasLeaseExpired() returns true only when every lease that this leader or an earlier one can have granted has expired on that clock.
//
// Thread safety: none; owned by the dispatcher.

#ifndef PADDLEPIER_EXECUTION_WORKERVIEW_H
#define PADDLEPIER_EXECUTION_WORKERVIEW_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/pacecontrol.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/taskkey.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace paddlepier::execution
{

/** Workers' clocks may run this much slow: 2 % as stated by the users' platform, and 1 % for the clock of this process. */
constexpr std::int64_t clockSlowPerMille = 30;

/** A healthy worker answers within some 10 ms. A worker whose answer takes longer than this gets no further work until it answers. */
constexpr Duration minAnswerTimeout = absl::Milliseconds(250);

enum class PollState { Idle, InFlight, RecordingEnds };

/**
 * For this long after an answer, the next poll is certain to reach the same incarnation: much shorter than a worker takes to restart, to be given a
 * task and to end it.
 */
constexpr Duration incarnationConfirmedFor = absl::Milliseconds(250);

class WorkerView
{
public:
    /**
     * @param maxLease        upper bound that the worker itself puts on a lease
     * @param pausesOfProcess total time for which this process has been paused; outlives the view; null for none. Answers are due
     *                        that much later
     */
    WorkerView(Timestamp termBegin, Duration maxLease, const Duration *pausesOfProcess = nullptr);

    /**
     * A run of @p step has failed or stalled, and the worker may be the cause.
     *
     * @param hasAlternative  other workers can take its work meanwhile; if none can, a long suspension helps nobody
     */
    void recordFailedRun(Timestamp now, const workload::StepKey &step, bool hasAlternative);
    void recordDoneRun();
    /** The worker wasn't the cause of the failures of @p step. */
    void retractFailedRuns(const workload::StepKey &step);
    /** Failed runs of @p step since the last run that was done. */
    std::uint32_t failuresOf(const workload::StepKey &step) const;
    /** A complete answer has arrived. */
    void recordAnswer(Timestamp now, std::optional<std::int64_t> clockMillis);
    /** The worker has listed its runs, which proves that it was this incarnation that answered. */
    void recordListing(Timestamp now);
    /** A call has ended without a complete answer. */
    void recordFailedCall(Timestamp now);
    /** Whether the worker has answered an order other than a poll. */
    void recordOrder(Timestamp now, bool isAnswered);
    /**
     * True if the worker has answered no order for a while, whatever its answers to polls say: nothing can be started or stopped there. An answer
     * to a poll proves that the worker runs, and not that orders reach it.
     */
    bool ignoresOrders(Timestamp now) const;
    /**
     * A later incarnation under the same id is known. No more calls are sent to this one; orders in flight, and the leases that they grant, may reach
     * the later one.
     */
    void recordSuccessor(Timestamp now, Duration maxLease);

    /**
     * True if what is sent now reaches this incarnation and no later one under its id, so that ends may be acknowledged. A later incarnation would
     * discard its own ends by those numbers, and they would never be recorded.
     */
    bool isIncarnationConfirmed(Timestamp now) const;

    /** The end, on the worker's clock, of a lease of length @p lease from now; 0 while that clock isn't known. */
    std::int64_t leaseEnd(Timestamp now, Duration lease) const;
    void recordLease(std::int64_t endOnWorkerClock);
    bool hasLeaseExpired(Timestamp now) const;

    bool isReachable() const;
    /** The newest call got no answer. */
    bool isUnresponsive() const;

    /** A call was sent whose answer is due by @p due. */
    void recordCall(std::uint64_t call, Timestamp due);
    void recordCallEnd(std::uint64_t call);
    /** True if runs have failed there and the worker isn't tested yet. */
    bool isSuspended(Timestamp now) const;
    /** True if an answer is overdue, so that the worker may be cut off. Detected long before a call times out. */
    bool isOverdue(Timestamp now) const;
    /** The next time at which an answer becomes overdue, or a block on starts or a suspicion ends; infinite if there is none. O(calls in flight). */
    Timestamp nextTimedChange(Timestamp now) const;
    bool hasClock() const;
    Timestamp lastAnswerAt() const;

    PollState pollState = PollState::Idle;
    /** Number of the newest poll, and whether another instance repeats it until something changes. */
    std::uint64_t pollCall = 0;
    bool isWatched = false;
    Timestamp nextPoll = absl::InfinitePast();
    Timestamp pollSentAt = absl::InfinitePast();
    /** It has answered a poll of this term: it holds the term's fencing token, and its runs are known. */
    bool hasListed = false;
    /** The worker has been notified that it may discard ends up to this number. */
    std::uint64_t acknowledgedSequence = 0;
    /** Fencing token of orders to this incarnation. */
    std::uint64_t fence = 0;
    /** A higher fencing token was seen there, or a later incarnation is known: no more orders are sent. */
    bool isFenced = false;
    /** The worker has refused new connections: until then polls return soon, since orders wait for their connection. */
    Timestamp connectionsScarceUntil = absl::InfinitePast();
    /** No starts before this time, since the worker has refused work as unhealthy, or ignores orders. */
    Timestamp startsBlockedUntil = absl::InfinitePast();
    /** When the worker may leave; infinite while it isn't draining. */
    Timestamp leavesAt = absl::InfiniteFuture();
    /** When this leader first learned of the worker. */
    Timestamp knownSince;
    Timestamp announcedAt;
    std::uint64_t announcedSequence = 0;
    /** Sequence of the registration under which starts were last checked. */
    std::uint64_t registeredSequence = 0;
    /** Number of failed runs since the last run that was done, for which the worker may be the cause. */
    std::uint32_t consecutiveFailures = 0;
    /** No work before this time if several runs have failed there in a row. */
    Timestamp suspectUntil = absl::InfinitePast();
    Timestamp lastFailureAt = absl::InfinitePast();
    /** Smoothed ratio of the run time on this worker to the expected one; 1 is a typical worker. */
    double slowness = 1.0;
    PaceControl paceControl;
    /** Serving and filling runs share the worker. */
    bool isContended = false;

private:
    /** Unresponsive, and unlikely to answer again. */
    bool isLikelyGone(Timestamp now) const;
    Duration totalPause() const;

    // Invariant: the values add up to `consecutiveFailures`.
    std::map<workload::StepKey, std::uint32_t> failuresByStep;
    Timestamp earlierLeasesExpireAt;
    std::int64_t latestLeaseEnd = 0;
    std::optional<std::int64_t> clockMillis;
    Timestamp clockReadAt;
    Timestamp answeredAt = absl::InfinitePast();
    /** When it last listed its runs; infinitely long ago if an event since then has made it uncertain which incarnation is there. */
    Timestamp listedAt = absl::InfinitePast();
    std::uint32_t consecutiveFailedCalls = 0;
    /** Orders since the last one that was answered, and when the first of them ended. */
    std::uint32_t unansweredOrders = 0;
    Timestamp ordersUnansweredSince = absl::InfiniteFuture();
    const Duration *processPauses;
    /** Calls in flight and the deadlines of their answers, less the pauses up to the call. */
    std::map<std::uint64_t, Timestamp> answerDeadlines;
};

using WorkerViews = std::map<workload::Incarnation, WorkerView>;

/** Number of @p views for which @p predicate holds. O(workers). */
template<typename Predicate>
std::size_t countViews(const WorkerViews &views, Predicate predicate)
{
    return static_cast<std::size_t>(std::count_if(views.begin(), views.end(), [&predicate](const auto &entry) { return predicate(entry.second); }));
}

/** True if @p predicate holds for fewer than half of @p views, so that the cell can work without them. */
template<typename Predicate>
bool isMinority(const WorkerViews &views, Predicate predicate)
{
    return countViews(views, predicate) * 2 < views.size();
}

} // namespace paddlepier::execution

#endif
