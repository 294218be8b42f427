// One job of steps: the aggregate that decides what a placement or the end of a run does to it.
//
// A job's steps run once, or once for each occurrence. A step's tasks may run when all steps that it follows are done. Of
// a task at most one run is under way; runs are numbered from 1. A gang runs and ends as a whole: all members carry the
// same run number.
//
// A task under which worker after worker is lost is given up, and its job fails: every start of it would cost a worker and
// all that runs there. A loss counts for each task that may have run on the worker. After enoughLosses the task is given up if
// the last of these workers ran nothing else that can have been the cause, after mostLastTries more in any case. What is known of losses
// is part of the replicated state, so that it outlives leaders, restarts and snapshots.
//
// Invariants:
//  - a task has a worker exactly while a run of it may be under way there;
//  - a job that has ended has no new runs, but may have runs that aren't known to be over.
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
#include <vector>

namespace paddlepier::workload
{

/**
 * Workers lost under one task after which it's given up, if nothing else can have taken the last of them down and another one was lost
 * just after the task's start, too. Each further one would cost its neighbours their work; fewer would let two accidents end a job that
 * could be done.
 */
constexpr std::size_t enoughLosses = 3;
constexpr std::size_t enoughFreshLosses = 2;
/** Starts after enoughLosses, however they end: a member of a gang may be broken off by another one before it takes its worker down. */
constexpr std::uint32_t mostLastTries = 2;
/** The same whatever is known of the losses. */
constexpr std::size_t mostLosses = enoughLosses + mostLastTries;

/**
 * A lasting task that was placed so long before its worker was known to be lost had been at work: a loss is known within a lease and the
 * time after which silent workers are forgotten (10 s and 20 s), and a task that takes its worker down once a minute is worth keeping.
 */
constexpr std::int64_t settledAfterMillis = 60'000;

struct Task {
    bool isDone = false;
    bool everStarted = false;
    /** Highest run given out; 0 before the first. */
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    /** Life of the worker of the run that may be under way; without an id if there is none. */
    Life worker;
    std::string checkpoint;
    /** Workers that were lost while it ran there; mostLosses at most. */
    std::vector<std::string> lostWorkers;
    /** Of these, the ones on which it had just been started. */
    std::uint32_t freshLosses = 0;
    std::int64_t placedAtMillis = 0;
    /** Placements since it had enoughLosses. */
    std::uint32_t lastTries = 0;
    /** Workers on which a run of it was given up with its lease, and which may be lost or cut off; kept by the workload. */
    std::uint32_t doubtfulWorkers = 0;

    bool hasRun() const
    {
        return !this->worker.id.empty();
    }

    /** A worker was lost under it: it may be the cause. */
    bool isSuspect() const
    {
        return !this->lostWorkers.empty();
    }

    /** Losses, those counted that may turn out to be cuts. */
    std::size_t possibleLosses() const
    {
        return this->lostWorkers.size() + this->doubtfulWorkers;
    }
};

/** Why a job has failed. */
struct JobFailure {
    work::JobFailureReason reason = work::JobFailureReason::None;
    TaskKey task;
    std::vector<std::string> lostWorkers;

    /** For callers and operators; empty while there is no failure. */
    std::string text() const;
};

struct Step {
    std::vector<Task> tasks;
    std::uint32_t doneTasks = 0;
    std::uint32_t runningTasks = 0;
    /** Tasks that are neither done nor have a run; beside copies a task can be done and have one. */
    std::uint32_t waitingTasks = 0;
    /** Steps that this one follows and that aren't done. */
    std::uint32_t openBefore = 0;
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

/** Most tasks that one job may have in all its occurrences. */
constexpr std::uint64_t mostTasks = 20'000;

class Job
{
public:
    /** @param team  the one that the job counts for; empty for none */
    Job(std::string jobId, work::QueueSpecT queueSpec, work::JobSpecT jobSpec, std::int64_t nowMillis, std::string team = {});
    explicit Job(const work::JobRecordT &record);

    const std::string &id() const;
    /** Empty for a job of no team. It stays the same, whatever becomes of the key that it came with. */
    const std::string &team() const;
    const work::JobSpecT &spec() const;
    const work::StepSpecT &stepSpec(std::uint32_t step) const;
    /** As it stood when the job was accepted. */
    const work::QueueSpecT &queue() const;
    work::JobState state() const;
    bool isCancelled() const;
    std::int64_t submittedAtMillis() const;
    std::int64_t endedAtMillis() const;
    const std::vector<Occurrence> &occurrences() const;
    const Task &task(const TaskKey &key) const;

    bool hasEnded() const;
    /** It has ended, and no run of it is under way. */
    bool isOver() const;
    bool hasTask(const TaskKey &key) const;
    std::uint32_t runsUnderWay() const;
    /** Tasks of all steps, ready or not, that are neither done nor have a run; O(1). */
    std::uint32_t waitingTasks() const;
    /** A run of it was on a worker; one that is there now and hasn't ended may not be known here. */
    bool hasBegun() const;
    /** When an occurrence may start, in milliseconds since 1970; 0 for a job without repetitions. */
    std::int64_t dueMillis(std::uint32_t occurrence) const;
    /** All steps that @p step follows are done; O(1). */
    bool isReady(std::uint32_t occurrence, std::uint32_t step) const;
    /** The next run number of a task, or of the whole gang. */
    std::uint32_t nextRun(const TaskKey &key) const;

    /** A run with this number may begin now. */
    bool mayPlace(const TaskKey &key, std::uint32_t run) const;
    void place(const TaskKey &key, std::uint32_t run, const Life &worker, std::int64_t nowMillis);
    /** The run that is under way at @p from turns out to be on the next life of that worker. @return whether it was that run */
    bool moveRun(const TaskKey &key, std::uint32_t run, const Life &from, const Life &to);
    /** Ends the run that is under way; an end of any other run changes nothing. @return whether it was that run */
    bool endRun(const TaskKey &key, std::uint32_t run, const Life &worker, work::RunEndKind kind, const std::string &checkpoint, std::int64_t nowMillis);
    /** A run that was superseded has ended: done counts as the task's end, failed as an attempt. */
    void endSupersededRun(const TaskKey &key, std::uint32_t run, work::RunEndKind kind, std::int64_t nowMillis);
    void cancel(std::int64_t nowMillis);

    /**
     * A worker was lost while a run of the task may have been there.
     *
     * @param isFresh        the run had just been started
     * @param isOnlySuspect  nothing else on the worker can have been the cause
     * @return whether the task is given up with that
     */
    bool noteLoss(const TaskKey &key, const Life &worker, bool isFresh, bool isOnlySuspect, std::int64_t nowMillis);
    /** The task has shown that losses before weren't its doing. */
    void forgetLosses(const TaskKey &key);
    /** One worker more, or less, of which it isn't known whether it was lost under the task. */
    void countDoubt(const TaskKey &key, std::int32_t change);
    const JobFailure &failure() const;

    /** Of an ended job: frees what only a start needs. */
    void dropPayload();

    /** For a snapshot; the tasks of a job that is over are left out. */
    flatbuffers::Offset<work::JobRecord> pack(flatbuffers::FlatBufferBuilder &builder) const;
    work::JobRecordT record() const;

private:
    Task &taskOf(const TaskKey &key);
    Step &stepOf(const TaskKey &key);
    void takeEnd(const TaskKey &key, std::uint32_t run, work::RunEndKind kind, std::int64_t nowMillis);
    void finishTask(const TaskKey &key);
    /** Counts the tasks and steps anew; O(tasks). */
    void countAnew();
    void countWaiting(Step &step, std::int32_t change);
    /** The step is done: those that follow it have one step less to wait for. */
    void releaseFollowers(Occurrence &occurrence, std::uint32_t step) const;
    void countFailure(const TaskKey &key, std::uint32_t run, std::int64_t nowMillis);
    void end(work::JobState endState, std::int64_t nowMillis);
    void fail(work::JobFailureReason reason, const TaskKey &key, std::int64_t nowMillis);
    bool isComplete() const;

    std::string jobId;
    std::string owner;
    work::QueueSpecT queueSpec;
    work::JobSpecT jobSpec;
    work::JobState jobState = work::JobState::Queued;
    bool cancelled = false;
    std::int64_t submittedAt = 0;
    std::int64_t endedAt = 0;
    JobFailure jobFailure;
    std::vector<Occurrence> runs;
    // Derived:
    std::uint32_t underWay = 0;
    std::uint32_t waiting = 0;
    /** In all occurrences. */
    std::uint64_t openSteps = 0;
    bool anyStarted = false;
};

/** What is wrong with @p spec, or an empty text. */
std::string problemOf(const work::JobSpecT &spec);

} // namespace paddlepier::workload

#endif
