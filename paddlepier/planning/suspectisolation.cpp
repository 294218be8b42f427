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

Probation::Probation(const workload::Workload &workloadState, const execution::RunTracks &runTracks, const execution::Setbacks &taskSetbacks, Rooms &planRooms)
    : state(workloadState)
    , tracks(runTracks)
    , setbacks(taskSetbacks)
    , rooms(planRooms)
{
}

void Probation::begin(Timestamp now)
{
    this->roomsApart = 0;
    this->mostRoomsApart = std::max(leastRoomsApart, this->rooms.usableCount() / workersPerRoomApart);
    for (const workload::TaskKey &key : this->state.suspects()) {
        const workload::Job &job = *this->state.findJob(key.job);
        const workload::Task &task = job.task(key);
        const auto track = this->tracks.find(key);
        Room *room = task.hasRun() ? this->rooms.find(task.worker) : nullptr;
        if (room == nullptr || track == this->tracks.end() || track->second.isSettledAt(now)) {
            continue;
        }
        this->rooms.touch(*room);
        ++room->suspects;
        if (now - track->second.placedAt < apartFor) {
            this->keepApart(*room, task, job.stepSpec(key.step));
        }
    }
}

void Probation::keepApart(Room &room, const workload::Task &task, const work::StepSpecT &step)
{
    // A gang needs many workers at once, most of which its other members share with it.
    if (step.isGang || task.possibleLosses() < lossesForProof || this->roomsApart >= this->mostRoomsApart) {
        return;
    }
    this->roomsApart += room.isKeptApart ? 0 : 1;
    room.isKeptApart = true;
}

void Probation::holdBack(Timestamp now, WantedStep &wanted) const
{
    const bool hasPauses = this->setbacks.hasPauses(now);
    const auto isHeld = [this, now, hasPauses, &wanted](std::uint32_t index) {
        const bool mayCostNoMore = wanted.progress->tasks[index].possibleLosses() >= workload::mostLosses;
        return mayCostNoMore || (hasPauses && this->setbacks.isPaused(now, {wanted.key.job, wanted.key.occurrence, wanted.key.step, index}));
    };
    const bool holdsSome = std::any_of(wanted.tasks.begin(), wanted.tasks.end(), isHeld);
    if (holdsSome && wanted.step->isGang) {
        wanted.tasks.clear();
    } else if (holdsSome) {
        std::erase_if(wanted.tasks, isHeld);
    }
}

double Probation::penalty(const Room &room, const workload::Task &task)
{
    if (!task.isSuspect()) {
        return 0;
    }
    const auto capacity = static_cast<double>(room.worker->registration.capacity->milliProcessors());
    const double used = 1.0 - static_cast<double>(room.processors) / std::max(1.0, capacity);
    return crowdPenalty * used + costlyPenalty * std::min(1U, room.worker->costlyRuns) + otherSuspectPenalty * room.suspects;
}

void Probation::noteStart(Room &room, const workload::Task &task, const work::StepSpecT &step)
{
    if (task.isSuspect()) {
        this->rooms.touch(room);
        ++room.suspects;
        this->keepApart(room, task, step);
    }
}

} // namespace paddlepier::planning
