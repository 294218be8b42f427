// What a leader knows about one worker's life besides the ledger: its clock, its lease, how it answers.
//
// The view is volatile and begins anew with each term. A worker's clock is known from its answers; it may run up to
// `clockSlowPerMille` slow. leaseIsOver() is true only when every lease that this leader or an earlier one can have given
// has run out on that clock.
//
// Thread safety: none; owned by the dispatcher.

#ifndef PADDLEPIER_EXECUTION_WORKERVIEW_H
#define PADDLEPIER_EXECUTION_WORKERVIEW_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/pacecontrol.h"
#include "paddlepier/workload/incarnation.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace paddlepier::execution
{

/** Workers' clocks may run this much slow; stated by the users' platform (2 %), and 1 % for the own clock. */
constexpr std::int64_t clockSlowPerMille = 30;

/** A sound worker answers in some 10 ms; one whose answer is this late gets no further work until it answers. */
constexpr Duration answerPatience = absl::Milliseconds(250);

enum class PollState { Idle, InFlight, RecordingEnds };

/**
 * An answer proves for this long that the same life will hear the next poll: much shorter than a worker takes to start again, to be given a
 * task and to end it.
 */
constexpr Duration sameLifeFor = absl::Milliseconds(250);

class WorkerView
{
public:
    /**
     * @param longestLease  bound that the worker itself puts on a lease
     * @param pauses        time that this process has stood still in all, which outlives the view; null for none. Answers are due that
     *                      much later
     */
    WorkerView(Timestamp termBegin, Duration longestLease, const Duration *pauses = nullptr);

    /** A run has ended by a fault, its own or the worker's. */
    void noteFailedRun(Timestamp now);
    void noteDoneRun();
    /** A whole answer has come. */
    void noteAnswer(Timestamp now, std::optional<std::int64_t> clockMillis);
    /** It has listed its runs, so that it was this life that answered. */
    void noteList(Timestamp now);
    /** A call has ended without a whole answer. */
    void noteSilence(Timestamp now);
    /** A later life under its id is known: no more calls; orders under way, and leases that they give, may reach that one. */
    void noteLaterLife(Timestamp now, Duration longestLease);

    /**
     * What is sent now will be heard by this life and no later one under its id, so that ends may be acknowledged to it. A later life
     * would forget ends of its own by those numbers, and nobody would hear of them.
     */
    bool isSurelySame(Timestamp now) const;

    /** The end that a lease of @p lease from now has on the worker's clock; 0 while that clock isn't known. */
    std::int64_t leaseEnd(Timestamp now, Duration lease) const;
    void noteLease(std::int64_t endOnWorkerClock);
    bool leaseIsOver(Timestamp now) const;

    bool isReachable() const;
    /** The newest call to it got no answer. */
    bool isSilent() const;

    /** A call was sent whose answer is due by @p due. */
    void noteCall(std::uint64_t call, Timestamp due);
    void noteCallEnd(std::uint64_t call);
    /** An answer is overdue: the worker may be cut off, long before a call has timed out. */
    bool isOverdue(Timestamp now) const;
    /** When the passing of time alone next makes an answer overdue, or a pause in its work end; infinite if it doesn't. O(calls under way). */
    Timestamp nextChange(Timestamp now) const;
    bool isKnown() const;
    Timestamp lastAnswerAt() const;

    PollState pollState = PollState::Idle;
    /** Number of the newest poll, and whether another instance repeats it until something changes. */
    std::uint64_t pollCall = 0;
    bool isWatched = false;
    Timestamp nextPoll = absl::InfinitePast();
    Timestamp pollSentAt = absl::InfinitePast();
    /** It has answered a poll of this term: it keeps the term's fencing token, and what it runs is known. */
    bool hasListed = false;
    /** It has been told that it may forget ends up to this number. */
    std::uint64_t acknowledgedSequence = 0;
    /** Fencing token of orders to this life. */
    std::uint64_t fence = 0;
    /** A higher fencing token was seen there, or a later life is known: no more orders. */
    bool isFenced = false;
    /** No starts before this time: it has refused work as unhealthy. */
    Timestamp startsBlockedUntil = absl::InfinitePast();
    /** When the worker may leave; infinite while it isn't draining. */
    Timestamp leavesAt = absl::InfiniteFuture();
    /** When this leader first knew of the worker. */
    Timestamp knownSince;
    Timestamp announcedAt;
    std::uint64_t announcedSequence = 0;
    /** Failed ends in a row. */
    std::uint32_t failedInRow = 0;
    /** No work before this time, if it has failed several times in a row. */
    Timestamp suspectUntil = absl::InfinitePast();
    /** Smoothed ratio of a run's time there to what was expected; 1 is an ordinary worker. */
    double slowness = 1.0;
    PaceControl paceControl;
    /** Serving and filling runs are on it together. */
    bool isContended = false;

private:
    /** Silent, and unlikely to answer again. */
    bool isGone(Timestamp now) const;
    Duration pausesSoFar() const;

    Timestamp oldLeasesOverAt;
    std::int64_t longestGivenEnd = 0;
    std::optional<std::int64_t> clockMillis;
    Timestamp clockReadAt;
    Timestamp answeredAt = absl::InfinitePast();
    /** When it last listed its runs; infinitely long ago since anything made it doubtful which life is there. */
    Timestamp listedAt = absl::InfinitePast();
    std::uint32_t silences = 0;
    const Duration *pauses;
    /** Calls under way and when their answers are due, less the pauses up to the call. */
    std::map<std::uint64_t, Timestamp> dueAnswers;
};

using WorkerViews = std::map<workload::Life, WorkerView>;

/** Number of @p views for which @p predicate holds. O(workers). */
template<typename Predicate>
std::size_t countViews(const WorkerViews &views, Predicate predicate)
{
    return static_cast<std::size_t>(std::count_if(views.begin(), views.end(), [&predicate](const auto &entry) { return predicate(entry.second); }));
}

/** True if @p predicate holds for fewer than half of @p views: they can be done without. */
template<typename Predicate>
bool isMinority(const WorkerViews &views, Predicate predicate)
{
    return countViews(views, predicate) * 2 < views.size();
}

} // namespace paddlepier::execution

#endif
