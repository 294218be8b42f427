// Where tasks may be started under which workers were lost.
//
// Any task that ran on a lost worker may have taken it down, and most didn't. After one loss a task starts where another
// one would cost least: on an emptier worker, apart from other suspects, away from what is lasting or begins as a whole. After
// two it starts only where no other suspect is proving itself, and nothing else is placed there until the run has worked for a
// while or has ended, so that the next loss shows its cause; a few such tries are made at a time, and the others wait. A
// gang can't wait for so many workers of its own, and is only kept apart where there is a choice.
//
// Example:
//     probation.begin(now);
//     if (probation.mayStart(room, task, step)) { ... penalty + probation.penalty(room, task) ... }
//     probation.noteStart(room, task, step);
//
// Thread safety: none; owned by the planner. Cost: begin() is O(suspects log runs), the rest O(1).

#ifndef PADDLEPIER_PLANNING_PROBATION_H
#define PADDLEPIER_PLANNING_PROBATION_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/planning/rooms.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>

namespace paddlepier::planning
{

class Probation
{
public:
    Probation(const workload::Workload &workloadState, const execution::RunTracks &runTracks, Rooms &planRooms);

    /** Begins a plan: marks the rooms in which suspects are proving themselves. */
    void begin(Timestamp now);
    bool mayStart(const Room &room, const workload::Task &task, const work::StepSpecT &step) const;
    /** What a loss of the worker would cost besides; 0 for a task that is no suspect. */
    static double penalty(const Room &room, const workload::Task &task);
    /** The task is placed there by this plan. */
    void noteStart(Room &room, const workload::Task &task, const work::StepSpecT &step);

private:
    /** It has to prove itself on a worker of its own. */
    static bool needsProof(const workload::Task &task, const work::StepSpecT &step);

    const workload::Workload &state;
    const execution::RunTracks &tracks;
    Rooms &rooms;
    /** Tasks on workers of their own, and the most there may be. */
    std::size_t tries = 0;
    std::size_t mostTries = 0;
};

} // namespace paddlepier::planning

#endif
