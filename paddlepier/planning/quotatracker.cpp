// What a plan may still place of each team's quota.

#include "paddlepier/planning/quotatracker.h"

#include <algorithm>
#include <utility>

namespace paddlepier::planning
{

std::size_t tasksWithin(const workload::QuotaRoom &room, const WantedStep &wanted)
{
    const std::size_t waiting = wanted.tasks.size();
    const std::size_t allowed = std::min(room.tasksThatFit(*wanted.step), waiting);
    return wanted.step->isGang && allowed < waiting ? 0 : allowed;
}

QuotaLeft::QuotaLeft(const workload::Workload &workloadState)
    : state(workloadState)
{
}

void QuotaLeft::begin()
{
    this->rooms.clear();
}

workload::QuotaRoom &QuotaLeft::roomOf(const std::string &team)
{
    const auto found = this->rooms.find(team);
    return found != this->rooms.end() ? found->second : this->rooms.emplace(team, this->state.teams().roomOf(team)).first->second;
}

void QuotaLeft::limit(WantedStep &wanted)
{
    const std::string &team = wanted.job->team();
    const std::size_t allowed = tasksWithin(this->roomOf(team), wanted);
    if (allowed < wanted.tasks.size()) {
        this->teamsAtQuota.insert(team);
        wanted.tasks.resize(allowed);
    }
}

void QuotaLeft::take(const WantedStep &wanted, std::size_t tasks)
{
    this->roomOf(wanted.job->team()).take(*wanted.step, tasks);
}

std::set<std::string> QuotaLeft::takeTeamsAtQuota()
{
    return std::exchange(this->teamsAtQuota, {});
}

} // namespace paddlepier::planning
