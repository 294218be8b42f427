// Executes the ledger's placements on the workers, for one term of one leader.
//
// The dispatcher polls every worker under the term's fencing token, sends starts and stops, records the ends of runs, and resolves
// orders that got no answer. It performs no I/O: step() returns the calls to send and the commands to propose, and the caller passes
// their results back.
//
// Guarantees:
//  - no run is started on a worker before that worker has answered in this term, which fences off orders of earlier leaders;
//  - the capacity of a run is released only after its worker has listed its end, has confirmed that it can't start any more, or
//    after every lease that the run may hold has expired on the worker's own clock;
//  - a worker is allowed to discard an end only after that end was committed;
//  - an end as done is acknowledged only when no start of another run of its task can arrive any more: it was answered, prevented by a
//    stop or by this term's fencing token, or every lease that it may grant has expired. Ends are recorded meanwhile.
//
// Example:
//     Dispatcher dispatcher(workload, options, term, now);
//     const DispatchEffects effects = dispatcher.step(now, wallMillis);
//     // send effects.calls, propose effects.proposals, send effects.adviceRequests
//     dispatcher.handleAnswer(now, callId, answer);
//
// Thread safety: none; owned by the control thread. Cost: a step costs O(log n) for each item that is due or has changed. All workers
// and all runs are scanned some tens of times a second, regardless of the number of steps.

#ifndef PADDLEPIER_EXECUTION_DISPATCHER_H
#define PADDLEPIER_EXECUTION_DISPATCHER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/failureattribution.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/stepreport.h"
#include "paddlepier/execution/taskbackoff.h"
#include "paddlepier/execution/timerqueue.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/planner.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace paddlepier::execution
{

struct DispatchOptions {
    /** Longest lease that a worker grants. */
    Duration maxLease = absl::Seconds(10);
    /** Longest time that a stop takes on a healthy worker. */
    Duration stopGrace = absl::Milliseconds(200);
};

struct Proposal {
    std::uint64_t id = 0;
    work::CommandUnion command;
};

struct DispatchEffects {
    std::vector<WorkerCall> calls;
    std::vector<Proposal> proposals;
    std::vector<AdviceRequest> adviceRequests;
    /** Steps whose wait was found to exceed the reporting threshold. */
    std::size_t longWaits = 0;
    /** Teams that were found to have reached their quotas. */
    std::size_t teamsAtQuota = 0;
    bool hasPlanned = false;
};

/** The incarnation that follows one that has ended, under the same worker id. */
struct Successor {
    std::uint64_t born = 0;
    /** Runs that were placed on the ended incarnation but started on its successor. */
    std::vector<workload::TaskKey> movedRuns;
};

class Dispatcher
{
public:
    Dispatcher(const workload::Workload &workloadState, DispatchOptions dispatchOptions, std::uint64_t leaderTerm, Timestamp now);

    /** Returns how many advice requests can be sent now. Called only by steps that make a plan. */
    using AdviceBudgetSource = std::function<planning::AdviceBudget()>;

    /** Computes what to do at @p now. Call it after every batch of events. */
    DispatchEffects step(
        Timestamp now, std::int64_t wallMillis, const AdviceBudgetSource &adviceBudget = [] { return planning::AdviceBudget(); });

    /**
     * Records that the step that ended at @p now spent @p time on a plan. The next plan is delayed by a multiple of that time, so that answers are
     * still read and orders sent while many tasks wait.
     */
    void recordPlanTime(Timestamp now, Duration time);

    void handleAnswer(Timestamp now, std::uint64_t call, const WorkerAnswer &answer);
    void handleAdvice(Timestamp now, std::uint64_t request, const AdviceAnswer &answer);
    /**
     * Adds the permissions of an answer that an earlier leader received. Those of unknown steps, and of workers that have ended or been
     * restarted since, are ignored.
     * @return true if any permission was new
     */
    bool restoreAdvice(const work::RelayedAdviceT &answer);
    void handleOutcome(Timestamp now, std::uint64_t proposal, const workload::Outcome &outcome);

    /** The worker has announced itself; @p drainRemaining is the shortest time it has left, or infinite if it isn't draining. */
    void recordAnnouncement(Timestamp now, const workload::Incarnation &worker, std::uint64_t sequence, Duration drainRemaining);
    /** True if a later announcement of the same incarnation has been seen. */
    bool isStaleAnnouncement(const workload::Incarnation &worker, std::uint64_t sequence) const;
    /** True if @p sequence is further beyond the last one of the same incarnation than any worker can have counted meanwhile. */
    bool isImplausibleAnnouncement(const workload::Incarnation &worker, std::uint64_t sequence) const;
    /** True if the worker has announced when it would leave, and that time has passed. */
    bool mayHaveLeft(Timestamp now, const workload::Incarnation &worker) const;
    /** The ledger was changed by something other than a proposal of this dispatcher. */
    void markChanged();

    /**
     * Number of jobs that a queue has accepted and that have no run that is known to have started. While answers are missing the number may be too
     * high, but not too low. All queues are counted at once, several times a second at most.
     */
    std::uint32_t waitingJobs(const std::string &queueAddress) const;
    /** True if a start that was sent for a task of the job may still be executed. */
    bool mayStillStart(const std::string &job) const;
    /** The reason why the job has waited beyond the reporting threshold; empty if it hasn't. */
    std::string longWaitReason(const std::string &job) const;
    /** What this leader knows of the worker; null if it isn't in the ledger. Valid until the next step. */
    const WorkerView *findView(const workload::Incarnation &worker) const;

private:
    enum class ProposalKind { Place, RecordEnds, RemoveWorker, VerifyStart };
    struct PendingProposal {
        ProposalKind kind = ProposalKind::Place;
        workload::Incarnation worker;
        /** For VerifyStart. */
        workload::TaskKey task;
        std::uint32_t run = 0;
    };
    struct PendingCall {
        workload::Incarnation worker;
        Order order;
        Timestamp sentAt;
    };

    void adoptRuns(Timestamp now);
    /** Extends the answer deadlines of all workers by a pause of this process, during which it read no answers. */
    void allowForPause(Timestamp now);
    /** Adds and removes views so that they match the ledger's workers. */
    void syncWorkers(Timestamp now);
    void addView(Timestamp now, const workload::Incarnation &worker);
    void removeView(const workload::Incarnation &worker);
    /**
     * Called when the removal of a worker is recorded, whose view accepts no more orders. If the same incarnation joins again before the next step, it
     * gets a new view.
     */
    void resetView(Timestamp now, const workload::Incarnation &worker);
    /** Stops waiting for the worker's answers: to the next view of the same incarnation they would be those of orders with an earlier token. */
    void abandonCalls(const workload::Incarnation &worker);
    /** Must be called after each change of a view. */
    void markViewChanged(const workload::Incarnation &worker);
    /** Updates workersNeedingAttention for views that have changed or whose answers have become overdue. */
    void updateAttention(Timestamp now);
    /** Handles what changes with time alone: expired leases, missing answers, incarnations that end. */
    void checkWorkers(Timestamp now);
    void pollWorkers(Timestamp now);
    void pollWorker(Timestamp now, const workload::Incarnation &worker);
    /** True if a configuration names the worker's service, or the worker holds runs. Until then nothing is sent to its address. */
    bool mayBePolled(const workload::Worker &worker) const;
    /**
     * Called when a start is sent to a worker that another instance may be watching. The watch is abandoned if it hasn't reported the run when it
     * should have.
     */
    void limitWatch(Timestamp now, const workload::Incarnation &worker);
    void abandonWatch(WorkerView &view);
    /** True if the worker has no runs and knows that all its ends are recorded. */
    static bool isIdle(const workload::Worker &record, const WorkerView &view);
    /** How long the worker may hold its answer back while no run ends. */
    Duration pollWaitFor(Timestamp now, const WorkerView &view) const;
    /** True if a run there has to end and can't be stopped, since the worker ignores orders: then only the end of its lease ends it. */
    bool mustLetLeaseExpire(Timestamp now, const workload::Worker &record, const WorkerView &view) const;
    /** Records whether an order other than a poll was answered, and suspends starts on a worker that ignores orders. */
    void recordOrderAnswer(Timestamp now, const PendingCall &call, const WorkerAnswer &answer);
    Duration pollTimeoutFor(const WorkerView &view, Duration wait) const;
    /**
     * Offset that puts the workers' first polls into a different order in each term. Otherwise, where terms are too short to reach all workers, the
     * same ones would get neither stops nor leases every time.
     */
    Duration firstPollOffset(const workload::Incarnation &worker) const;
    void schedulePoll(const workload::Incarnation &worker, const WorkerView &view);
    void driveRuns(Timestamp now);
    /** Stops runs of jobs that have ended and of tasks that are done. */
    void stopObsoleteRuns(Timestamp now);
    static bool isObsolete(const workload::Job &job, const workload::TaskKey &key);
    /** Runs whose start was never sent, with their tracks. */
    using UnsentRuns = std::vector<std::pair<workload::TaskKey, RunTrack>>;
    void driveRun(Timestamp now, const workload::TaskKey &key, RunTrack &track, UnsentRuns &unsent);
    void driveStart(Timestamp now, const workload::TaskKey &key, RunTrack &track, UnsentRuns &unsent);
    /**
     * Withdraws the starts of runs that the worker may not run any more, without waiting for their timers: one that waits is driven again, one that is
     * on its way is sent only if it has left this process. What has started goes on.
     */
    void withdrawBarredStarts(Timestamp now, const workload::Incarnation &worker);
    /**
     * A suspect's start is preceded by another order that has no effect. If the worker answers that one and leaves the start unanswered, the start has
     * most probably reached it; its loss is then evidence against the task. The ledger records this before, since the leader may change meanwhile.
     */
    bool mustVerifyWorker(Timestamp now, const workload::TaskKey &key, const RunTrack &track) const;
    void verifyWorker(Timestamp now, const workload::TaskKey &key, RunTrack &track, UnsentRuns &unsent);
    void proposeVerifiedStart(const workload::TaskKey &key, RunTrack &track);
    /** Continues with the next step of a start that waited for its worker's verification. */
    void resumeStart(Timestamp at, const workload::TaskKey &key, RunTrack &track);
    /** @return whether the answer is that of an order that verifies a worker */
    bool handleVerifyAnswer(Timestamp now, const PendingCall &call, const StopOrder &order, const WorkerAnswer &answer);
    /** Cancels a start. The run ends at once if the start was never sent; otherwise it is stopped, so that it can't start later. */
    void cancelStart(Timestamp now, const workload::TaskKey &key, RunTrack &track, StopReason reason, UnsentRuns &unsent);
    /** True if more of the task's team is placed than its quota allows. */
    bool isTeamOverQuota(const workload::TaskKey &key) const;
    void driveStop(Timestamp now, const workload::TaskKey &key, RunTrack &track);
    /** Stops members of gangs that wait for members that won't start. */
    void stopIncompleteGangs(Timestamp now);
    /** @param isLate a member hasn't started within the time limit */
    bool isIncompleteGang(const workload::StepKey &key, bool isLate) const;
    /** Supersedes runs on workers that may be cut off, where the step allows a copy elsewhere. */
    void supersedeRuns(Timestamp now);
    bool maySupersede(const workload::TaskKey &key) const;
    /** A worker lists a superseded run; it continues unless its task is done. @return false if the run isn't superseded */
    bool handleSupersededRun(Timestamp now, const workload::Incarnation &worker, const ListedRun &listed);
    /** Ends superseded runs that a worker no longer lists and that can't start any more. */
    void settleSuperseded(Timestamp now, const workload::Incarnation &worker, Timestamp pollSentAt, const WorkerAnswer &answer);
    void expireSuperseded(const workload::Incarnation &worker);
    /** The track of a superseded run, as proposeEnds() needs it. */
    static std::pair<workload::TaskKey, RunTrack> trackOf(const workload::TaskKey &key, const workload::SupersededRun &run);
    void stopSuperseded(Timestamp now, const workload::Incarnation &worker, const workload::TaskKey &key, std::uint32_t run);
    /** Stops superseded runs of tasks that are done whose start may still arrive, without waiting for their worker's next list. */
    void preventSupersededStarts(Timestamp now);
    /** Number up to which the worker may discard its ends. Lower than that of the last recorded end while the start of a copy may still arrive. */
    std::uint64_t acknowledgeableSequence(const workload::Incarnation &worker) const;
    /** True if a start of a run of the task, other than @p ended on @p worker, may still be executed. */
    bool mayOtherRunStart(const workload::TaskKey &key, std::uint32_t ended, const workload::Incarnation &worker) const;
    /** True if a start that was sent for the run may still be executed. */
    bool mayStillStart(const RunTrack &track) const;
    /** True if an order of an earlier term may still be executed there. */
    bool mayExecuteEarlierTerms(const workload::Incarnation &worker) const;
    void removeEndedJobs(Timestamp now);
    void expireLeases(Timestamp now);
    void drainWorkers(Timestamp now);
    void planWork(Timestamp now, std::int64_t wallMillis, const AdviceBudgetSource &adviceBudget);
    /** Logs steps whose wait has exceeded the reporting threshold. */
    void logLongWaits(Timestamp now, std::int64_t wallMillis);
    /** Logs the load of the cell once a second. */
    void logCellLoad(Timestamp now);
    /** Logs teams that have reached their quotas, or have fallen below them again. */
    void logQuotas();
    /** Reduces the placements to the most urgent ones, up to the bound on starts in flight. Gangs are not split. */
    void limitPlacements(std::vector<work::PlacementT> &placements) const;
    void countWaitingJobs() const;

    /** Starts tracking the runs that the ledger has accepted. */
    void trackPlacements(Timestamp now, const std::vector<work::PlacementT> &placed);
    void logPlacements(const std::vector<work::PlacementT> &placed) const;
    void handlePollAnswer(Timestamp now, const PendingCall &call, const WorkerAnswer &answer);
    void updateRunning(Timestamp now, const workload::Incarnation &worker, const WorkerAnswer &answer);
    /** Evaluates the runs on a worker after a poll: which have stalled, which interfere with serving runs, and how fast the worker is. */
    void monitorRuns(Timestamp now, const workload::Incarnation &worker, WorkerView &view);
    /** True if the run has made no progress for too long; the progress of a complete member of a gang is that of its gang. */
    bool hasStalled(Timestamp now, const workload::TaskKey &key, const RunTrack &track, const work::StepSpecT &step) const;
    void monitorProgress(Timestamp now, const workload::TaskKey &key, RunTrack &track, WorkerView &view);
    void throttleFilling(Timestamp now,
                         const workload::Incarnation &worker,
                         WorkerView &view,
                         const std::vector<ServingLoad> &serving,
                         const std::vector<workload::TaskKey> &filling);
    void handlePaceAnswer(const PendingCall &call, const PaceOrder &order, const WorkerAnswer &answer);
    void recordEnds(Timestamp now, const workload::Incarnation &worker, WorkerView &view, const WorkerAnswer &answer);
    /** Logs steps that are done. */
    void logEndedSteps(Timestamp now);
    void evaluateEnd(Timestamp now, const workload::Incarnation &worker, WorkerView &view, const ListedEnd &end);
    /** A run has failed, or was stopped since it stalled. @param workedFor  how long it had made progress; infinite if that isn't known */
    void recordFailedRun(Timestamp now, const workload::TaskKey &key, const workload::Incarnation &worker, WorkerView &view, Duration workedFor);
    void recordDoneRun(const workload::Incarnation &worker, WorkerView &view);
    StepEvidence
    evidenceFor(Timestamp now, const workload::TaskKey &key, const workload::Incarnation &worker, const WorkerView &view, Duration workedFor) const;
    /** Number of runs of the task's step on other workers that have made progress for longer than @p workedFor, or have completed their start-up. */
    std::size_t countOutlivingRuns(const workload::TaskKey &key, const workload::Incarnation &worker, Duration workedFor) const;
    void handleStartAnswer(Timestamp now, const PendingCall &call, const StartOrder &order, const WorkerAnswer &answer);
    void handleStopAnswer(Timestamp now, const PendingCall &call, const StopOrder &order, const WorkerAnswer &answer);
    void stopRun(Timestamp now, const workload::TaskKey &key, RunTrack &track, StopReason reason);
    /** Ends runs that a poll's answer, handled at @p now, didn't list and that can't start any more. */
    void settleVanishedRuns(Timestamp now, const workload::Incarnation &worker, Timestamp pollSentAt, const WorkerAnswer &answer);
    void proposeEnds(const workload::Incarnation &worker, const std::vector<std::pair<workload::TaskKey, RunTrack>> &ended, work::RunEndKind kind);
    /** Proposes the removal of an incarnation that has ended, as @p how unless it had announced that it would leave. */
    void removeWorker(Timestamp now, const workload::Incarnation &worker, work::LifeEnd how, const Successor &next = {});
    /** What is known of the state of a run whose worker may be lost. */
    work::RunAtLoss stateAtLoss(const workload::TaskKey &key, const RunTrack &track) const;
    /** The runs that are lost with @p worker. */
    std::vector<std::unique_ptr<work::RunEndT>> lostRuns(const workload::Incarnation &worker) const;
    /** Logs what a lost run counts as, and the facts that decide it. */
    void logLostRun(const workload::TaskKey &key, const RunTrack &track, work::RunAtLoss atLoss) const;
    /** Logs one line that names all runs lost with a worker, so that what such losses have in common can be seen across the lines. */
    void logLoss(Timestamp now, const work::RemoveWorkerT &command) const;
    void logAbandoned(const std::vector<workload::TaskKey> &tasks) const;
    /**
     * Called when @p worker has answered its first poll. Removes earlier incarnations under its id, and other incarnations at its address or of its
     * machine. An announcement is no proof of their end, since it may arrive after its own sender has ended.
     */
    void removeOtherIncarnations(Timestamp now, const workload::Incarnation &worker, Timestamp pollSentAt, const WorkerAnswer &answer);
    /**
     * Moves runs to @p worker that were placed on @p earlier, the incarnation before it under its id. Their starts may reach the new incarnation,
     * since it accepts them until it has seen its own fencing token.
     */
    std::vector<workload::TaskKey>
    transferRuns(Timestamp now, const workload::Incarnation &worker, const workload::Incarnation &earlier, const WorkerAnswer &answer);
    /**
     * Records a successor if @p answer is from a later incarnation than the one that was called. @return whether the answer is from another
     * incarnation and must not be applied
     */
    bool isFromOtherIncarnation(Timestamp now, const PendingCall &call, const WorkerAnswer &answer);
    void processAnswer(Timestamp now, const PendingCall &call, const WorkerAnswer &answer);
    void eraseTracks(const work::RecordEndsT &command);

    /** How long an answer may take before its worker is considered cut off or slow. */
    Duration answerTimeout() const;
    void recordAnswerTime(Timestamp now, const PendingCall &call, AnswerKind kind);
    void send(Timestamp now, const workload::Incarnation &worker, Order order, Duration timeout, bool withLease);
    void propose(ProposalKind kind, const workload::Incarnation &worker, work::CommandUnion command);
    bool hasStarted(const workload::Job &job) const;
    RunTrack *findTrack(const workload::TaskKey &key, std::uint32_t run, const workload::Incarnation &worker);

    const workload::Workload &state;
    const DispatchOptions options;
    const std::uint64_t term;
    /** Number of incarnations under each id that this term has seen. */
    std::map<std::string, std::uint64_t> incarnationsById;
    /** Total time in this term during which this process was paused. */
    Duration totalPause;
    WorkerViews views;
    /** State of a superseded run that its worker doesn't list. */
    struct SupersededTrack {
        bool isStopInFlight = false;
        /** No start that this leader sent for the run is in transit: it has started, or none was sent. */
        bool isStartSettled = false;
        /** As in RunTrack. */
        bool isAdopted = false;
        /** When the worker confirmed that the run can't start any more. */
        Timestamp settledAt = absl::InfiniteFuture();
    };
    /** By worker, task and run. */
    using SupersededKey = std::tuple<workload::Incarnation, workload::TaskKey, std::uint32_t>;
    std::map<SupersededKey, SupersededTrack> supersededTracks;
    bool mayStillStart(const SupersededKey &key, const SupersededTrack &track) const;
    /** Ends as done that each worker listed last, until it may discard them. */
    std::map<workload::Incarnation, std::vector<ListedEnd>> listedDoneEnds;
    // Invariant: holds exactly the runs that are under way in the ledger, except those whose end is being recorded.
    RunTracks tracks;
    /** Runs that are starting or stopping and have no call in flight. An entry may be out of date: some may have settled since. */
    TimerQueue<workload::TaskKey> runTimers;
    /** Workers without a poll in flight, except those whose ends are being recorded. Workers that haven't answered a poll yet are kept apart. */
    TimerQueue<workload::Incarnation> pollTimers;
    TimerQueue<workload::Incarnation> firstPollTimers;
    /** First polls that may still be answered in time, with the time at which they were sent. */
    std::map<std::uint64_t, Timestamp> recentFirstPolls;
    /** Most workers owe an answer or have failed to give one, so that this process is probably slow or cut off. */
    bool isProcessSlow = false;
    Timestamp nextWorkerCheck = absl::InfinitePast();
    Timestamp nextObsoleteCheck = absl::InfinitePast();
    Timestamp nextGangCheck = absl::InfinitePast();
    Timestamp nextStepReport = absl::InfinitePast();
    Timestamp nextWaitReport = absl::InfinitePast();
    Timestamp nextCellReport = absl::InfinitePast();
    std::set<std::string> teamsAtQuota;
    StepReports reports;
    bool mayHaveObsoleteRuns = true;
    workload::ChangeLog<workload::Incarnation>::Position syncedUntil = 0;
    std::vector<workload::Incarnation> changedViews;
    /** Views by the time at which an answer becomes overdue or a block on starts ends. */
    TimerQueue<workload::Incarnation> viewTimers;
    /**
     * Incarnations that are unresponsive, have an overdue answer, or are about to leave. There are few, except after a network partition or in a new
     * term.
     */
    std::set<workload::Incarnation> workersNeedingAttention;
    /** Run time of the runs of a queue, as a ratio to their estimates. */
    std::map<std::string, double> typicalRatios;
    TaskBackoff taskBackoff;
    FailureAttribution failureAttribution;
    planning::AdviceCache adviceCache;
    planning::Planner planner;
    std::map<std::uint64_t, PendingCall> calls;
    std::map<std::uint64_t, PendingProposal> proposals;
    std::uint64_t nextCall = 1;
    std::uint64_t nextProposal = 1;
    /** Smoothed time from an order to its answer, over all workers. It includes delays in this process. */
    Duration typicalAnswerTime;
    /** Starts that wait for their answer. */
    std::size_t startsInFlight = 0;
    /** Placing is suspended since too many starts wait for their answer. */
    bool isPlacingPaused = false;
    bool isPlacementInFlight = false;
    bool hasChanged = true;
    Timestamp nextCleanup = absl::InfinitePast();
    Timestamp nextPlan = absl::InfinitePast();
    Timestamp lastStepAt;
    /** By the address of the queue. */
    mutable std::map<std::string, std::uint32_t> waitingByQueue;
    mutable Timestamp jobsCountedAt = absl::InfinitePast();
    DispatchEffects effects;
};

} // namespace paddlepier::execution

#endif
