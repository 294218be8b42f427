// Carries the ledger's placements out on the workers, for one term of one leader.
//
// The dispatcher polls every worker under the term's fencing token, sends starts and stops, records ends and finds out
// what became of orders without an answer. It performs no I/O: step() gives the calls to make and the commands to propose,
// and what comes of them is passed back.
//
// Guarantees:
//  - nothing is started on a worker before it has answered this term, which fences earlier leaders off it;
//  - a run's room is given back only when the worker has listed its end, has confirmed that it can't begin any more, or
//    when every lease it may hold has run out on the worker's own clock;
//  - a worker may forget an end only after it was committed.
//
// Example:
//     Dispatcher dispatcher(workload, options, term, now);
//     const DispatchEffects effects = dispatcher.step(now, wallMillis);
//     // make effects.calls, propose effects.proposals, ask effects.questions
//     dispatcher.takeAnswer(now, callId, answer);
//
// Thread safety: none; owned by the control thread. Cost: a step costs what is due or has changed, O(log n) each; the whole
// of the workers and of the runs is looked through some tens of times a second, however many steps there are.

#ifndef PADDLEPIER_EXECUTION_DISPATCHER_H
#define PADDLEPIER_EXECUTION_DISPATCHER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/timerqueue.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/taskbackoff.h"
#include "paddlepier/execution/stepreport.h"
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
    Duration longestLease = absl::Seconds(10);
    /** Longest time that a stop takes on a sound worker. */
    Duration stopGrace = absl::Milliseconds(200);
};

struct Proposal {
    std::uint64_t id = 0;
    work::CommandUnion command;
};

struct DispatchEffects {
    std::vector<WorkerCall> calls;
    std::vector<Proposal> proposals;
    std::vector<AdviceQuestion> questions;
    /** Steps that were found to have waited for long. */
    std::size_t longWaits = 0;
    /** Teams that were found to have come to their quotas. */
    std::size_t teamsAtQuota = 0;
    bool hasPlanned = false;
};

/** What a later life under its id tells about the end of a life. */
struct NextLife {
    std::uint64_t born = 0;
    /** Runs meant for the life that is over, and begun on the later one. */
    std::vector<workload::TaskKey> moved;
};

class Dispatcher
{
public:
    Dispatcher(const workload::Workload &workloadState, DispatchOptions dispatchOptions, std::uint64_t leaderTerm, Timestamp now);

    /** Tells how many questions can be sent now; asked by steps that make a plan alone. */
    using QuestionBudgetSource = std::function<planning::QuestionBudget()>;

    /** What is to be done now; call it after every batch of events. */
    DispatchEffects step(
        Timestamp now, std::int64_t wallMillis, const QuestionBudgetSource &questionBudget = [] { return planning::QuestionBudget(); });

    /**
     * The step that ended at @p now made a plan and took @p time: the next plan leaves the process several times as long for its other
     * work, so that answers are read and orders sent while much waits.
     */
    void notePlanTime(Timestamp now, Duration time);

    void takeAnswer(Timestamp now, std::uint64_t call, const WorkerAnswer &answer);
    void takeAdvice(Timestamp now, std::uint64_t question, const AdviceAnswer &answer);
    void takeOutcome(Timestamp now, std::uint64_t proposal, const workload::Outcome &outcome);

    /** The worker has announced itself; @p drainRemaining is the least time left, infinite if it isn't draining. */
    void noteAnnouncement(Timestamp now, const workload::Life &worker, std::uint64_t sequence, Duration drainRemaining);
    /** True if a later announcement of the same life has been seen. */
    bool isStaleAnnouncement(const workload::Life &worker, std::uint64_t sequence) const;
    /** So far beyond the last one of the same life that no worker can have counted on to there. */
    bool isImplausibleAnnouncement(const workload::Life &worker, std::uint64_t sequence) const;
    /** The worker has said when it would leave, and that time is over. */
    bool mayHaveLeft(Timestamp now, const workload::Life &worker) const;
    /** The ledger has changed by something else than a proposal of this dispatcher. */
    void noteChange();

    /**
     * Jobs of a queue of which no run is known to have begun: rather too many than too few while answers are missing. All
     * queues are counted at once, several times a second at most.
     */
    std::uint32_t waitingJobs(const std::string &queue) const;
    /** Why the job has waited for long; empty if it hasn't. */
    std::string waitOf(const std::string &job) const;

private:
    enum class ProposalKind { Place, RecordEnds, RemoveWorker };
    struct PendingProposal {
        ProposalKind kind = ProposalKind::Place;
        workload::Life worker;
    };
    struct PendingCall {
        workload::Life worker;
        Order order;
        Timestamp sentAt;
    };

    void adoptRuns(Timestamp now);
    /** A worker isn't to blame for answers that this process had no time to take. */
    void allowForPause(Timestamp now);
    /** Brings the views in step with the ledger's workers. */
    void syncWorkers(Timestamp now);
    void addView(Timestamp now, const workload::Life &worker);
    void removeView(const workload::Life &worker);
    /** To be called after each change of a view. */
    void noteView(const workload::Life &worker);
    /** Sorts views that have changed, or whose answers have become overdue, in or out of those that need attention. */
    void judgeViews(Timestamp now);
    /** What only time changes on workers: leases that run out, answers that are missing, lives that end. */
    void checkWorkers(Timestamp now);
    void pollWorkers(Timestamp now);
    void pollWorker(Timestamp now, const workload::Life &worker);
    /** A configuration names its service, or it holds runs: until then nothing is sent to its address. */
    bool countsYet(const workload::Worker &worker) const;
    /** A start goes to a worker that another instance may be watching: its poll is given up if it hasn't told of the run by the time that it should. */
    void limitWatch(Timestamp now, const workload::Life &worker);
    void abandonWatch(WorkerView &view);
    /** Nothing runs on the worker, and it has been told that all its ends are recorded. */
    static bool isIdle(const workload::Worker &record, const WorkerView &view);
    /** How long the worker may hold its answer back while nothing ends. */
    Duration waitOfPoll(const WorkerView &view) const;
    Duration timeoutOfPoll(const WorkerView &view, Duration wait) const;
    /**
     * Puts workers' first polls in another order in each term: where terms are too short to reach all, it isn't always the same
     * ones that get neither stops nor leases.
     */
    Duration headStart(const workload::Life &worker) const;
    void schedulePoll(const workload::Life &worker, const WorkerView &view);
    void driveRuns(Timestamp now);
    /** Stops what has nothing left to do. */
    void stopNeedlessRuns(Timestamp now);
    static bool isNeedless(const workload::Job &job, const workload::TaskKey &key);
    /** Runs whose start was never sent, with what is known of them. */
    using UnsentRuns = std::vector<std::pair<workload::TaskKey, RunTrack>>;
    void driveRun(Timestamp now, const workload::TaskKey &key, RunTrack &track, UnsentRuns &unsent);
    void driveStart(Timestamp now, const workload::TaskKey &key, RunTrack &track, UnsentRuns &unsent);
    /** The run is to begin no more: it ends at once if its start was never sent, and is kept from beginning otherwise. */
    void takeBackStart(Timestamp now, const workload::TaskKey &key, RunTrack &track, StopReason reason, UnsentRuns &unsent);
    /** The task's team has more placed than its quota allows. */
    bool isTeamOverdrawn(const workload::TaskKey &key) const;
    void driveStop(Timestamp now, const workload::TaskKey &key, RunTrack &track);
    /** Stops members of gangs that wait for others in vain. */
    void stopIncompleteGangs(Timestamp now);
    /** @param isLate  a member hasn't begun for too long */
    bool isIncompleteGang(const workload::StepKey &key, bool isLate) const;
    /** Gives up waiting for runs on workers that may be cut off, where the step allows a copy elsewhere. */
    void supersedeRuns(Timestamp now);
    bool maySupersede(const workload::TaskKey &key) const;
    /** A superseded run is listed; it goes on unless its task is done. @return false if it isn't one */
    bool takeSupersededRun(Timestamp now, const workload::Life &worker, const ListedRun &listed);
    /** Ends superseded runs that a worker lists no longer, and can't start any more. */
    void settleSuperseded(Timestamp now, const workload::Life &worker, Timestamp pollSentAt, const WorkerAnswer &answer);
    void expireSuperseded(const workload::Life &worker);
    /** What endRuns() needs of a superseded run. */
    static std::pair<workload::TaskKey, RunTrack> trackOf(const workload::TaskKey &key, const workload::SupersededRun &run);
    void stopSuperseded(Timestamp now, const workload::Life &worker, const workload::TaskKey &key, std::uint32_t run);
    void forgetEndedJobs(Timestamp now);
    void expireLeases(Timestamp now);
    void drainWorkers(Timestamp now);
    void planWork(Timestamp now, std::int64_t wallMillis, const QuestionBudgetSource &questionBudget);
    /** Tells of steps that have waited for long. */
    void reportWaits(Timestamp now, std::int64_t wallMillis);
    /** Tells once a second how full the cell is. */
    void reportCell(Timestamp now);
    /** Tells of teams that have come to their quotas, or from them. */
    void reportQuotas();
    /** Keeps the most urgent placements, as many as may be under way; gangs stay whole. */
    void limitPlacements(std::vector<work::PlacementT> &placements) const;
    void countWaitingJobs() const;

    /** Follows the runs that the ledger has taken. */
    void takePlacements(Timestamp now, const std::vector<work::PlacementT> &placed);
    void logPlacements(const std::vector<work::PlacementT> &placed) const;
    void takePoll(Timestamp now, const PendingCall &call, const WorkerAnswer &answer);
    void takeRunning(Timestamp now, const workload::Life &worker, const WorkerAnswer &answer);
    /** Judges the runs on a worker after a poll: which stand still, which disturb, how fast the worker is. */
    void watchRuns(Timestamp now, const workload::Life &worker, WorkerView &view);
    void watchProgress(Timestamp now, const workload::TaskKey &key, RunTrack &track, WorkerView &view);
    void paceFilling(
        Timestamp now, const workload::Life &worker, WorkerView &view, const std::vector<ServingLoad> &serving, const std::vector<workload::TaskKey> &filling);
    void takePace(const PendingCall &call, const PaceOrder &order, const WorkerAnswer &answer);
    void takeEnded(Timestamp now, const workload::Life &worker, WorkerView &view, const WorkerAnswer &answer);
    /** Writes lines about steps that are done. */
    void reportSteps(Timestamp now);
    void judgeEnd(Timestamp now, WorkerView &view, const ListedEnd &end);
    void takeStart(Timestamp now, const PendingCall &call, const StartOrder &order, const WorkerAnswer &answer);
    void takeStop(Timestamp now, const PendingCall &call, const StopOrder &order, const WorkerAnswer &answer);
    void stopRun(Timestamp now, const workload::TaskKey &key, RunTrack &track, StopReason reason);
    /** Ends runs that a poll's answer, taken at @p now, didn't list and that can't begin any more. */
    void settleVanished(Timestamp now, const workload::Life &worker, Timestamp pollSentAt);
    void endRuns(const workload::Life &worker, const std::vector<std::pair<workload::TaskKey, RunTrack>> &ended, work::RunEndKind kind);
    /** A life is over; @p how  unless it had said that it would leave. */
    void removeWorker(Timestamp now, const workload::Life &worker, work::LifeEnd how, const NextLife &next = {});
    /** What is known of a run whose worker may be lost. */
    work::RunAtLoss atLoss(const workload::TaskKey &key, const RunTrack &track) const;
    /** The runs that go with @p worker. */
    std::vector<std::unique_ptr<work::RunEndT>> lostRuns(const workload::Life &worker) const;
    /** One line that names the runs that went with a worker: what they have in common shows across such lines. */
    void logLoss(Timestamp now, const work::RemoveWorkerT &command) const;
    void logGivenUp(const std::vector<workload::TaskKey> &tasks) const;
    /**
     * @p worker has answered a poll for the first time: earlier lives under its id are over, and other lives at its address or of its
     * machine. An announcement proves nothing of these, since it may have been held up until after its sender's end.
     */
    void removeOtherLives(Timestamp now, const workload::Life &worker, Timestamp pollSentAt, const WorkerAnswer &answer);
    /**
     * Starts that were meant for @p earlier, the life before under its id, and have reached @p worker: nothing kept them away until it had
     * seen its own fencing token. They are its runs from now on.
     */
    std::vector<workload::TaskKey> takeOverRuns(const workload::Life &worker, const workload::Life &earlier, const WorkerAnswer &answer);
    /** An answer that isn't of the life that was called: nothing it says is taken for that life's. @return whether it was one */
    bool isOfOtherLife(Timestamp now, const PendingCall &call, const WorkerAnswer &answer);
    void takeAnswerOf(Timestamp now, const PendingCall &call, const WorkerAnswer &answer);
    void dropTracks(const work::RecordEndsT &command);

    /** How long an answer may take before its worker is taken to be cut off, or slowed. */
    Duration patience() const;
    void noteAnswerTime(Timestamp now, const PendingCall &call, AnswerKind kind);
    void send(Timestamp now, const workload::Life &worker, Order order, Duration timeout, bool withLease);
    void propose(ProposalKind kind, const workload::Life &worker, work::CommandUnion command);
    bool hasBegun(const workload::Job &job) const;
    RunTrack *findTrack(const workload::TaskKey &key, std::uint32_t run, const workload::Life &worker);

    const workload::Workload &state;
    const DispatchOptions options;
    const std::uint64_t term;
    /** Lives under each id that this term has known. */
    std::map<std::string, std::uint64_t> livesById;
    /** Time that this process has stood still in this term. */
    Duration pauses;
    WorkerViews views;
    /** What was done about a superseded run that its worker doesn't list. */
    struct SupersededTrack {
        bool isStopInFlight = false;
        /** As in RunTrack. */
        bool isAdopted = false;
        /** The worker has confirmed that it can't start any more. */
        Timestamp settledAt = absl::InfiniteFuture();
    };
    /** By worker, task and run. */
    using SupersededKey = std::tuple<workload::Life, workload::TaskKey, std::uint32_t>;
    std::map<SupersededKey, SupersededTrack> supersededTracks;
    // Invariant: holds exactly the runs that the ledger has under way, but for those whose end is being recorded.
    RunTracks tracks;
    /** Runs that are starting or stopping and wait for no answer; some may have settled since. */
    DueQueue<workload::TaskKey> dueRuns;
    /** Workers without a poll under way, but for those whose ends are being recorded; apart: those that haven't answered one. */
    DueQueue<workload::Life> duePolls;
    DueQueue<workload::Life> dueFirstPolls;
    /** First polls that may still be answered in time. */
    std::map<std::uint64_t, Timestamp> freshFirstPolls;
    /** Most workers owe an answer or have failed to give one: it is this process that is slow, or cut off. */
    bool isSlow = false;
    Timestamp nextWorkerCheck = absl::InfinitePast();
    Timestamp nextNeedlessCheck = absl::InfinitePast();
    Timestamp nextGangCheck = absl::InfinitePast();
    Timestamp nextReport = absl::InfinitePast();
    Timestamp nextWaitReport = absl::InfinitePast();
    Timestamp nextCellReport = absl::InfinitePast();
    std::set<std::string> teamsAtQuota;
    StepReports reports;
    bool mayBeNeedless = true;
    workload::ChangeLog<workload::Life>::Position syncedUntil = 0;
    std::vector<workload::Life> changedViews;
    /** Views by the time at which an answer becomes overdue. */
    DueQueue<workload::Life> dueViews;
    /** Lives that don't answer, have let an answer become overdue, or are about to leave: a few, but for a cut or a new term. */
    std::set<workload::Life> needAttention;
    /** What runs of a queue take, as a ratio to their estimates. */
    std::map<std::string, double> usualRatios;
    Setbacks setbacks;
    planning::AdviceBook advice;
    planning::Planner planner;
    std::map<std::uint64_t, PendingCall> calls;
    std::map<std::uint64_t, PendingProposal> proposals;
    std::uint64_t nextCall = 1;
    std::uint64_t nextProposal = 1;
    /** Smoothed time from an order to its answer, over all workers: this process' own slowness is in it. */
    Duration usualAnswerTime;
    /** Starts that wait for their answer. */
    std::size_t startsUnderWay = 0;
    /** Too many starts wait for their answer. */
    bool placingPauses = false;
    bool placing = false;
    bool changed = true;
    Timestamp nextForget = absl::InfinitePast();
    Timestamp nextPlan = absl::InfinitePast();
    Timestamp steppedAt;
    mutable std::map<std::string, std::uint32_t> waitingByQueue;
    mutable Timestamp countedAt = absl::InfinitePast();
    DispatchEffects effects;
};

} // namespace paddlepier::execution

#endif
