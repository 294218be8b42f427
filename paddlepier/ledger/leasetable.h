// Leases of all workers, as the leader of a ledger keeps them.
//
// A worker's announcement renews the leases of its tasks. A lease permits the worker to run a task until a point on the
// worker's own clock: the clock at the announcement plus the lease time. The leader counts the same lease from when the
// announcement arrived, with a margin for clock drift, so that it always ends later here than there. Only then, or when
// the worker says that the task doesn't run, may the task be placed again.
//
// The table is volatile: after a change of leadership the new leader counts every lease as renewed at its own election,
// and draws no conclusion from a missing task until the worker has taken a reply of this leader (`term`).
//
// Example:
//     LeaseTable leases(timing, term, now);
//     AnnouncementResult result = leases.announce(now, request, ledger);   // commands to propose, reply to send
//     for (auto &command : leases.expire(now, ledger)) { propose(command); }
//
// Thread safety: none; owned by the control thread. announce() is O(tasks of the worker), expire() O(workers).

#ifndef PADDLEPIER_LEDGER_LEASETABLE_H
#define PADDLEPIER_LEDGER_LEASETABLE_H

#include "paddlepier/base/clock.h"
#include "paddlepier/ledger/ledger.h"
#include "paddlepier/settings/settings.h"
#include "paddlepier/wire/ledger_generated.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace paddlepier::ledger
{

/** Safety checks that only a test switches off, to show that it notices. */
struct LeaseGuards {
    /** Count a lease longer here than on the worker, by the drift between the clocks. */
    bool driftMargin = true;
    /** Conclude from a missing task only when no older reply can start it any more. */
    bool fenceOldReplies = true;
    /** Never renew a lease whose end was proposed. */
    bool withdrawBeforeEnd = true;
    /** Count leases as renewed by the leader's own election. */
    bool renewAtElection = true;
};

struct AnnouncementResult {
    wire::AnnounceReplyT reply;
    /** Changes of the ledger that this announcement brings; empty on most. */
    std::vector<wire::CommandUnion> commands;
};

class LeaseTable
{
public:
    /**
     * @param leaderTerm the leader's term; replies carry it
     * @param nextEpoch  the ledger's next epoch when the leader had caught up: smaller ones are earlier leaders'
     * @param leaderSince when it was elected
     */
    LeaseTable(const TimingSettings &timingSettings, std::uint64_t leaderTerm, std::uint64_t nextEpoch, Timestamp leaderSince, LeaseGuards leaseGuards = {});

    /**
     * Takes one announcement.
     *
     * @throws StaleAnnouncementError if a later announcement of this worker was taken
     * @throws InvalidArgumentError if the announcement contradicts itself
     */
    AnnouncementResult announce(Timestamp now, const wire::AnnounceRequestT &request, const Ledger &ledger);

    /** The reply to the newest announcement as it would be now; nothing if @p request isn't the newest any more. */
    std::optional<wire::AnnounceReplyT> replyNow(const wire::AnnounceRequestT &request, const Ledger &ledger);

    /** Commands for workers whose leases have run out, each given once, and for workers gone for long. */
    std::vector<wire::CommandUnion> expire(Timestamp now, const Ledger &ledger);

    /** True if the worker announced itself lately: it may get new work. */
    bool isReachable(Timestamp now, const std::string &worker) const;

    /** Time since the last announcement; infinite if there was none under this leader. */
    Duration silence(Timestamp now, const std::string &worker) const;

    /** Lower bound of the worker's clock at @p now; nothing if it never announced itself under this leader. */
    std::optional<std::int64_t> workerClock(Timestamp now, const std::string &worker) const;

    std::uint64_t term() const;

private:
    struct Contact {
        std::uint64_t sequence = 0;
        Timestamp lastAnnouncedAt = absl::InfinitePast();
        std::int64_t clockMicros = 0;
        /** Until then the worker may run tasks; on the leader's clock. */
        Timestamp leaseEnd;
        bool expiryProposed = false;
        /** Attempts offered to the worker under this leader: epoch to the newest offering reply. */
        absl::flat_hash_map<std::uint64_t, std::uint64_t> offered;
        /**
         * Epochs whose end was proposed but perhaps not applied yet. Invariant: none of them is ever renewed or offered
         * again, or a task could be placed elsewhere under a lease that was renewed in between.
         */
        absl::flat_hash_set<std::uint64_t> withdrawn;
    };

    Duration leaseHere() const;
    wire::AnnounceReplyT emptyReply(const wire::AnnounceRequestT &request) const;
    void reportFinished(const wire::AnnounceRequestT &request, const Ledger &ledger, AnnouncementResult &result, wire::ReportTasksT &report) const;
    void compareTasks(const wire::AnnounceRequestT &request, const Ledger &ledger, const Contact &contact, wire::ReportTasksT &report) const;
    bool wasNeverOffered(const wire::TaskRecordT &task, const Contact &contact) const;
    bool mayOffer(const Worker &worker, const Job &job, const wire::TaskRecordT &task, const wire::AnnounceRequestT &request, const Contact &contact) const;
    static void withdraw(const wire::ReportTasksT &report, Contact &contact);
    void grant(const Worker &worker, const wire::AnnounceRequestT &request, const Ledger &ledger, Contact &contact, wire::AnnounceReplyT &reply) const;

    const TimingSettings timing;
    const std::uint64_t ownTerm;
    const std::uint64_t firstOwnEpoch;
    const Timestamp since;
    const LeaseGuards guards;
    absl::flat_hash_map<std::string, Contact> contacts;
};

} // namespace paddlepier::ledger

#endif
