// Teams of the configuration.

#include "paddlepier/workload/teams.h"

#include <absl/strings/string_view.h>

#include <algorithm>
#include <limits>

namespace paddlepier::workload
{

namespace
{

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

std::int64_t leftOf(std::uint64_t quota, std::uint64_t used)
{
    return quota == 0 ? unlimited : static_cast<std::int64_t>(quota) - static_cast<std::int64_t>(used);
}

std::size_t timesIn(std::int64_t left, std::uint32_t each)
{
    if (each == 0 || left == unlimited) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(0, left) / each);
}

void takeFrom(std::int64_t &left, std::uint32_t each, std::size_t tasks)
{
    left -= left == unlimited ? 0 : static_cast<std::int64_t>(each) * static_cast<std::int64_t>(tasks);
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
    : milliProcessors(leftOf(quota.milliProcessors(), used.milliProcessors()))
    , memoryMegabytes(leftOf(quota.memoryMegabytes(), used.memoryMegabytes()))
    , accelerators(leftOf(quota.accelerators(), used.accelerators()))
{
}

bool QuotaHeadroom::fits(const work::StepSpecT &step) const
{
    return this->tasksThatFit(step) > 0;
}

std::size_t QuotaHeadroom::tasksThatFit(const work::StepSpecT &step) const
{
    const work::Demand demand = quotaDemandOf(step);
    return std::min({timesIn(this->milliProcessors, demand.milliProcessors()),
                     timesIn(this->memoryMegabytes, demand.memoryMegabytes()),
                     timesIn(this->accelerators, demand.accelerators())});
}

void QuotaHeadroom::reserve(const work::StepSpecT &step, std::size_t tasks)
{
    const work::Demand demand = quotaDemandOf(step);
    takeFrom(this->milliProcessors, demand.milliProcessors(), tasks);
    takeFrom(this->memoryMegabytes, demand.memoryMegabytes(), tasks);
    takeFrom(this->accelerators, demand.accelerators(), tasks);
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
    const work::Quota before = this->usageOf(team);
    const work::Quota after(before.milliProcessors() + change * demand.milliProcessors(),
                            before.memoryMegabytes() + change * demand.memoryMegabytes(),
                            before.accelerators() + change * demand.accelerators());
    if (after.milliProcessors() == 0 && after.memoryMegabytes() == 0 && after.accelerators() == 0) {
        this->usageByTeam.erase(team);
    } else {
        this->usageByTeam[team] = after;
    }
}

} // namespace paddlepier::workload
