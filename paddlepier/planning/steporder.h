// The order in which waiting steps are planned.
//
// First by the priority of their queue; then what can still meet its objective before what is late, and that before what
// can't be of use any more; then jobs that have begun before those that haven't; then by age. When room is short some jobs
// are then served in time instead of all being late: few are under way at a time, and none is begun that would end late.
// A job with less time to spare than work left goes one priority up, but never to urgent work (priority 0): beside a
// steady stream of work that goes first, it would otherwise be late without need.
//
// Example:
//     for (const WantedStep &wanted : order.collect(wallMillis)) { ... }
//
// Thread safety: none; owned by the planner. Cost: O(waiting tasks + waiting steps x log).

#ifndef PADDLEPIER_PLANNING_STEPORDER_H
#define PADDLEPIER_PLANNING_STEPORDER_H

#include "paddlepier/planning/outlook.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <vector>

namespace paddlepier::planning
{

class StepOrder
{
public:
    StepOrder(const workload::Workload &workloadState, const Prospects &jobProspects);

    /** Steps with tasks that may be placed now, in order. @param wallMillis  milliseconds since 1970 */
    std::vector<WantedStep> collect(std::int64_t wallMillis) const;

private:
    void collectOccurrence(std::vector<WantedStep> &wanted, const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis) const;
    /** Place of a step's queue in the order. */
    static std::uint32_t rankOf(const WantedStep &wanted);

    const workload::Workload &state;
    const Prospects &prospects;
};

} // namespace paddlepier::planning

#endif
