// Task leases of all workers, held by the leader of a ledger.
//
// An announcement of a worker renews the leases of its tasks. A lease permits the worker to run a task until a point on
// the worker's own clock: its reading at the announcement plus the lease time. The leader counts the same lease from the
// arrival of the announcement and adds a margin for clock drift, so that the lease always expires later on the leader
// than on the worker. A task may be placed again only after that, or when the worker reports that it doesn't run.
//
// The table is volatile. After a change of leadership the new leader treats every lease as renewed at its own election.
// It concludes nothing from a missing task until the worker has received a reply of this leader (`term`).
//
// Example:
//     LeaseTable leases(timing, term, nextEpoch, now);
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

/** Safety checks. Only tests disable them, to show that the tests detect the resulting violations. */
struct LeaseGuards {
    /** Extend the lease on the leader by the maximum drift between the two clocks. */
    bool driftMargin = true;
    /** Treat a missing task as ended only if no older reply can still start it. */
    bool fenceOldReplies = true;
    /** Never renew a lease after its end was proposed. */
    bool withdrawBeforeEnd = true;
    /** Treat all leases as renewed at the leader's own election. */
    bool renewAtElection = true;
};

struct AnnouncementResult {
    wire::AnnounceReplyT reply;
    /** Changes of the ledger that follow from this announcement; usually empty. */
    std::vector<wire::CommandUnion> commands;
};

class LeaseTable
{
public:
    /**
     * @param leaderTerm the leader's term, which replies carry
     * @param nextEpoch the ledger's next epoch when the leader had caught up; smaller epochs were assigned under earlier leaders
     * @param leaderSince when the leader was elected
     */
    LeaseTable(const TimingSettings &timingSettings, std::uint64_t leaderTerm, std::uint64_t nextEpoch, Timestamp leaderSince, LeaseGuards leaseGuards = {});

    /**
     * Processes one announcement.
     *
     * @throws StaleAnnouncementError if this or a later announcement of the worker was processed before
     * @throws InvalidArgumentError if the announcement contradicts itself
     */
    AnnouncementResult announce(Timestamp now, const wire::AnnounceRequestT &request, const Ledger &ledger);

    /** The reply to the newest announcement from the current state; nothing if @p request is no longer the worker's newest. */
    std::optional<wire::AnnounceReplyT> currentReply(const wire::AnnounceRequestT &request, const Ledger &ledger);

    /** Commands that end expired leases, repeated until they are applied, and that remove workers without tasks after a long silence. */
    std::vector<wire::CommandUnion> expire(Timestamp now, const Ledger &ledger);

    /** True if the last announcement of the worker is recent enough for it to get new work. */
    bool isReachable(Timestamp now, const std::string &worker) const;

    /** Time since the worker's last announcement; infinite if there was none under this leader. */
    Duration timeSinceAnnouncement(Timestamp now, const std::string &worker) const;

    /** Lower bound of the worker's clock at @p now; nothing if the worker has sent no announcement to this leader. */
    std::optional<std::int64_t> workerClock(Timestamp now, const std::string &worker) const;

    std::uint64_t term() const;

private:
    struct Contact {
        std::uint64_t sequence = 0;
        Timestamp lastAnnouncedAt = absl::InfinitePast();
        std::int64_t clockMicros = 0;
        /** Until then the worker may run its tasks, on the leader's clock. */
        Timestamp leaseEnd;
        /** The removal of this worker was proposed. */
        bool removalProposed = false;
        /** Attempts offered to the worker by this leader: epoch to the sequence of the newest reply that offered it. */
        absl::flat_hash_map<std::uint64_t, std::uint64_t> offered;
        /**
         * Epochs whose end was proposed but may not be applied yet. Invariant: none of them is renewed or offered again.
         * Otherwise a task could be placed elsewhere while a lease that was renewed in between is still valid.
         */
        absl::flat_hash_set<std::uint64_t> withdrawn;
    };

    /** Lease time on the leader's clock. */
    Duration leaderLease() const;
    wire::AnnounceReplyT emptyReply(const wire::AnnounceRequestT &request) const;
    void reportFinished(const wire::AnnounceRequestT &request, const Ledger &ledger, AnnouncementResult &result, wire::ReportTasksT &report) const;
    void compareTasks(const wire::AnnounceRequestT &request, const Ledger &ledger, const Contact &contact, wire::ReportTasksT &report) const;
    /** True only if no leader can have offered the attempt to the worker. */
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
