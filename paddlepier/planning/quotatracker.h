// What a plan may still place of each team's quota.
//
// The ledger refuses what goes over a quota, and a plan that proposed it would keep room and ask the policy service for
// nothing. What one step places leaves less for the next; what it only asks about doesn't, since that may come to nothing.
//
// Example:
//     quotas.limit(wanted);
//     ... place some of wanted.tasks ...
//     quotas.take(*wanted.job, *wanted.step, placed);
//
// Thread safety: none; owned by the planner. Cost: O(log teams) each.

#ifndef PADDLEPIER_PLANNING_QUOTATRACKER_H
#define PADDLEPIER_PLANNING_QUOTATRACKER_H

#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace paddlepier::planning
{

/** How many of the step's waiting tasks @p room has room for; of a gang all or none. */
std::size_t tasksWithin(const workload::QuotaRoom &room, const WantedStep &wanted);

class QuotaLeft
{
public:
    explicit QuotaLeft(const workload::Workload &workloadState);

    /** Begins a plan. */
    void begin();
    /** Leaves the first of the tasks, as many as are within the team's quota. */
    void limit(WantedStep &wanted);
    /** So many tasks of the step are placed by this plan. */
    void take(const WantedStep &wanted, std::size_t tasks);
    /** Teams whose quota has kept tasks waiting since the last call. */
    std::set<std::string> takeTeamsAtQuota();

private:
    workload::QuotaRoom &roomOf(const std::string &team);

    const workload::Workload &state;
    std::map<std::string, workload::QuotaRoom> rooms;
    std::set<std::string> teamsAtQuota;
};

} // namespace paddlepier::planning

#endif
