// Member functions of ReplicaNode; included only by replicanode.h.

#ifndef PADDLEPIER_REPLICATION_REPLICANODE_DETAIL_H
#define PADDLEPIER_REPLICATION_REPLICANODE_DETAIL_H

// IWYU pragma: private, include "paddlepier/replication/replicanode.h"
#include "paddlepier/replication/replicanode.h"

namespace paddlepier::replication
{

template<ReplicatedState State>
ReplicaNode<State>::ReplicaNode(
    GroupOptions groupOptions, DiskWriter &diskWriter, Send frameSender, Counters &counters, Timestamp startedAt, std::uint64_t seed)
    : options(std::move(groupOptions))
    , disk(diskWriter)
    , send(std::move(frameSender))
    , appliedEntries(counters.counter(absl::StrCat("ledger_applied_entries_total{ledger=\"", this->options.name, "\"}")))
    , commitTimes(counters.histogram(absl::StrCat("ledger_commit{ledger=\"", this->options.name, "\"}")))
    , store(std::make_shared<storage::ReplicaStore>(this->options.folder, this->options.instance, seed))
    , admission(
          [this](consensus::Admission::Step step, const std::string &replica) {
              log::info("ledger", consensus::nameOf(step), {{"ledger", this->options.name}, {"replica", replica}});
          },
          this->options.admission)
    , leaveProgress(this->store->identity())
    , now(startedAt)
    , leaderSeenAt(startedAt)
{
    this->core =
        std::make_unique<consensus::Replica>(detail::replicaSettings(this->options, this->store->identity()), this->store->releaseRecovered(), startedAt, seed);
    if (this->core->currentSnapshot()) {
        this->stateMachine.restore(wire::toString(this->core->currentSnapshot()->data));
        this->appliedIndex = this->core->currentSnapshot()->index;
    }
    for (const std::string &initialInstance : this->options.initialInstances) {
        this->addPeer(initialInstance);
    }
    log::info("ledger", "replica.opened", {{"ledger", this->options.name}, {"replica", this->store->identity()}, {"lastIndex", this->core->lastIndex()}});
}

template<ReplicatedState State>
const std::string &ReplicaNode<State>::name() const
{
    return this->options.name;
}

template<ReplicatedState State>
State &ReplicaNode<State>::state()
{
    return this->stateMachine;
}

template<ReplicatedState State>
const consensus::Replica &ReplicaNode<State>::replica() const
{
    return *this->core;
}

template<ReplicatedState State>
std::string ReplicaNode<State>::leaderInstance() const
{
    return consensus::instanceOf(this->core->leader());
}

template<ReplicatedState State>
std::vector<std::string> ReplicaNode<State>::knownInstances() const
{
    std::set<std::string> instances = this->peers;
    for (const std::string &replica : this->core->membership().voters) {
        instances.insert(consensus::instanceOf(replica));
    }
    for (const std::string &replica : this->core->membership().learners) {
        instances.insert(consensus::instanceOf(replica));
    }
    instances.insert(this->options.instance);
    return {instances.begin(), instances.end()};
}

template<ReplicatedState State>
void ReplicaNode<State>::addPeer(const std::string &instance)
{
    if (instance != this->options.instance) {
        this->peers.insert(instance);
    }
}

template<ReplicatedState State>
bool ReplicaNode<State>::isVoter() const
{
    return detail::containsName(this->core->membership().voters, this->store->identity());
}

template<ReplicatedState State>
bool ReplicaNode<State>::isServing(Timestamp at) const
{
    // A new group serves only once all initial replicas vote: before that, the loss of one instance would stop it and the loss of one disk
    // could lose accepted commands. Once it has history, it continues to serve while replicas are replaced.
    const bool isBootstrapped = this->stateMachine.hasHistory() || this->core->membership().voters.size() >= this->options.initialInstances.size();
    // Entries of earlier terms are committed before flush() applies them; a read in between would miss them.
    const bool hasApplied = this->appliedTerm == this->core->currentTerm();
    return isBootstrapped && hasApplied && this->core->isCaughtUpLeader() && this->core->hasLeaderLease(at);
}

template<ReplicatedState State>
void ReplicaNode<State>::transferLeadership(Timestamp at)
{
    if (this->core->transferLeadership(at, this->admission.leavingVoters(*this->core, at))) {
        log::info("ledger", "leadership.handed-over", {{"ledger", this->options.name}});
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::leave()
{
    log::info("ledger", "replica.leaves", {{"ledger", this->options.name}, {"replica", this->store->identity()}, {"votes", this->isVoter()}});
    this->leaveProgress.begin();
}

template<ReplicatedState State>
bool ReplicaNode<State>::hasLeft(Timestamp at) const
{
    return this->proposals.empty() && this->leaveProgress.isSettled(*this->core, this->admission, at);
}

template<ReplicatedState State>
void ReplicaNode<State>::announceLeave(Timestamp at)
{
    this->admission.recordLeave(this->store->identity(), at);
    if (this->leaveProgress.isAnnouncementDue(at)) {
        this->sendJoinRequests(true);
    }
    this->transferLeadership(at);
}

template<ReplicatedState State>
void ReplicaNode<State>::superviseLeadership(Timestamp at)
{
    const bool serves = this->isServing(at) && this->core->commitStall(at) < detail::maxCommitStall;
    // A group that is still forming has no other replica to take over.
    if (this->servingWatchdog.update(at, this->core->isLeader() && this->stateMachine.hasHistory(), serves)) {
        this->transferLeadership(at);
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::confirmLeaderIfLate(Timestamp at)
{
    const bool isHeld = this->diskBusy || !this->pendingWrite.isEmpty;
    const Timestamp heldSince = this->diskBusy ? this->writingSince : this->pendingWrite.since;
    if (isHeld && at - heldSince > this->options.heartbeatInterval) {
        this->core->confirmLeader();
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::receive(Timestamp at, wire::PeerFrameT frame)
{
    this->now = at;
    if (const auto *request = frame.body.AsJoinRequest()) {
        this->receiveJoinRequest(frame.fromInstance, *request);
        return;
    }
    if (const auto *reply = frame.body.AsJoinReply()) {
        this->receiveJoinReply(frame.fromInstance, *reply);
        return;
    }
    // Rejects frames for an earlier replica of this instance, and frames sent in the name of another instance's replica.
    if (frame.toReplica != this->store->identity() || consensus::instanceOf(frame.fromReplica) != frame.fromInstance) {
        return;
    }
    this->core->receive(at, frame.fromReplica, std::move(frame.body));
}

template<ReplicatedState State>
void ReplicaNode<State>::tick(Timestamp at)
{
    this->now = at;
    this->core->tick(at);
    if (!this->core->leader().empty()) {
        this->leaderSeenAt = at;
    }
    const bool mayHaveBeenRemoved = this->options.acceptsNewInstances && at - this->leaderSeenAt > detail::leaderContactTimeout;
    if (this->leaveProgress.hasBegun()) {
        this->announceLeave(at);
    } else if (!this->isVoter() || mayHaveBeenRemoved) {
        this->requestMembership(at);
    }
    this->admission.advance(*this->core, at);
    this->confirmLeaderIfLate(at);
    this->superviseLeadership(at);
    if (this->wasLeader != this->core->isLeader()) {
        this->wasLeader = this->core->isLeader();
        log::info("ledger",
                  this->wasLeader ? "leadership.won" : "leadership.lost",
                  {{"ledger", this->options.name}, {"term", this->core->currentTerm()}, {"replica", this->store->identity()}});
    }
    if (!this->core->isLeader()) {
        this->failProposals();
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::requestMembership(Timestamp at)
{
    if (at < this->nextJoinRequestAt) {
        return;
    }
    this->nextJoinRequestAt = at + detail::joinInterval;
    this->sendJoinRequests(false);
    this->bootstrapIfAllAgree(at);
    this->hasGroupByInstance.clear();
}

template<ReplicatedState State>
void ReplicaNode<State>::sendJoinRequests(bool leaving)
{
    for (const std::string &instance : this->knownInstances()) {
        if (instance == this->options.instance) {
            continue;
        }
        wire::JoinRequestT request;
        request.instance = this->options.instance;
        request.replica = this->store->identity();
        request.leaving = leaving;
        wire::PeerFrameT frame;
        frame.group = this->options.name;
        frame.body.Set(std::move(request));
        this->send(instance, std::move(frame));
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::bootstrapIfAllAgree(Timestamp at)
{
    // Only the first initial instance bootstraps the group, and only after every other one has replied that it belongs to no group.
    const std::vector<std::string> &initialInstances = this->options.initialInstances;
    if (!this->options.mayBootstrap || initialInstances.empty() || initialInstances.front() != this->options.instance || this->core->isMember()) {
        return;
    }
    const auto hasNoGroup = [this](const std::string &initialInstance) {
        const auto answer = this->hasGroupByInstance.find(initialInstance);
        return initialInstance == this->options.instance || (answer != this->hasGroupByInstance.end() && !answer->second);
    };
    if (std::all_of(initialInstances.begin(), initialInstances.end(), hasNoGroup)) {
        log::warning("ledger", "group.formed", {{"ledger", this->options.name}, {"replica", this->store->identity()}});
        this->core->bootstrapGroup(at);
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::receiveJoinRequest(const std::string &fromInstance, const wire::JoinRequestT &request)
{
    const bool isExpected = this->options.acceptsNewInstances || detail::containsName(this->options.initialInstances, fromInstance);
    if (request.instance != fromInstance || consensus::instanceOf(request.replica) != fromInstance || !isExpected) {
        return;
    }
    this->addPeer(fromInstance);
    wire::JoinReplyT reply;
    if (request.leaving) {
        this->admission.recordLeave(request.replica, this->now);
        reply.leaveStatus = this->admission.leaveStatusOf(*this->core, request.replica, this->now);
    } else if (this->core->isLeader()) {
        this->admission.request(fromInstance, request.replica);
    }
    reply.instance = this->options.instance;
    reply.replica = this->store->identity();
    reply.formed = this->core->isMember();
    reply.members = this->knownInstances();
    wire::PeerFrameT frame;
    frame.group = this->options.name;
    frame.body.Set(std::move(reply));
    this->send(fromInstance, std::move(frame));
}

template<ReplicatedState State>
void ReplicaNode<State>::receiveJoinReply(const std::string &fromInstance, const wire::JoinReplyT &reply)
{
    this->hasGroupByInstance[fromInstance] = reply.formed;
    this->leaveProgress.recordStatus(*this->core, fromInstance, reply.leaveStatus);
    if (this->options.acceptsNewInstances) {
        for (const std::string &member : reply.members) {
            this->addPeer(member);
        }
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::proposeBytes(const std::string &command, Completed completed)
{
    const std::optional<consensus::Index> index = this->core->propose(command);
    if (!index) {
        completed(State::failure(ErrorCode::NotLeader, "this replica is not the leader"));
        return;
    }
    this->proposals[*index] = {this->core->currentTerm(), std::move(completed)};
    this->proposedAt[*index] = this->now;
}

template<ReplicatedState State>
void ReplicaNode<State>::failProposals()
{
    std::map<consensus::Index, Proposal> failed;
    failed.swap(this->proposals);
    this->proposedAt.clear();
    const Outcome failure = State::failure(ErrorCode::Timeout, "leadership was lost before the command was committed; it may still be applied");
    for (auto &[index, proposal] : failed) {
        proposal.completed(failure);
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::flush(Timestamp at)
{
    this->now = at;
    this->core->replicate(at);
    consensus::Effects effects = this->core->drainEffects();
    this->logElectionEvents(effects.electionEvents);
    this->sendAll(effects.immediate);
    if (effects.resetToSnapshot) {
        this->stateMachine.restore(wire::toString(effects.snapshot->data));
        this->appliedIndex = effects.snapshot->index;
        log::info("ledger", "snapshot.installed", {{"ledger", this->options.name}, {"index", this->appliedIndex}});
    }
    this->mergePendingWrite(effects);
    this->submitPendingWrite();
    for (const wire::LogRecordT &entry : effects.committed) {
        this->applyEntry(entry);
    }
    if (this->core->isCaughtUpLeader() && this->appliedIndex >= this->core->commitIndex()) {
        this->appliedTerm = this->core->currentTerm();
    }
    this->compactIfNeeded();
}

template<ReplicatedState State>
void ReplicaNode<State>::logElectionEvents(const std::vector<consensus::ElectionEvent> &events) const
{
    for (const consensus::ElectionEvent &event : events) {
        log::info("ledger",
                  "election",
                  {{"ledger", this->options.name},
                   {"step", consensus::nameOf(event.step)},
                   {"preVote", event.isPreVote},
                   {"term", event.term},
                   {"peer", event.peer},
                   {"reason", consensus::nameOf(event.reason)},
                   {"leaderSilentMillis", absl::ToInt64Milliseconds(event.leaderSilence)}});
    }
}

template<ReplicatedState State>
void ReplicaNode<State>::mergePendingWrite(consensus::Effects &effects)
{
    if (!effects.isDurable() && effects.afterSync.empty()) {
        return;
    }
    consensus::Effects &merged = this->pendingWrite.effects;
    this->pendingWrite.since = this->pendingWrite.isEmpty ? this->now : this->pendingWrite.since;
    this->pendingWrite.isEmpty = false;
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

template<ReplicatedState State>
void ReplicaNode<State>::submitPendingWrite()
{
    if (this->diskBusy || this->pendingWrite.isEmpty) {
        return;
    }
    auto work = std::make_shared<consensus::Effects>(std::move(this->pendingWrite.effects));
    const Timestamp queuedAt = this->pendingWrite.since;
    const Timestamp submittedAt = this->now;
    this->pendingWrite = PendingWrite();
    const auto completed = [this, work, queuedAt, submittedAt] {
        this->diskBusy = false;
        this->core->recordWriteTime(this->now - queuedAt);
        if (this->now - queuedAt > detail::slowWriteHeartbeats * this->options.heartbeatInterval) {
            log::info("ledger",
                      "write.slow",
                      {{"ledger", this->options.name},
                       {"queuedMillis", absl::ToInt64Milliseconds(submittedAt - queuedAt)},
                       {"writeMillis", absl::ToInt64Milliseconds(this->now - submittedAt)},
                       {"entries", work->entries.size()},
                       {"hasSnapshot", work->snapshot != nullptr},
                       {"messages", work->afterSync.size()}});
        }
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
    this->writingSince = queuedAt;
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

template<ReplicatedState State>
void ReplicaNode<State>::sendAll(std::vector<consensus::OutboundMessage> &messages)
{
    for (consensus::OutboundMessage &message : messages) {
        wire::PeerFrameT frame;
        frame.group = this->options.name;
        frame.fromReplica = this->store->identity();
        frame.toReplica = message.to;
        frame.body = std::move(message.body);
        this->send(consensus::instanceOf(message.to), std::move(frame));
    }
    messages.clear();
}

template<ReplicatedState State>
void ReplicaNode<State>::applyEntry(const wire::LogRecordT &entry)
{
    this->appliedIndex = entry.index;
    this->appliedEntries.add();
    Outcome outcome{};
    if (entry.kind == wire::EntryKind::Command) {
        outcome = this->stateMachine.apply(entry.data);
    }
    const auto proposal = this->proposals.find(entry.index);
    if (proposal == this->proposals.end()) {
        return;
    }
    if (proposal->second.term != entry.term) {
        outcome = State::failure(ErrorCode::Timeout, "an entry of another leader was committed at this index instead");
    }
    this->commitTimes.record(this->now - this->proposedAt[entry.index]);
    this->proposedAt.erase(entry.index);
    const Completed completed = std::move(proposal->second.completed);
    this->proposals.erase(proposal);
    completed(outcome);
}

template<ReplicatedState State>
void ReplicaNode<State>::compactIfNeeded()
{
    if (this->diskBusy || !this->pendingWrite.isEmpty || this->core->lastIndex() - this->core->firstIndex() < detail::entriesPerSnapshot) {
        return;
    }
    this->core->compact(this->appliedIndex, this->stateMachine.snapshot());
    consensus::Effects effects = this->core->drainEffects();
    this->sendAll(effects.immediate);
    this->mergePendingWrite(effects);
    this->submitPendingWrite();
}

} // namespace paddlepier::replication

#endif
