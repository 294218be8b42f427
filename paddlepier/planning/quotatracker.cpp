// What a plan may still place of each team's quota.

#include "paddlepier/planning/quotatracker.h"

#include <algorithm>
#include <utility>

namespace paddlepier::planning
{

std::size_t tasksWithin(const workload::QuotaHeadroom &room, const PendingStep &wanted)
{
    const std::size_t waiting = wanted.tasks.size();
    const std::size_t allowed = std::min(room.tasksThatFit(*wanted.step), waiting);
    return wanted.step->isGang && allowed < waiting ? 0 : allowed;
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

void QuotaTracker::limit(PendingStep &wanted)
{
    const std::string &team = wanted.job->team();
    const std::size_t allowed = tasksWithin(this->headroomOf(team), wanted);
    if (allowed < wanted.tasks.size()) {
        this->teamsAtQuota.insert(team);
        wanted.tasks.resize(allowed);
    }
}

void QuotaTracker::reserve(const PendingStep &wanted, std::size_t tasks)
{
    this->headroomOf(wanted.job->team()).reserve(*wanted.step, tasks);
}

std::set<std::string> QuotaTracker::drainTeamsAtQuota()
{
    return std::exchange(this->teamsAtQuota, {});
}

} // namespace paddlepier::planning
