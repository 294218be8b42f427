// Placement of queued tasks by the leader of a ledger.
//
// Order of work: urgent jobs, then services, then the rest; within a class the partner with the smaller dominant share
// goes first, so that priority numbers order only a partner's own work. Within one partner: priority, deadline, order of
// submission. A job that doesn't fit is passed over (backfill); a gang that doesn't fit as a whole takes nothing.
//
// The scheduler decides on a tentative copy of the free resources and gives out one PlaceTasks command; the ledger
// checks every reservation again when it is applied. The caller proposes one such command at a time.
//
// Example:
//     scheduler.refresh(ledger, isReachable);
//     std::optional<wire::PlaceTasksT> command = scheduler.decide(ledger, wallMicros);
//
// Thread safety: none; owned by the control thread. refresh() costs O(log n) for each changed worker and job, decide()
// O(log n) for each placed task and for each job passed over, of which a round sees a bounded number.

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

/** Most tasks placed by one command, hence by one log entry. */
constexpr std::size_t maxPlacementsPerRound = 512;

/** Jobs of one partner and class that may be passed over in a round before the class is left. */
constexpr std::size_t maxSkippedJobs = 64;

class Scheduler
{
public:
    using Reachable = std::function<bool(const std::string &)>;

    /** Takes over the whole ledger; no worker counts as reachable yet. */
    void rebuild(ledger::Ledger &ledger);

    /** Takes over what changed in the ledger. @return the workers that changed */
    std::vector<std::string> refresh(ledger::Ledger &ledger);

    /** Sets which workers may get new tasks; call it when reachability may have changed. */
    void setReachable(const ledger::Ledger &ledger, const Reachable &isReachable);

    /** Largest dominant share of each partner, 0 to 1; a partner without one may take everything. */
    void setQuotas(std::map<std::string, double> quotaByPartner);

    /** The next placements; nothing if none can be made now. @p atMicros is wall time, for backoffs. */
    std::optional<wire::PlaceTasksT> decide(const ledger::Ledger &ledger, std::int64_t atMicros);

    /** Why a job with queued tasks waits. */
    wire::WaitReason explain(const ledger::Ledger &ledger, const ledger::Job &job, std::int64_t atMicros) const;

private:
    enum class Class { Urgent, Service, Other };
    // Class, priority (greatest first), deadline, number.
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
    absl::flat_hash_map<std::uint64_t, std::tuple<Class, std::string, QueueKey>> places;
};

} // namespace paddlepier::scheduling

#endif
