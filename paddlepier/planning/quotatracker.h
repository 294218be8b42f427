// Tracks what a plan may still place within each team's quota.
//
// The ledger rejects placements beyond a quota; a plan that proposed them would reserve capacity and request advice in
// vain. Placements of a step reduce the headroom for the next one; advice requests don't, since they may not lead to a placement.
//
// Example:
//     quotaTracker.limit(pending);
//     ... place some of pending.tasks ...
//     quotaTracker.reserve(pending, placed);
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

/** Number of the step's waiting tasks that fit into @p headroom; for a gang all or none. */
std::size_t tasksWithin(const workload::QuotaHeadroom &headroom, const PendingStep &pending);

class QuotaTracker
{
public:
    explicit QuotaTracker(const workload::Workload &workloadState);

    /** Begins a plan. */
    void begin();
    /** Truncates the list of tasks to those within the team's quota. */
    void limit(PendingStep &pending);
    /** Records that this plan places @p tasks tasks of the step. */
    void reserve(const PendingStep &pending, std::size_t tasks);
    /** Teams whose quota has delayed tasks since the last call. */
    std::set<std::string> drainTeamsAtQuota();

private:
    workload::QuotaHeadroom &headroomOf(const std::string &team);

    const workload::Workload &state;
    std::map<std::string, workload::QuotaHeadroom> headrooms;
    std::set<std::string> teamsAtQuota;
};

} // namespace paddlepier::planning

#endif
