// One replica of one data centre's ledger inside an entry instance.
//
// Ties the consensus core, the state machine, the disk and the peers together. Proposals are written in groups: while a
// write is under way, everything that comes in waits for the next one and shares its sync. The node also sees to it that
// the group is formed once, and that a replica whose folder was lost comes back as a new one: first as a learner, then,
// when it holds the whole log durably, as a voter in the place of the old one.
//
// Example:
//     node.propose(std::move(command), [](const ledger::Applied &applied) { ... });
//     node.tick(now); node.flush(now);
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_INSTANCE_LEDGERNODE_H
#define PADDLEPIER_INSTANCE_LEDGERNODE_H

#include "paddlepier/base/counters.h"
#include "paddlepier/consensus/admission.h"
#include "paddlepier/consensus/replica.h"
#include "paddlepier/instance/diskwriter.h"
#include "paddlepier/ledger/ledger.h"
#include "paddlepier/settings/settings.h"
#include "paddlepier/storage/replicastore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace paddlepier::instance
{

class LedgerNode
{
public:
    using Send = std::function<void(const std::string &instance, wire::PeerFrameT frame)>;
    using Completed = std::function<void(const ledger::Applied &)>;

    /**
     * Opens the replica's folder below the instance's data folder.
     *
     * @throws CorruptLogError, ForeignDataFolderError, StorageFailureError as ReplicaStore
     */
    LedgerNode(const Settings &instanceSettings,
               const LedgerSettings &group,
               DiskWriter &diskWriter,
               Send frameSender,
               Counters &counters,
               Timestamp now,
               std::uint64_t seed);

    void receive(Timestamp now, wire::PeerFrameT frame);
    void tick(Timestamp now);
    /** Sends, writes and applies what has come up; call it after every batch of events. */
    void flush(Timestamp now);

    /**
     * Proposes a command. @p completed gets the outcome when it is applied, or an error: NotLeader if this replica
     * doesn't lead, Timeout if it stopped leading, in which case the command may still be applied later.
     */
    void propose(wire::CommandUnion command, Completed completed);

    /** True if this replica may answer from its state: it leads, has caught up, and no other can lead now. */
    bool isServing(Timestamp now) const;
    /** Instance of the leader, if it is known. */
    std::string leaderInstance() const;

    const std::string &dataCentre() const;
    ledger::Ledger &state();
    const consensus::Replica &replica() const;

    /** Gives leadership to another replica, if this one leads. */
    void handOver(Timestamp now);

private:
    struct Proposal {
        consensus::Term term = 0;
        Completed completed;
    };

    struct DurableWork {
        consensus::Effects effects;
        bool isEmpty = true;
    };

    void receiveJoinRequest(Timestamp now, const std::string &fromInstance, const wire::JoinRequestT &request);
    void receiveJoinReply(const std::string &fromInstance, const wire::JoinReplyT &reply);
    void seekMembership(Timestamp now);
    void applyCommitted(const std::vector<wire::LogRecordT> &entries);
    void applyOne(const wire::LogRecordT &entry);
    void failProposals();
    void mergeDurable(consensus::Effects &effects);
    void writeDurable();
    void sendAll(std::vector<consensus::Outbound> &messages);
    void compactIfLong();
    bool isVoter() const;

    const Settings &settings;
    const LedgerSettings groupSettings;
    DiskWriter &disk;
    const Send send;
    Counter &appliedEntries;
    Histogram &commitTimes;
    std::shared_ptr<storage::ReplicaStore> store;
    consensus::Admission admission;
    std::unique_ptr<consensus::Replica> core;
    ledger::Ledger ledgerState;
    consensus::Index appliedIndex = 0;

    // Invariant: keys are indexes of this leader's own entries that are not applied yet.
    std::map<consensus::Index, Proposal> proposals;
    std::map<consensus::Index, Timestamp> proposedAt;
    DurableWork waiting;
    bool diskBusy = false;
    Timestamp now;

    Timestamp nextJoin = absl::InfinitePast();
    std::map<std::string, bool> formedByInstance;
    bool wasLeader = false;
};

} // namespace paddlepier::instance

#endif
