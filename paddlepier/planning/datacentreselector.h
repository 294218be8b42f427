// In which data centre the tasks of a step are kept together.
//
// A job is as late as its unluckiest task, and a data centre that is cut off takes everything on it along. A step that lies in
// one data centre of five is hit by a fifth of the cuts; one that lies in all of them by each. The data centre is therefore
// chosen once, before the policy service is asked, and kept while answers come and rooms change: chosen anew in each plan, two
// of five steps of 13 tasks lay in several at 1,100 workers.
//
// Urgent work goes to the data centre of the callers who wait for it: when that is cut off they can't be told of an end
// anywhere else either, so that one cut doesn't hit two groups of callers. Other work goes where most of its tasks fit, which
// keeps the data centres evenly full. Where a step doesn't fit into its home as a whole, the rest goes to one reserve.
//
// Example:
//     const Home home = homes.of(wanted, rooms, permittedShare);
//
// Thread safety: none; owned by the planner. Cost: of() is O(log steps), and O(workers) once for each step.

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

/** Numbers of data centres in the plan at hand. */
struct Home {
    std::uint32_t first = noHome;
    /** For what doesn't fit there. */
    std::uint32_t reserve = noHome;
};

class Homes
{
public:
    /** @param permittedShare  share of the workers that is likely to be permitted */
    Home of(const WantedStep &wanted, const Rooms &rooms, double permittedShare);

    /** Drops what is known of jobs that @p isOver says to have ended; O(steps). */
    template<typename Predicate>
    void forgetJobs(Predicate isOver)
    {
        std::erase_if(this->chosen, [&isOver](const auto &entry) { return isOver(entry.first.job); });
    }

private:
    /** By name, since the numbers change from plan to plan. */
    struct Choice {
        std::string first;
        std::string reserve;
    };

    static Choice choose(const WantedStep &wanted, const Rooms &rooms, double permittedShare);
    /** Data centres that would suit @p wanted for another reason than their room, the best first; some may not be there. */
    static std::vector<std::string_view> preferred(const WantedStep &wanted, const Rooms &rooms);

    std::map<workload::StepKey, Choice> chosen;
};

} // namespace paddlepier::planning

#endif
