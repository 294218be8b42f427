// Tracks what a plan may still place within each team's quota.

#include "paddlepier/planning/quotatracker.h"

#include <algorithm>
#include <utility>

namespace paddlepier::planning
{

std::size_t tasksWithin(const workload::QuotaHeadroom &headroom, const PendingStep &pending)
{
    const std::size_t waiting = pending.tasks.size();
    const std::size_t allowed = std::min(headroom.tasksThatFit(*pending.step), waiting);
    return pending.step->isGang && allowed < waiting ? 0 : allowed;
}

QuotaTracker::QuotaTracker(const workload::Workload &workloadState)
    : state(workloadState)
{
}

void QuotaTracker::begin()
{
    this->headrooms.clear();
}

workload::QuotaHeadroom &QuotaTracker::headroomOf(const std::string &team)
{
    const auto found = this->headrooms.find(team);
    return found != this->headrooms.end() ? found->second : this->headrooms.emplace(team, this->state.teams().headroomOf(team)).first->second;
}

void QuotaTracker::limit(PendingStep &pending)
{
    const std::string &team = pending.job->team();
    const std::size_t allowed = tasksWithin(this->headroomOf(team), pending);
    if (allowed < pending.tasks.size()) {
        this->teamsAtQuota.insert(team);
        pending.tasks.resize(allowed);
    }
}

void QuotaTracker::reserve(const PendingStep &pending, std::size_t tasks)
{
    this->headroomOf(pending.job->team()).reserve(*pending.step, tasks);
}

std::set<std::string> QuotaTracker::drainTeamsAtQuota()
{
    return std::exchange(this->teamsAtQuota, {});
}

} // namespace paddlepier::planning
