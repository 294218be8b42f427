// Restricts where tasks are started that may have crashed workers.

#include "paddlepier/planning/suspectisolation.h"

#include <algorithm>

namespace paddlepier::planning
{

namespace
{

/** Losses after which a task's worker is isolated; a single loss may be a coincidence. */
constexpr std::size_t minLossesToIsolate = 2;

/** A task that crashes its worker by starting does so within some tenths of a second; the answer may be a second late. */
constexpr Duration isolationTime = absl::Seconds(2);

/** At most one worker in this many is isolated, so that the tasks of a lost rack don't leave the rest of the cell idle. */
constexpr std::size_t workersPerIsolatedWorker = 6;
constexpr std::size_t minIsolationLimit = 2;

/** Penalties for placing a suspect task, in units of a completely free worker; the first outweighs the preference for fuller workers. */
constexpr double utilizationPenalty = 2.5;
constexpr double costlyRunsPenalty = 2.5;
constexpr double otherSuspectPenalty = 3.0;

} // namespace

SuspectIsolation::SuspectIsolation(const workload::Workload &workloadState,
                                   const execution::RunTracks &runTracks,
                                   const execution::TaskBackoff &backoff,
                                   CapacityIndex &planIndex)
    : state(workloadState)
    , tracks(runTracks)
    , taskBackoff(backoff)
    , capacityIndex(planIndex)
{
}

void SuspectIsolation::begin(Timestamp now)
{
    this->isolatedWorkers = 0;
    this->maxIsolatedWorkers = std::max(minIsolationLimit, this->capacityIndex.usableCount() / workersPerIsolatedWorker);
    for (const workload::TaskKey &key : this->state.suspects()) {
        const workload::Job &job = *this->state.findJob(key.job);
        const workload::Task &task = job.task(key);
        const auto track = this->tracks.find(key);
        WorkerCapacity *worker = task.hasRun() ? this->capacityIndex.find(task.worker) : nullptr;
        if (worker == nullptr || track == this->tracks.end() || track->second.isSettledAt(now)) {
            continue;
        }
        this->capacityIndex.markModified(*worker);
        ++worker->suspectRuns;
        if (now - track->second.placedAt < isolationTime) {
            this->isolate(*worker, task, job.stepSpec(key.step));
        }
    }
}

void SuspectIsolation::isolate(WorkerCapacity &worker, const workload::Task &task, const work::StepSpecT &step)
{
    // A gang needs many workers at the same time, most of which it shares with its other members.
    if (step.isGang || task.possibleLosses() < minLossesToIsolate || this->isolatedWorkers >= this->maxIsolatedWorkers) {
        return;
    }
    this->isolatedWorkers += worker.isIsolated ? 0 : 1;
    worker.isIsolated = true;
}

void SuspectIsolation::holdBack(Timestamp now, PendingStep &pending) const
{
    const bool hasBackoffs = this->taskBackoff.hasBackoffs(now);
    const auto isHeldBack = [this, now, hasBackoffs, &pending](std::uint32_t index) {
        const bool hasReachedLossLimit = pending.progress->tasks[index].awaitsLosses();
        return hasReachedLossLimit || (hasBackoffs && this->taskBackoff.isBackingOff(now, {pending.key.job, pending.key.occurrence, pending.key.step, index}));
    };
    const bool holdsAnyBack = std::any_of(pending.tasks.begin(), pending.tasks.end(), isHeldBack);
    if (holdsAnyBack && pending.step->isGang) {
        pending.tasks.clear();
    } else if (holdsAnyBack) {
        std::erase_if(pending.tasks, isHeldBack);
    }
}

double SuspectIsolation::penalty(const WorkerCapacity &worker, const workload::Task &task)
{
    if (!task.isSuspect()) {
        return 0;
    }
    const auto capacity = static_cast<double>(worker.record->registration.capacity->milliProcessors());
    const double used = 1.0 - static_cast<double>(worker.freeProcessors) / std::max(1.0, capacity);
    return utilizationPenalty * used + costlyRunsPenalty * std::min(1U, worker.record->costlyRuns) + otherSuspectPenalty * worker.suspectRuns;
}

void SuspectIsolation::recordStart(WorkerCapacity &worker, const workload::Task &task, const work::StepSpecT &step)
{
    if (task.isSuspect()) {
        this->capacityIndex.markModified(worker);
        ++worker.suspectRuns;
        this->isolate(worker, task, step);
    }
}

} // namespace paddlepier::planning
