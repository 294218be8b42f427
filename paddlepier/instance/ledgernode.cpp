// A replica of a data centre's ledger in an entry instance.

#include "paddlepier/instance/ledgernode.h"

#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace paddlepier::instance
{

namespace
{

replication::GroupOptions groupOptions(const Settings &settings, const LedgerSettings &group)
{
    replication::GroupOptions options;
    options.name = group.dataCentre;
    options.folder = absl::StrCat(settings.dataFolder, "/", group.dataCentre);
    options.instance = settings.id;
    options.initialInstances = group.replicas;
    options.heartbeatInterval = settings.timing.heartbeatInterval;
    options.electionTimeout = settings.timing.electionTimeout;
    options.driftPerMille = settings.timing.driftPerMille;
    return options;
}

} // namespace

ReplicatedLedger::Outcome ReplicatedLedger::apply(const std::vector<std::uint8_t> &command)
{
    return this->apply(wire::unpack<wire::LedgerEntryT>(command));
}

bool ReplicatedLedger::hasHistory() const
{
    return this->lastAppliedMicros() > 0;
}

ReplicatedLedger::Outcome ReplicatedLedger::failure(ErrorCode error, const std::string &message)
{
    ledger::Applied failed;
    failed.error = error;
    failed.message = message;
    return failed;
}

LedgerNode::LedgerNode(const Settings &instanceSettings,
                       const LedgerSettings &group,
                       replication::DiskWriter &diskWriter,
                       Send frameSender,
                       Counters &counters,
                       Timestamp now,
                       std::uint64_t seed)
    : ReplicaNode(groupOptions(instanceSettings, group), diskWriter, std::move(frameSender), counters, now, seed)
{
}

void LedgerNode::tick(Timestamp at)
{
    ReplicaNode::tick(at);
    if (!this->replica().isLeader()) {
        // Only the leader's scheduler consumes these changes; on a follower they would accumulate without bound.
        this->state().drainChangedWorkers();
        this->state().drainChangedJobs();
    }
}

void LedgerNode::propose(wire::CommandUnion command, Completed completed)
{
    wire::LedgerEntryT entry;
    entry.atMicros = std::max(wallMicros(), this->state().lastAppliedMicros());
    entry.command = std::move(command);
    this->proposeBytes(wire::pack(entry), std::move(completed));
}

const std::string &LedgerNode::dataCentre() const
{
    return this->name();
}

} // namespace paddlepier::instance
