// Where tasks may be started under which workers were lost.

#include "paddlepier/planning/suspectisolation.h"

#include <algorithm>

namespace paddlepier::planning
{

namespace
{

/** Losses after which a task proves itself on a worker of its own: one may well be an accident. */
constexpr std::size_t lossesForProof = 2;

/** What takes its worker down by starting does so within some tenths of a second; the answer may be a second late. */
constexpr Duration apartFor = absl::Seconds(2);

/** One worker of so many is kept apart at the most, so that a lost rack's tasks don't keep the rest of the cell empty. */
constexpr std::size_t workersPerRoomApart = 6;
constexpr std::size_t leastRoomsApart = 2;

/** Penalties of a suspect's placement, in units of a wholly free worker; the first outweighs the preference for fuller workers. */
constexpr double crowdPenalty = 2.5;
constexpr double costlyPenalty = 2.5;
constexpr double otherSuspectPenalty = 3.0;

} // namespace

SuspectIsolation::SuspectIsolation(const workload::Workload &workloadState,
                                   const execution::RunTracks &runTracks,
                                   const execution::TaskBackoff &taskSetbacks,
                                   CapacityIndex &planRooms)
    : state(workloadState)
    , tracks(runTracks)
    , taskBackoff(taskSetbacks)
    , capacityIndex(planRooms)
{
}

void SuspectIsolation::begin(Timestamp now)
{
    this->isolatedWorkers = 0;
    this->maxIsolatedWorkers = std::max(leastRoomsApart, this->capacityIndex.usableCount() / workersPerRoomApart);
    for (const workload::TaskKey &key : this->state.suspects()) {
        const workload::Job &job = *this->state.findJob(key.job);
        const workload::Task &task = job.task(key);
        const auto track = this->tracks.find(key);
        WorkerCapacity *room = task.hasRun() ? this->capacityIndex.find(task.worker) : nullptr;
        if (room == nullptr || track == this->tracks.end() || track->second.isSettledAt(now)) {
            continue;
        }
        this->capacityIndex.markModified(*room);
        ++room->suspectRuns;
        if (now - track->second.placedAt < apartFor) {
            this->isolate(*room, task, job.stepSpec(key.step));
        }
    }
}

void SuspectIsolation::isolate(WorkerCapacity &room, const workload::Task &task, const work::StepSpecT &step)
{
    // A gang needs many workers at once, most of which its other members share with it.
    if (step.isGang || task.possibleLosses() < lossesForProof || this->isolatedWorkers >= this->maxIsolatedWorkers) {
        return;
    }
    this->isolatedWorkers += room.isIsolated ? 0 : 1;
    room.isIsolated = true;
}

void SuspectIsolation::holdBack(Timestamp now, PendingStep &wanted) const
{
    const bool hasPauses = this->taskBackoff.hasBackoffs(now);
    const auto isHeld = [this, now, hasPauses, &wanted](std::uint32_t index) {
        const bool mayCostNoMore = wanted.progress->tasks[index].possibleLosses() >= workload::maxLosses;
        return mayCostNoMore || (hasPauses && this->taskBackoff.isBackingOff(now, {wanted.key.job, wanted.key.occurrence, wanted.key.step, index}));
    };
    const bool holdsSome = std::any_of(wanted.tasks.begin(), wanted.tasks.end(), isHeld);
    if (holdsSome && wanted.step->isGang) {
        wanted.tasks.clear();
    } else if (holdsSome) {
        std::erase_if(wanted.tasks, isHeld);
    }
}

double SuspectIsolation::penalty(const WorkerCapacity &room, const workload::Task &task)
{
    if (!task.isSuspect()) {
        return 0;
    }
    const auto capacity = static_cast<double>(room.record->registration.capacity->milliProcessors());
    const double used = 1.0 - static_cast<double>(room.freeProcessors) / std::max(1.0, capacity);
    return crowdPenalty * used + costlyPenalty * std::min(1U, room.record->costlyRuns) + otherSuspectPenalty * room.suspectRuns;
}

void SuspectIsolation::recordStart(WorkerCapacity &room, const workload::Task &task, const work::StepSpecT &step)
{
    if (task.isSuspect()) {
        this->capacityIndex.markModified(room);
        ++room.suspectRuns;
        this->isolate(room, task, step);
    }
}

} // namespace paddlepier::planning
