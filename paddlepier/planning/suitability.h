// What a plan knows of a worker and of a waiting step, and how well the one suits the other.
//
// A job is served only when all its tasks are, and any worker may fail or be cut off, most often with its whole data
// centre. The tasks of a step are therefore kept together: in one data centre, on few workers, so that one failure holds
// few jobs up. Steps that last owe nothing as a whole and go where there is most room.
//
// Example:
//     const double penalty = penaltyOf(room, step); // the room with the least suits best
//
// Thread safety: plain values and free functions without state. Cost: O(1).

#ifndef PADDLEPIER_PLANNING_SUITABILITY_H
#define PADDLEPIER_PLANNING_SUITABILITY_H

#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::planning
{

/** No data centre is better than another. */
constexpr std::uint32_t noHome = std::numeric_limits<std::uint32_t>::max();

/** Tasks of @p step that fit into so much room. */
std::size_t tasksThatFitInto(std::int64_t processors, std::int64_t memory, std::int64_t accelerators, const work::StepSpecT &step);

/** One worker as a plan sees it: what is left of it after the placements decided so far. */
struct Room {
    /** Key of `worker` in the ledger; both are null while the room is empty. */
    const workload::Life *lifeOfWorker = nullptr;
    const workload::Worker *worker = nullptr;
    const execution::WorkerView *view = nullptr;
    /** Numbers of the rooms' data centres and services, and of the worker in the advice book. */
    std::uint32_t dataCentre = 0;
    std::uint32_t service = 0;
    std::uint32_t adviceNumber = 0;
    /** Its worker answers, doesn't drain and may be given work. */
    bool isUsable = false;
    /** An answer of its worker is late. */
    bool isOverdue = false;
    /** A plan has changed it. */
    bool isTouched = false;
    /** Its machine is off. */
    bool isSpare = false;
    /** Its last runs failed, but its time out is over. */
    bool isOnProbation = false;
    /** Runs there that haven't worked for long yet, of tasks under which workers were lost. */
    std::uint32_t suspects = 0;
    /** One of them is to show whether its task is the cause: nothing else goes there meanwhile. */
    bool isKeptApart = false;
    std::int64_t processors = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    /** Processors that stopping runs are about to give back. */
    std::int64_t comingProcessors = 0;
    /** Of the step that is being planned: tasks there, whether it was ever counted there, and what the policy service says. */
    std::uint32_t stepTasks = 0;
    bool isOfStep = false;
    Standing standing = Standing::Unasked;

    const workload::Life &life() const;
    std::string_view rack() const;

    /** Asked for each worker and step of a plan, so that it is best inlined. */
    bool fits(const work::StepSpecT &step) const
    {
        const work::Demand &demand = *step.demand;
        const bool hasProcessors = step.isFilling || this->processors >= demand.milliProcessors();
        return hasProcessors && this->memory >= demand.memoryMegabytes() && this->accelerators >= demand.accelerators();
    }

    std::size_t tasksThatFit(const work::StepSpecT &step) const;
    /** Takes @p tasks of @p step into account; a negative number takes them back. */
    void take(const work::StepSpecT &step, std::int64_t tasks = 1);
};

/** One step with tasks to place. */
struct WantedStep {
    const workload::Job *job = nullptr;
    workload::StepKey key;
    const work::StepSpecT *step = nullptr;
    const workload::Step *progress = nullptr;
    /** In time, with nothing left to do, for what is to last: it has no end to meet. */
    Prospect prospect;
    std::vector<std::uint32_t> tasks;
    /** A task of its occurrence has been placed before. */
    bool hasBegun = false;
    /** Data centre that its tasks had best go to. */
    std::uint32_t home = noHome;
    /** Data centre for those that don't fit there. */
    std::uint32_t reserve = noHome;

    /** Its tasks are best kept together. */
    bool isServedAsAWhole() const;
};

/** How badly the worker suits the step; the unit is a wholly free worker. */
double penaltyOf(const Room &room, const WantedStep &wanted);

} // namespace paddlepier::planning

#endif
