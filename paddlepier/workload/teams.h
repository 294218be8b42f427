// Teams of the configuration: maps keys to teams and tracks how much of each team's quota its runs use.
//
// A run counts towards its team's quota from the log entry that places it to the one that records its end; a superseded run that may still
// be active counts as well. Lowering a quota below a team's usage stops no run: the team gets no new run until enough of its runs have ended.
//
// Keys are secrets. They are stored only for comparison and appear in no message.
//
// Example:
//     if (teams.headroomOf(job.team()).fits(step)) { teams.reserve(job.team(), quotaDemandOf(step)); }
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

/** Quota that one task of @p step uses. A filling task counts its processors too, although workers don't reserve them. */
work::Demand quotaDemandOf(const work::StepSpecT &step);

/** Unused part of a quota; negative where usage exceeds a quota that was lowered. */
class QuotaHeadroom
{
public:
    /** Unlimited. */
    QuotaHeadroom();
    QuotaHeadroom(const work::Quota &quota, const work::Quota &used);

    bool fits(const work::StepSpecT &step) const;
    std::size_t tasksThatFit(const work::StepSpecT &step) const;
    void reserve(const work::StepSpecT &step, std::size_t tasks);
    /** Whether usage exceeds the quota. */
    bool isExceeded() const;

private:
    std::int64_t milliProcessors;
    std::int64_t memoryMegabytes;
    std::int64_t accelerators;
};

class Teams
{
public:
    /** Replaces teams, keys and quotas by those of @p configuration; the usage of runs is retained. */
    void configure(const work::ChangeConfigurationT &configuration);

    /** Name of the team that owns @p key; null if there is none. */
    const std::string *findByKey(std::string_view key) const;
    /** Unlimited for an empty name and for a team that the configuration doesn't list. */
    QuotaHeadroom headroomOf(const std::string &team) const;
    /** Quota that the team's runs use. */
    work::Quota usageOf(const std::string &team) const;

    void reserve(const std::string &team, const work::Demand &demand);
    void release(const std::string &team, const work::Demand &demand);

private:
    void adjustUsage(const std::string &team, const work::Demand &demand, int sign);

    std::map<std::string, work::Quota> quotas;
    absl::flat_hash_map<std::string, std::string> teamByKey;
    /** Of all teams with runs, including those no longer in the configuration. Invariant: each entry has a part that is not 0. */
    std::map<std::string, work::Quota> usageByTeam;
};

} // namespace paddlepier::workload

#endif
