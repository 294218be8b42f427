// Where tasks may be started under which workers were lost.
//
// Any task that ran on a lost worker may have taken it down, and most didn't: after the loss of a rack there are hundreds, and
// none of them may wait for the others. So a suspect starts at once, but where another loss would cost least: on an emptier
// worker, apart from other suspects, away from what is lasting or begins as a whole. After two losses nothing else is placed on
// its worker for a while, so that the next loss shows its cause; only a part of the workers is kept apart at a time.
//
// Tasks that workers refuse as invalid pause; so do those that may have cost as many workers as one task may.
//
// Example:
//     probation.begin(now);
//     probation.holdBack(now, wanted);
//     const double cost = penaltyOf(room, wanted) + Probation::penalty(room, task);
//     probation.noteStart(room, task, step);
//
// Thread safety: none; owned by the planner. Cost: begin() is O(suspects log runs), the rest O(1).

#ifndef PADDLEPIER_PLANNING_SUSPECTISOLATION_H
#define PADDLEPIER_PLANNING_SUSPECTISOLATION_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/taskbackoff.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>

namespace paddlepier::planning
{

class Probation
{
public:
    Probation(const workload::Workload &workloadState, const execution::RunTracks &runTracks, const execution::Setbacks &taskSetbacks, Rooms &planRooms);

    /** Begins a plan: marks the rooms in which suspects are proving themselves. */
    void begin(Timestamp now);
    /**
     * Takes tasks out that pause, and those that may have cost as many workers as one task may: what became of some of these isn't
     * known yet. A gang is taken out as a whole.
     */
    void holdBack(Timestamp now, WantedStep &wanted) const;
    /** What a loss of the worker would cost besides; 0 for a task that is no suspect. */
    static double penalty(const Room &room, const workload::Task &task);
    /** The task is placed there by this plan. */
    void noteStart(Room &room, const workload::Task &task, const work::StepSpecT &step);

private:
    /** Keeps other work off the room, if the task is to prove itself and few enough rooms are kept so. */
    void keepApart(Room &room, const workload::Task &task, const work::StepSpecT &step);

    const workload::Workload &state;
    const execution::RunTracks &tracks;
    const execution::Setbacks &setbacks;
    Rooms &rooms;
    std::size_t roomsApart = 0;
    std::size_t mostRoomsApart = 0;
};

} // namespace paddlepier::planning

#endif
