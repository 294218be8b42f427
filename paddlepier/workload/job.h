// State machine of one job: applies placements and ends of runs to its steps and tasks.
//
// The steps of a job run once, or once per occurrence. The tasks of a step become runnable when all steps that it follows are done. A task has
// at most one active run; runs are numbered from 1. A gang is started and completed atomically: all members share one run number.
//
// A task that repeatedly coincides with the loss of its worker is abandoned and its job fails, since every further start could take down
// a worker with everything that runs there. A loss counts for each task that may have run on the worker. After lossThreshold losses the
// task is abandoned if it was the only suspect on the last lost worker; otherwise it gets maxFinalAttempts more starts and is abandoned
// after them. Workers crash for other reasons too, and a start that was sent may never have arrived: a task is abandoned only if enough of the
// lost workers are known to have run it, see Task::hasProvenLosses(). Loss records are part of the replicated state and survive leader changes, restarts and
// snapshots.
//
// Invariants:
//  - a task has a worker exactly while a run of it may be active there;
//  - a job that has ended gets no new runs, but may have runs whose end is not confirmed yet.
//
// Thread safety: none; owned by the ledger.

#ifndef PADDLEPIER_WORKLOAD_JOB_H
#define PADDLEPIER_WORKLOAD_JOB_H

#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/taskkey.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::workload
{

/**
 * Lost workers after which a task is abandoned, provided that it was the only suspect on the last of them and that freshLossThreshold of
 * the losses happened just after a start of the task. A higher threshold would cost the tasks beside it more work; a lower one would let two
 * unrelated losses fail a job that could complete.
 */
constexpr std::size_t lossThreshold = 3;
constexpr std::size_t freshLossThreshold = 2;
/**
 * Starts allowed after lossThreshold losses, however they end: a member of a gang may be stopped because of another member before it
 * takes its worker down, and would otherwise be started without limit.
 */
constexpr std::uint32_t maxFinalAttempts = 2;
/**
 * Lost workers that have confirmed that they ran a task, or that have most probably run it, without which it isn't abandoned, however many losses
 * coincide with it.
 */
constexpr std::uint32_t confirmedLossThreshold = 2;
constexpr std::uint32_t probableLossThreshold = 3;
/** Losses after which a task is abandoned even if it was never the only suspect. */
constexpr std::size_t maxLosses = lossThreshold + maxFinalAttempts;

/**
 * A lasting task is settled, and its earlier losses are cleared, if it was placed at least this long before the loss of its worker was
 * detected. Detection takes at most a lease (10 s) plus the time until an unresponsive worker is removed (20 s), so a settled task had
 * been running for a while; one that takes its worker down once a minute is still worth running.
 */
constexpr std::int64_t settledAfterMillis = 60'000;

struct Task {
    bool isDone = false;
    bool everStarted = false;
    /** Number of the newest run placed; 0 before the first. */
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    /** Worker of the run that may be active; its id is empty if no run is. */
    Incarnation worker;
    std::string checkpoint;
    /** Workers that were lost while the task may have run there; the newest maxLosses of them. */
    std::vector<std::string> lostWorkers;
    /** Losses of workers on which the task had just been started. */
    std::uint32_t freshLosses = 0;
    /** Losses of workers that had confirmed that they ran the task. */
    std::uint32_t confirmedLosses = 0;
    /** Losses of workers that had answered an order right before they left the task's start unanswered. */
    std::uint32_t verifiedLosses = 0;
    /** Newest run whose start is sent only right after its worker has answered another order; 0 if none. */
    std::uint32_t verifiedRun = 0;
    std::int64_t placedAtMillis = 0;
    /** Placements since lossThreshold was reached. */
    std::uint32_t finalAttempts = 0;
    /** Workers on which the lease of a run expired and which may be lost or merely partitioned; maintained by Workload. */
    std::uint32_t unconfirmedLosses = 0;

    bool hasRun() const
    {
        return !this->worker.id.empty();
    }

    /** A worker was lost while the task may have run there, so that the task may be the cause. */
    bool isSuspect() const
    {
        return !this->lostWorkers.empty();
    }

    /** Losses, including the unconfirmed ones, which may turn out to be partitions. */
    std::size_t possibleLosses() const
    {
        return this->lostWorkers.size() + this->unconfirmedLosses;
    }

    bool hasProvenLosses() const
    {
        return this->confirmedLosses >= confirmedLossThreshold || this->confirmedLosses + this->verifiedLosses >= probableLossThreshold;
    }

    /** Another start might exceed the bound on losses, depending on what becomes of workers that are unresponsive now. */
    bool awaitsLosses() const
    {
        return this->unconfirmedLosses > 0 && this->possibleLosses() >= maxLosses;
    }
};

/** Reason for which a job has failed. */
struct JobFailure {
    work::JobFailureReason reason = work::JobFailureReason::None;
    TaskKey task;
    std::vector<std::string> lostWorkers;

    /** Description for callers and operators; empty if the job has not failed. */
    std::string text() const;
};

struct Step {
    std::vector<Task> tasks;
    std::uint32_t doneTasks = 0;
    std::uint32_t runningTasks = 0;
    /** Tasks that are not done and have no run. A done task can have a run: when a superseded run completes, its copy may still be active. */
    std::uint32_t waitingTasks = 0;
    /** Steps that this one follows and that are not done yet. */
    std::uint32_t openPredecessors = 0;
    std::uint32_t gangFailures = 0;
    std::uint32_t lastFailedRun = 0;

    bool isDone() const
    {
        return this->doneTasks == this->tasks.size();
    }
};

struct Occurrence {
    std::vector<Step> steps;
};

/**
 * Identifies a queue to its callers. Its name doesn't: a configuration may rename a queue, or give its name to another one.
 *
 * @param host  compared without regard to case
 */
std::string queueAddress(std::string_view host, std::string_view pathPrefix);

/** Length of a job's id, which consists of hexadecimal digits. */
constexpr std::size_t jobIdLength = 16;

/** Maximum number of tasks of one job over all its occurrences. */
constexpr std::uint64_t maxTasksPerJob = 20'000;

class Job
{
public:
    /** @param team  team whose quota the job counts towards; empty for none */
    Job(std::string jobId, work::QueueSpecT queueSpec, work::JobSpecT jobSpec, std::int64_t nowMillis, std::string team = {});
    explicit Job(const work::JobRecordT &record);

    const std::string &id() const;
    /** Empty for a job without a team. Fixed at submission, even if the key used then is later moved or removed. */
    const std::string &team() const;
    const work::JobSpecT &spec() const;
    const work::StepSpecT &stepSpec(std::uint32_t step) const;
    /** The queue's configuration at the time when the job was accepted. */
    const work::QueueSpecT &queue() const;
    /** Address of the queue that accepted the job. Together with the id, it identifies the job to its callers. */
    const std::string &queueAddress() const;
    work::JobState state() const;
    bool isCancelled() const;
    std::int64_t submittedAtMillis() const;
    std::int64_t endedAtMillis() const;
    const std::vector<Occurrence> &occurrences() const;
    const Task &task(const TaskKey &key) const;

    bool hasEnded() const;
    /** The job has ended and none of its runs is active. */
    bool isFullyEnded() const;
    bool hasTask(const TaskKey &key) const;
    std::uint32_t activeRunCount() const;
    /** Tasks of all steps, ready or not, that are not done and have no run; O(1). */
    std::uint32_t waitingTasks() const;
    /** A run of the job is known to have reached a worker. Learnt from the ends that workers report, so that a first active run doesn't count. */
    bool hasStarted() const;
    /** Earliest start of an occurrence in milliseconds since 1970; 0 for a job without repetitions. */
    std::int64_t dueMillis(std::uint32_t occurrence) const;
    /** Whether all steps that @p step follows are done; O(1). */
    bool isReady(std::uint32_t occurrence, std::uint32_t step) const;
    /** The next run number of a task; for a member of a gang, that of the gang. */
    std::uint32_t nextRun(const TaskKey &key) const;

    /** Whether a run with this number may be placed now. */
    bool mayPlace(const TaskKey &key, std::uint32_t run) const;
    void place(const TaskKey &key, std::uint32_t run, const Incarnation &worker, std::int64_t nowMillis);
    /** Reassigns an active run from @p from to the worker's next incarnation, which received its start. @return false if @p from has no such run */
    bool moveRun(const TaskKey &key, std::uint32_t run, const Incarnation &from, const Incarnation &to);
    /** Ends the active run; the end of any other run is ignored. @return whether the run was active */
    bool endRun(const TaskKey &key, std::uint32_t run, const Incarnation &worker, work::RunEndKind kind, const std::string &checkpoint, std::int64_t nowMillis);
    /** Applies the end of a superseded run: Done completes the task, Failed counts as an attempt. */
    void endSupersededRun(const TaskKey &key, std::uint32_t run, work::RunEndKind kind, std::int64_t nowMillis);
    void cancel(std::int64_t nowMillis);

    /**
     * Records the loss of a worker on which a run of the task may have been active.
     *
     * @param atLoss         what is known of the run; not NotBegun or Settled
     * @param isOnlySuspect  no other run on the worker can have caused the loss
     * @return whether the task is abandoned because of this loss
     */
    bool recordLoss(const TaskKey &key, const Incarnation &worker, work::RunAtLoss atLoss, bool isOnlySuspect, std::int64_t nowMillis);
    void verifyStart(const TaskKey &key, std::uint32_t run);
    /** Clears the recorded losses, once the task has run long enough not to be their cause. */
    void clearLosses(const TaskKey &key);
    /** Adds @p change, 1 or -1, to the number of unconfirmed losses. */
    void adjustUnconfirmedLosses(const TaskKey &key, std::int32_t change);
    const JobFailure &failure() const;

    /** Frees the payload of an ended job, which only starts need. */
    void releasePayload();

    /** Serializes the job for a snapshot; the tasks of a fully ended job are left out. */
    flatbuffers::Offset<work::JobRecord> pack(flatbuffers::FlatBufferBuilder &builder) const;
    work::JobRecordT record() const;

private:
    Task &mutableTask(const TaskKey &key);
    Step &mutableStep(const TaskKey &key);
    void applyRunEnd(const TaskKey &key, std::uint32_t run, work::RunEndKind kind, std::int64_t nowMillis);
    void completeTask(const TaskKey &key);
    /** Recomputes the derived counts of tasks and steps; O(tasks). */
    void recount();
    void adjustWaiting(Step &step, std::int32_t change);
    /** Decrements the open predecessors of all steps that follow the done step @p step. */
    void releaseSuccessors(Occurrence &occurrence, std::uint32_t step) const;
    void recordFailure(const TaskKey &key, std::uint32_t run, std::int64_t nowMillis);
    void end(work::JobState endState, std::int64_t nowMillis);
    void fail(work::JobFailureReason reason, const TaskKey &key, std::int64_t nowMillis);
    bool isComplete() const;

    std::string jobId;
    std::string teamName;
    work::QueueSpecT queueSpec;
    std::string addressOfQueue;
    work::JobSpecT jobSpec;
    work::JobState jobState = work::JobState::Queued;
    bool cancelled = false;
    std::int64_t submittedAt = 0;
    std::int64_t endedAt = 0;
    JobFailure jobFailure;
    std::vector<Occurrence> occurrenceList;
    // Derived by recount():
    std::uint32_t activeRuns = 0;
    std::uint32_t waitingCount = 0;
    /** Steps of all occurrences that are not done. */
    std::uint64_t openSteps = 0;
    bool hasStartedRun = false;
};

/** @return description of the first error in @p spec; empty if it is valid */
std::string validationError(const work::JobSpecT &spec);

} // namespace paddlepier::workload

#endif
