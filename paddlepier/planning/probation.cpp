// Where tasks may be started under which workers were lost.

#include "paddlepier/planning/probation.h"

#include <algorithm>

namespace paddlepier::planning
{

namespace
{

/** Losses after which a task proves itself on a worker of its own: one may well be an accident. */
constexpr std::size_t lossesForProof = 2;

/** Each try may cost a worker for some seconds; so many of them are put at stake at a time, but two always. */
constexpr std::size_t workersPerTry = 8;
constexpr std::size_t leastTries = 2;

/** Penalties of a suspect's placement, in units of a wholly free worker; the first outweighs the preference for fuller workers. */
constexpr double crowdPenalty = 2.5;
constexpr double costlyPenalty = 2.5;
constexpr double otherSuspectPenalty = 3.0;

} // namespace

Probation::Probation(const workload::Workload &workloadState, const execution::RunTracks &runTracks, Rooms &planRooms)
    : state(workloadState)
    , tracks(runTracks)
    , rooms(planRooms)
{
}

bool Probation::needsProof(const workload::Task &task, const work::StepSpecT &step)
{
    return !step.isGang && task.possibleLosses() >= lossesForProof;
}

void Probation::begin(Timestamp now)
{
    this->tries = 0;
    this->mostTries = std::max(leastTries, this->rooms.all().size() / workersPerTry);
    for (const workload::TaskKey &key : this->state.suspects()) {
        const workload::Job &job = *this->state.findJob(key.job);
        const workload::Task &task = job.task(key);
        const auto track = this->tracks.find(key);
        const bool isSettled = track != this->tracks.end() && track->second.isSettledAt(now);
        if (!task.hasRun() || isSettled) {
            continue;
        }
        this->tries += needsProof(task, job.stepSpec(key.step)) ? 1 : 0;
        Room *room = this->rooms.find(task.worker);
        if (room != nullptr) {
            ++room->suspects;
            room->isKeptApart = room->isKeptApart || needsProof(task, job.stepSpec(key.step));
        }
    }
}

bool Probation::mayStart(const Room &room, const workload::Task &task, const work::StepSpecT &step) const
{
    if (room.isKeptApart || task.possibleLosses() >= workload::mostLosses) {
        return false;
    }
    return !needsProof(task, step) || (room.suspects == 0 && this->tries < this->mostTries);
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
    room.suspects += task.isSuspect() ? 1 : 0;
    if (needsProof(task, step)) {
        room.isKeptApart = true;
        ++this->tries;
    }
}

} // namespace paddlepier::planning
