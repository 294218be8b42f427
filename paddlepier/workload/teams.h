// Teams of the configuration: whose key is whose, and how much of each team's quota its runs take.
//
// Every run of a team counts towards its quota from the entry that places it to the one that records its end, and so does a
// superseded run that may still be under way. A quota that is lowered below what a team has placed ends nothing: the team gets
// no new run until enough of its runs have ended.
//
// Keys are secrets. They are held only to be compared, and no message names one.
//
// Example:
//     if (teams.roomOf(job.team()).fits(step)) { teams.take(job.team(), quotaDemandOf(step)); }
//
// Thread safety: none; owned by the ledger. Cost: findByKey() is O(1), the rest O(log teams).

#ifndef PADDLEPIER_WORKLOAD_TEAMS_H
#define PADDLEPIER_WORKLOAD_TEAMS_H

#include "paddlepier/wire/workload_generated.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace paddlepier::workload
{

/** What a task counts towards its team's quota. A filling task counts its processors, though no worker reserves them. */
work::Demand quotaDemandOf(const work::StepSpecT &step);

/** What is left of a quota; may be overdrawn. */
class QuotaHeadroom
{
public:
    /** Without a limit. */
    QuotaHeadroom();
    QuotaHeadroom(const work::Quota &quota, const work::Quota &used);

    bool fits(const work::StepSpecT &step) const;
    std::size_t tasksThatFit(const work::StepSpecT &step) const;
    void reserve(const work::StepSpecT &step, std::size_t tasks);
    /** More is placed than the quota allows. */
    bool isExceeded() const;

private:
    std::int64_t milliProcessors;
    std::int64_t memoryMegabytes;
    std::int64_t accelerators;
};

class Teams
{
public:
    /** Takes over the teams of @p configuration; what runs take stays counted. */
    void configure(const work::ChangeConfigurationT &configuration);

    /** Name of the team that has @p key; null if none has. */
    const std::string *findByKey(std::string_view key) const;
    /** Without a limit for no team, and for one that the configuration doesn't name. */
    QuotaHeadroom headroomOf(const std::string &team) const;
    /** What the team's runs take. */
    work::Quota usageOf(const std::string &team) const;

    void reserve(const std::string &team, const work::Demand &demand);
    void release(const std::string &team, const work::Demand &demand);

private:
    void adjustUsage(const std::string &team, const work::Demand &demand, int sign);

    std::map<std::string, work::Quota> quotas;
    absl::flat_hash_map<std::string, std::string> teamByKey;
    /** Of teams with runs, those included that the configuration names no longer. Invariant: no entry is 0 in all its parts. */
    std::map<std::string, work::Quota> usageByTeam;
};

} // namespace paddlepier::workload

#endif
