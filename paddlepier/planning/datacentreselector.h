// Selects the data centre in which the tasks of a step are kept together.
//
// A job ends with its last task, and a network partition of a data centre affects everything on it. A step placed in one of five
// data centres is hit by a fifth of the partitions, a step spread over all of them by each. The data centre is therefore
// selected once, before advice is requested, and kept while answers arrive and capacity changes: selected again in each plan, two
// of five steps of 13 tasks were spread over several data centres at 1,100 workers.
//
// Urgent work goes to the data centre of the callers that wait for it: if that is partitioned, results from any other data centre
// can't reach them either, so that one partition doesn't affect two groups of callers. Other work goes where most of its tasks fit, which
// keeps the data centres evenly used. If a step doesn't fit into its preferred data centre completely, the rest goes to one fallback.
//
// Example:
//     const DataCentreChoice choice = selector.select(pending, capacityIndex, permittedShare);
//
// Thread safety: none; owned by the planner. Cost: select() is O(log steps), and O(workers) once for each step.

#ifndef PADDLEPIER_PLANNING_DATACENTRESELECTOR_H
#define PADDLEPIER_PLANNING_DATACENTRESELECTOR_H

#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/taskkey.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::planning
{

/** Data centres by their numbers in the current plan. */
struct DataCentreChoice {
    std::uint32_t preferred = noDataCentre;
    /** For tasks that don't fit into the preferred one. */
    std::uint32_t fallback = noDataCentre;
};

class DataCentreSelector
{
public:
    /** @param permittedShare  expected share of workers that the policy service permits */
    DataCentreChoice select(const PendingStep &pending, const CapacityIndex &capacityIndex, double permittedShare);

    /** Removes the choices for jobs for which @p hasEnded returns true; O(steps). */
    template<typename Predicate>
    void removeEndedJobs(Predicate hasEnded)
    {
        std::erase_if(this->chosen, [&hasEnded](const auto &entry) { return hasEnded(entry.first.job); });
    }

private:
    /** Data centres by name, since the numbers may change from plan to plan. */
    struct NamedChoice {
        std::string preferred;
        std::string fallback;
    };

    static NamedChoice choose(const PendingStep &pending, const CapacityIndex &capacityIndex, double permittedShare);
    /** Names of data centres that suit @p pending by its data or its callers, best first; some may be unknown to the index. */
    static std::vector<std::string_view> preferredNames(const PendingStep &pending, const CapacityIndex &capacityIndex);

    std::map<workload::StepKey, NamedChoice> chosen;
};

} // namespace paddlepier::planning

#endif
