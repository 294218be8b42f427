// Placement of queued tasks by the leader of a ledger.
//
// Order: urgent jobs, then services, then all other jobs. Within a class, the partner with the smallest dominant share
// goes first, so that priorities only order a partner's own jobs. Within a partner: priority, deadline, order of
// submission. A job that doesn't fit is skipped (backfill). A gang is placed completely or not at all.
//
// The scheduler decides on a tentative copy of the free capacity and returns one PlaceTasks command. The ledger checks
// each reservation again when it applies the command. The caller has at most one such command in flight.
//
// Example:
//     scheduler.refresh(ledger);
//     scheduler.setReachable(ledger, isReachable);
//     std::optional<wire::PlaceTasksT> command = scheduler.decide(ledger, wallMicros);
//
// Thread safety: none; owned by the control thread. refresh() is O(log n) for each changed worker and job. decide() is
// O(log n) for each placed task and each skipped job, both of which are bounded per round.

#ifndef PADDLEPIER_SCHEDULING_SCHEDULER_H
#define PADDLEPIER_SCHEDULING_SCHEDULER_H

#include "paddlepier/ledger/ledger.h"
#include "paddlepier/scheduling/placementindex.h"
#include "paddlepier/wire/ledger_generated.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace paddlepier::scheduling
{

/** Maximum number of tasks placed by one command, and so by one log entry. */
constexpr std::size_t maxPlacementsPerRound = 512;

/** Maximum number of jobs of one partner and class that are skipped in a round; the partner's other jobs of the class then wait. */
constexpr std::size_t maxSkippedJobs = 64;

class Scheduler
{
public:
    using Reachable = std::function<bool(const std::string &)>;

    /** Rebuilds all state from the ledger; every worker is unreachable until setReachable() is called. */
    void rebuild(ledger::Ledger &ledger);

    /** Applies the changes of the ledger since the last call. @return the workers that changed */
    std::vector<std::string> refresh(ledger::Ledger &ledger);

    /** Sets which workers may receive new tasks; to be called whenever reachability may have changed. */
    void setReachable(const ledger::Ledger &ledger, const Reachable &isReachable);

    /** Sets the largest dominant share of each partner, 0 to 1; a partner without an entry has no quota. */
    void setQuotas(std::map<std::string, double> quotaByPartner);

    /** The next placements; nothing if no task can be placed now. @p atMicros is wall time, for backoffs. */
    std::optional<wire::PlaceTasksT> decide(const ledger::Ledger &ledger, std::int64_t atMicros);

    /** Why a job with queued tasks is waiting. */
    wire::WaitReason explain(const ledger::Ledger &ledger, const ledger::Job &job, std::int64_t atMicros) const;

private:
    enum class Class { Urgent, Service, Other };
    // Priority (highest first), deadline, job number.
    using QueueKey = std::tuple<std::int64_t, std::int64_t, std::uint64_t>;
    using Queue = std::set<QueueKey>;
    struct Round;

    void updateWorker(const ledger::Ledger &ledger, const std::string &name);
    void updateJob(const ledger::Ledger &ledger, std::uint64_t id);
    void placeClass(Round &round, Class jobClass);
    bool placeJob(Round &round, const ledger::Job &job);
    template<typename Policy>
    void placeSingly(Round &round, const ledger::Job &job, Policy policy);
    void placeGang(Round &round, const ledger::Job &job);

    static Class classOf(const ledger::Job &job);
    static QueueKey keyOf(const ledger::Job &job);

    bool isOverQuota(const ledger::Job &job, const Resources &used, const Resources &capacity) const;

    std::map<std::string, double> quotas;
    PlacementIndex index;
    absl::flat_hash_map<std::string, bool> reachable;
    // Invariant: holds exactly the jobs with queued tasks, as of the last refresh().
    std::map<Class, std::map<std::string, Queue>> queues;
    // Position of each queued job in `queues`.
    absl::flat_hash_map<std::uint64_t, std::tuple<Class, std::string, QueueKey>> queuePositions;
};

} // namespace paddlepier::scheduling

#endif
