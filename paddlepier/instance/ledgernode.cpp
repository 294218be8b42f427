// One replica of one data centre's ledger inside an entry instance.

#include "paddlepier/instance/ledgernode.h"

#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace paddlepier::instance
{

namespace
{

using consensus::instanceOf;

constexpr Duration joinInterval = absl::Milliseconds(300);

/** Log entries after which a snapshot is taken. */
constexpr std::size_t entriesPerSnapshot = 8192;

consensus::ReplicaSettings replicaSettings(const Settings &settings, const std::string &identity)
{
    consensus::ReplicaSettings replica;
    replica.self = identity;
    replica.heartbeat = settings.timing.heartbeat;
    replica.election = settings.timing.election;
    replica.driftPerMille = settings.timing.driftPerMille;
    return replica;
}

bool holdsName(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

LedgerNode::LedgerNode(const Settings &instanceSettings,
                       const LedgerSettings &group,
                       DiskWriter &diskWriter,
                       Send frameSender,
                       Counters &counters,
                       Timestamp startedAt,
                       std::uint64_t seed)
    : settings(instanceSettings)
    , groupSettings(group)
    , disk(diskWriter)
    , send(std::move(frameSender))
    , appliedEntries(counters.counter(absl::StrCat("ledger_applied_entries_total{ledger=\"", group.dataCentre, "\"}")))
    , commitTimes(counters.histogram(absl::StrCat("ledger_commit{ledger=\"", group.dataCentre, "\"}")))
    , store(std::make_shared<storage::ReplicaStore>(absl::StrCat(instanceSettings.dataFolder, "/", group.dataCentre), instanceSettings.id, seed))
    , admission([this](consensus::Admission::Step step, const std::string &replica) {
        log::info("ledger", consensus::nameOf(step), {{"ledger", this->dataCentre()}, {"replica", replica}});
    })
    , now(startedAt)
{
    this->core = std::make_unique<consensus::Replica>(replicaSettings(this->settings, this->store->identity()), this->store->takeRecovered(), startedAt, seed);
    if (this->core->currentSnapshot()) {
        this->ledgerState.restore(wire::toString(this->core->currentSnapshot()->data));
        this->appliedIndex = this->core->currentSnapshot()->index;
    }
    log::info("ledger", "replica.opened", {{"ledger", group.dataCentre}, {"replica", this->store->identity()}, {"lastIndex", this->core->lastIndex()}});
}

const std::string &LedgerNode::dataCentre() const
{
    return this->groupSettings.dataCentre;
}

ledger::Ledger &LedgerNode::state()
{
    return this->ledgerState;
}

const consensus::Replica &LedgerNode::replica() const
{
    return *this->core;
}

std::string LedgerNode::leaderInstance() const
{
    return instanceOf(this->core->leader());
}

bool LedgerNode::isVoter() const
{
    return holdsName(this->core->membership().voters, this->store->identity());
}

bool LedgerNode::isServing(Timestamp at) const
{
    // A new group accepts nothing before all its replicas vote: until then one lost instance would stop it, and one lost
    // disk could lose what it accepted. Later on it serves through repairs.
    const bool hasServed = this->ledgerState.lastAppliedMicros() > 0;
    const bool isFormed = hasServed || this->core->membership().voters.size() >= this->groupSettings.replicas.size();
    return isFormed && this->core->isCaughtUpLeader() && this->core->hasLeaderLease(at);
}

void LedgerNode::handOver(Timestamp at)
{
    if (this->core->isLeader()) {
        log::info("ledger", "leadership.handed-over", {{"ledger", this->dataCentre()}});
        this->core->handOver(at);
    }
}

void LedgerNode::receive(Timestamp at, wire::PeerFrameT frame)
{
    this->now = at;
    if (const auto *request = frame.body.AsJoinRequest()) {
        this->receiveJoinRequest(at, frame.fromInstance, *request);
        return;
    }
    if (const auto *reply = frame.body.AsJoinReply()) {
        this->receiveJoinReply(frame.fromInstance, *reply);
        return;
    }
    // A frame to an earlier replica of this instance must not reach the new one, nor one in another instance's name.
    if (frame.toReplica != this->store->identity() || instanceOf(frame.fromReplica) != frame.fromInstance) {
        return;
    }
    this->core->receive(at, frame.fromReplica, std::move(frame.body));
}

void LedgerNode::tick(Timestamp at)
{
    this->now = at;
    this->core->tick(at);
    if (!this->isVoter()) {
        this->seekMembership(at);
    }
    if (this->core->isLeader()) {
        this->admission.advance(*this->core);
    }
    if (this->wasLeader != this->core->isLeader()) {
        this->wasLeader = this->core->isLeader();
        log::info("ledger",
                  this->wasLeader ? "leadership.won" : "leadership.lost",
                  {{"ledger", this->dataCentre()}, {"term", this->core->currentTerm()}, {"replica", this->store->identity()}});
    }
    if (!this->core->isLeader()) {
        this->failProposals();
        this->ledgerState.takeChangedWorkers();
        this->ledgerState.takeChangedJobs();
    }
}

void LedgerNode::seekMembership(Timestamp at)
{
    if (at < this->nextJoin) {
        return;
    }
    this->nextJoin = at + joinInterval;
    for (const std::string &instance : this->groupSettings.replicas) {
        if (instance == this->settings.id) {
            continue;
        }
        wire::JoinRequestT request;
        request.instance = this->settings.id;
        request.replica = this->store->identity();
        wire::PeerFrameT frame;
        frame.group = this->dataCentre();
        frame.body.Set(std::move(request));
        this->send(instance, std::move(frame));
    }
    // Only the first instance of the list forms the group, and only when every other one has said that there is none.
    const bool isFirst = this->groupSettings.replicas.front() == this->settings.id;
    const bool allSaidNo = this->formedByInstance.size() + 1 == this->groupSettings.replicas.size()
                           && std::none_of(this->formedByInstance.begin(), this->formedByInstance.end(), [](const auto &entry) { return entry.second; });
    if (isFirst && allSaidNo && !this->core->isMember()) {
        log::warning("ledger", "group.formed", {{"ledger", this->dataCentre()}, {"replica", this->store->identity()}});
        this->core->formGroup(at);
    }
    this->formedByInstance.clear();
}

void LedgerNode::receiveJoinRequest(Timestamp, const std::string &fromInstance, const wire::JoinRequestT &request)
{
    if (request.instance != fromInstance || instanceOf(request.replica) != fromInstance || !holdsName(this->groupSettings.replicas, fromInstance)) {
        return;
    }
    if (this->core->isLeader()) {
        this->admission.request(fromInstance, request.replica);
    }
    wire::JoinReplyT reply;
    reply.instance = this->settings.id;
    reply.replica = this->store->identity();
    reply.formed = this->core->isMember();
    wire::PeerFrameT frame;
    frame.group = this->dataCentre();
    frame.body.Set(std::move(reply));
    this->send(fromInstance, std::move(frame));
}

void LedgerNode::receiveJoinReply(const std::string &fromInstance, const wire::JoinReplyT &reply)
{
    this->formedByInstance[fromInstance] = reply.formed;
}

void LedgerNode::propose(wire::CommandUnion command, Completed completed)
{
    wire::LedgerEntryT entry;
    entry.atMicros = std::max(wallMicros(), this->ledgerState.lastAppliedMicros());
    entry.command = std::move(command);
    const std::optional<consensus::Index> index = this->core->propose(wire::pack(entry));
    if (!index) {
        ledger::Applied refused;
        refused.error = ErrorCode::NotLeader;
        refused.message = "this replica does not lead";
        completed(refused);
        return;
    }
    this->proposals[*index] = {this->core->currentTerm(), std::move(completed)};
    this->proposedAt[*index] = this->now;
}

void LedgerNode::failProposals()
{
    std::map<consensus::Index, Proposal> failed;
    failed.swap(this->proposals);
    this->proposedAt.clear();
    for (auto &[index, proposal] : failed) {
        ledger::Applied lost;
        lost.error = ErrorCode::Timeout;
        lost.message = "leadership was lost before the change was agreed on; it may still be made";
        proposal.completed(lost);
    }
}

void LedgerNode::flush(Timestamp at)
{
    this->now = at;
    this->core->replicate(at);
    consensus::Effects effects = this->core->takeEffects();
    this->sendAll(effects.now);
    if (effects.resetToSnapshot) {
        this->ledgerState.restore(wire::toString(effects.snapshot->data));
        this->appliedIndex = effects.snapshot->index;
        log::info("ledger", "snapshot.installed", {{"ledger", this->dataCentre()}, {"index", this->appliedIndex}});
    }
    this->mergeDurable(effects);
    this->writeDurable();
    this->applyCommitted(effects.committed);
    this->compactIfLong();
}

void LedgerNode::mergeDurable(consensus::Effects &effects)
{
    if (!effects.isDurable() && effects.afterSync.empty()) {
        return;
    }
    consensus::Effects &merged = this->waiting.effects;
    this->waiting.isEmpty = false;
    if (effects.snapshot) {
        merged.snapshot = effects.snapshot;
        merged.entries.clear();
    }
    if (effects.hardState) {
        merged.hardState = effects.hardState;
    }
    std::move(effects.entries.begin(), effects.entries.end(), std::back_inserter(merged.entries));
    std::move(effects.afterSync.begin(), effects.afterSync.end(), std::back_inserter(merged.afterSync));
}

void LedgerNode::writeDurable()
{
    if (this->diskBusy || this->waiting.isEmpty) {
        return;
    }
    auto work = std::make_shared<consensus::Effects>(std::move(this->waiting.effects));
    this->waiting = DurableWork();
    const auto completed = [this, work] {
        this->diskBusy = false;
        this->sendAll(work->afterSync);
        if (!work->entries.empty()) {
            this->core->persisted(this->now, work->entries.back().index, work->entries.back().term);
        }
    };
    if (!work->isDurable()) {
        completed();
        return;
    }
    this->diskBusy = true;
    this->disk.submit(
        [work, files = this->store] {
            if (work->snapshot) {
                files->saveSnapshot(*work->snapshot, *work->hardState, work->entries);
            } else {
                files->append(work->hardState ? &*work->hardState : nullptr, work->entries);
            }
        },
        completed);
}

void LedgerNode::sendAll(std::vector<consensus::Outbound> &messages)
{
    for (consensus::Outbound &message : messages) {
        wire::PeerFrameT frame;
        frame.group = this->dataCentre();
        frame.fromReplica = this->store->identity();
        frame.toReplica = message.to;
        frame.body = std::move(message.body);
        this->send(instanceOf(message.to), std::move(frame));
    }
    messages.clear();
}

void LedgerNode::applyCommitted(const std::vector<wire::LogRecordT> &entries)
{
    for (const wire::LogRecordT &entry : entries) {
        this->applyOne(entry);
    }
}

void LedgerNode::applyOne(const wire::LogRecordT &entry)
{
    this->appliedIndex = entry.index;
    this->appliedEntries.add();
    ledger::Applied applied;
    if (entry.kind == wire::EntryKind::Command) {
        applied = this->ledgerState.apply(wire::unpack<wire::LedgerEntryT>(entry.data));
    }
    const auto proposal = this->proposals.find(entry.index);
    if (proposal == this->proposals.end()) {
        return;
    }
    if (proposal->second.term != entry.term) {
        applied = ledger::Applied();
        applied.error = ErrorCode::Timeout;
        applied.message = "another leader's change was agreed on instead";
    }
    this->commitTimes.record(this->now - this->proposedAt[entry.index]);
    this->proposedAt.erase(entry.index);
    const Completed completed = std::move(proposal->second.completed);
    this->proposals.erase(proposal);
    completed(applied);
}

void LedgerNode::compactIfLong()
{
    if (this->diskBusy || !this->waiting.isEmpty || this->core->lastIndex() - this->core->firstIndex() < entriesPerSnapshot) {
        return;
    }
    this->core->compact(this->appliedIndex, this->ledgerState.snapshot());
    consensus::Effects effects = this->core->takeEffects();
    this->sendAll(effects.now);
    this->mergeDurable(effects);
    this->writeDurable();
}

} // namespace paddlepier::instance
