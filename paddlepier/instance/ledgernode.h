// A replica of a data centre's ledger in an entry instance.
//
// Example:
//     node.propose(std::move(command), [](const ledger::Applied &applied) { ... });
//     node.tick(now); node.flush(now);
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_INSTANCE_LEDGERNODE_H
#define PADDLEPIER_INSTANCE_LEDGERNODE_H

#include "paddlepier/ledger/ledger.h"
#include "paddlepier/replication/replicanode.h"
#include "paddlepier/settings/settings.h"

#include <string>
#include <vector>

namespace paddlepier::instance
{

/** Adapts a data centre's ledger to the state machine interface of ReplicaNode. */
class ReplicatedLedger : public ledger::Ledger
{
public:
    using Outcome = ledger::Applied;
    using ledger::Ledger::apply;

    Outcome apply(const std::vector<std::uint8_t> &command);
    bool hasHistory() const;
    static Outcome failure(ErrorCode error, const std::string &message);
};

class LedgerNode : public replication::ReplicaNode<ReplicatedLedger>
{
public:
    /**
     * Opens the replica's folder inside the instance's data folder.
     *
     * @throws CorruptLogError, ForeignDataFolderError, StorageFailureError under the same conditions as ReplicaStore
     */
    LedgerNode(const Settings &instanceSettings,
               const LedgerSettings &group,
               replication::DiskWriter &diskWriter,
               Send frameSender,
               Counters &counters,
               Timestamp now,
               std::uint64_t seed);

    void tick(Timestamp at);

    /** Proposes @p command, stamped with the leader's wall clock, which is never before the last applied entry's time. */
    void propose(wire::CommandUnion command, Completed completed);

    const std::string &dataCentre() const;
};

} // namespace paddlepier::instance

#endif
