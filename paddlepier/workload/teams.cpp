// Teams of the configuration and their quota usage.

#include "paddlepier/workload/teams.h"

#include <absl/strings/string_view.h>

#include <algorithm>
#include <limits>

namespace paddlepier::workload
{

namespace
{

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

std::int64_t headroomPart(std::uint64_t quota, std::uint64_t used)
{
    return quota == 0 ? unlimited : static_cast<std::int64_t>(quota) - static_cast<std::int64_t>(used);
}

std::size_t tasksWithin(std::int64_t remaining, std::uint32_t perTask)
{
    if (perTask == 0 || remaining == unlimited) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(0, remaining) / perTask);
}

void subtract(std::int64_t &remaining, std::uint32_t perTask, std::size_t tasks)
{
    remaining -= remaining == unlimited ? 0 : static_cast<std::int64_t>(perTask) * static_cast<std::int64_t>(tasks);
}

} // namespace

work::Demand quotaDemandOf(const work::StepSpecT &step)
{
    return *step.demand;
}

QuotaHeadroom::QuotaHeadroom()
    : QuotaHeadroom(work::Quota(), work::Quota())
{
}

QuotaHeadroom::QuotaHeadroom(const work::Quota &quota, const work::Quota &used)
    : milliProcessors(headroomPart(quota.milliProcessors(), used.milliProcessors()))
    , memoryMegabytes(headroomPart(quota.memoryMegabytes(), used.memoryMegabytes()))
    , accelerators(headroomPart(quota.accelerators(), used.accelerators()))
{
}

bool QuotaHeadroom::fits(const work::StepSpecT &step) const
{
    return this->tasksThatFit(step) > 0;
}

std::size_t QuotaHeadroom::tasksThatFit(const work::StepSpecT &step) const
{
    const work::Demand demand = quotaDemandOf(step);
    return std::min({tasksWithin(this->milliProcessors, demand.milliProcessors()),
                     tasksWithin(this->memoryMegabytes, demand.memoryMegabytes()),
                     tasksWithin(this->accelerators, demand.accelerators())});
}

void QuotaHeadroom::reserve(const work::StepSpecT &step, std::size_t tasks)
{
    const work::Demand demand = quotaDemandOf(step);
    subtract(this->milliProcessors, demand.milliProcessors(), tasks);
    subtract(this->memoryMegabytes, demand.memoryMegabytes(), tasks);
    subtract(this->accelerators, demand.accelerators(), tasks);
}

bool QuotaHeadroom::isExceeded() const
{
    return this->milliProcessors < 0 || this->memoryMegabytes < 0 || this->accelerators < 0;
}

void Teams::configure(const work::ChangeConfigurationT &configuration)
{
    this->quotas.clear();
    this->teamByKey.clear();
    for (const auto &spec : configuration.teams) {
        this->quotas[spec->name] = spec->quota ? *spec->quota : work::Quota();
        for (const std::string &key : spec->keys) {
            this->teamByKey[key] = spec->name;
        }
    }
}

const std::string *Teams::findByKey(std::string_view key) const
{
    const auto found = this->teamByKey.find(absl::string_view(key.data(), key.size()));
    return found == this->teamByKey.end() ? nullptr : &found->second;
}

QuotaHeadroom Teams::headroomOf(const std::string &team) const
{
    const auto found = this->quotas.find(team);
    return found == this->quotas.end() ? QuotaHeadroom() : QuotaHeadroom(found->second, this->usageOf(team));
}

work::Quota Teams::usageOf(const std::string &team) const
{
    const auto found = this->usageByTeam.find(team);
    return found == this->usageByTeam.end() ? work::Quota() : found->second;
}

void Teams::reserve(const std::string &team, const work::Demand &demand)
{
    this->adjustUsage(team, demand, 1);
}

void Teams::release(const std::string &team, const work::Demand &demand)
{
    this->adjustUsage(team, demand, -1);
}

void Teams::adjustUsage(const std::string &team, const work::Demand &demand, int sign)
{
    if (team.empty()) {
        return;
    }
    const auto change = static_cast<std::uint64_t>(static_cast<std::int64_t>(sign));
    const work::Quota previous = this->usageOf(team);
    const work::Quota updated(previous.milliProcessors() + change * demand.milliProcessors(),
                              previous.memoryMegabytes() + change * demand.memoryMegabytes(),
                              previous.accelerators() + change * demand.accelerators());
    if (updated.milliProcessors() == 0 && updated.memoryMegabytes() == 0 && updated.accelerators() == 0) {
        this->usageByTeam.erase(team);
    } else {
        this->usageByTeam[team] = updated;
    }
}

} // namespace paddlepier::workload
