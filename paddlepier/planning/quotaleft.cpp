// What a plan may still place of each team's quota.

#include "paddlepier/planning/quotaleft.h"

#include <utility>

namespace paddlepier::planning
{

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
    const std::size_t allowed = this->roomOf(team).tasksThatFit(*wanted.step);
    if (allowed >= wanted.tasks.size()) {
        return;
    }
    this->teamsAtQuota.insert(team);
    wanted.tasks.resize(wanted.step->isGang ? 0 : allowed);
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
