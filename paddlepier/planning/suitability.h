// What a plan knows of a worker and of a waiting step, and how well the one suits the other.
//
// A job is served only when all its tasks are, and any worker may fail or be cut off, most often with its whole data
// centre. The tasks of a step are therefore kept together: in one data centre, on few workers, so that one failure holds
// few jobs up. Steps that last owe nothing as a whole and go where there is most room.
//
// Example:
//     step.home = homeOf(step, rooms);
//     const double penalty = penaltyOf(room, step); // the room with the least suits best
//
// Thread safety: plain values and free functions without state. Cost: O(1) but for homeOf(), which is O(rooms).

#ifndef PADDLEPIER_PLANNING_SUITABILITY_H
#define PADDLEPIER_PLANNING_SUITABILITY_H

#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/outlook.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/** One worker as a plan sees it: what is left of it after the placements decided so far. */
struct Room {
    const workload::Worker *worker = nullptr;
    const execution::WorkerView *view = nullptr;
    std::string rack;
    /** It failed too much, but its time out is over. */
    bool isOnProbation = false;
    std::int64_t processors = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    /** Room that stopping runs are about to give back. */
    std::int64_t comingProcessors = 0;
    std::int64_t comingMemory = 0;
    /** Runs that owe their users a latency, and runs that may disturb them. */
    std::uint32_t serving = 0;
    std::uint32_t filling = 0;

    const std::string &id() const;
    const std::string &dataCentre() const;
    bool fits(const work::StepSpecT &step) const;
    std::size_t tasksThatFit(const work::StepSpecT &step) const;
    /** Takes @p tasks of @p step into account; a negative number takes them back. */
    void take(const work::StepSpecT &step, std::int64_t tasks = 1);
};

/** One step with tasks to place. */
struct WantedStep {
    const workload::Job *job = nullptr;
    workload::StepKey key;
    const work::StepSpecT *step = nullptr;
    Outlook outlook = Outlook::InTime;
    std::vector<std::uint32_t> tasks;
    /** Tasks of this step on each worker. */
    std::map<std::string, std::uint32_t> onWorker;
    /** Data centre that its tasks had best go to; empty if that makes no difference. */
    std::string home;

    /** Its tasks are best kept together. */
    bool isServedAsAWhole() const;
};

/** Where most of the step's tasks are already, and otherwise where there is most room for it. */
std::string homeOf(const WantedStep &wanted, const std::vector<Room> &rooms);

/** How badly the worker suits the step; the unit is a wholly free worker. */
double penaltyOf(const Room &room, const WantedStep &wanted);

} // namespace paddlepier::planning

#endif
