// Replica: log, replication and commit. Snapshots are in snapshottransfer.cpp.

#include "paddlepier/consensus/replica.h"

#include "paddlepier/wire/codec.h"

#include <algorithm>

namespace paddlepier::consensus
{

namespace
{

std::int64_t toMicros(Timestamp time)
{
    return absl::ToUnixMicros(time);
}

/** A follower without an answer for more than this many heartbeats counts as silent. */
constexpr int maxMissedHeartbeats = 3;

/** Approximate size of an entry in a message, in bytes. */
std::size_t weightOf(const wire::LogRecordT &entry)
{
    constexpr std::size_t overhead = 48;
    return entry.data.size() + overhead;
}

} // namespace

template<typename Body>
void Replica::sendNow(const std::string &to, Body body)
{
    OutboundMessage message;
    message.to = to;
    message.body.Set(std::move(body));
    this->effects.immediate.push_back(std::move(message));
}

template<typename Body>
void Replica::sendAfterSync(const std::string &to, Body body)
{
    OutboundMessage message;
    message.to = to;
    message.body.Set(std::move(body));
    auto &list = this->settings.guards.syncBeforeAcknowledge ? this->effects.afterSync : this->effects.immediate;
    list.push_back(std::move(message));
}

template void Replica::sendNow(const std::string &, wire::AppendRequestT);
template void Replica::sendNow(const std::string &, wire::SnapshotChunkT);
template void Replica::sendNow(const std::string &, wire::VoteRequestT);
template void Replica::sendNow(const std::string &, wire::VoteReplyT);
template void Replica::sendNow(const std::string &, wire::AppendReplyT);
template void Replica::sendAfterSync(const std::string &, wire::SnapshotReplyT);
template void Replica::sendAfterSync(const std::string &, wire::VoteRequestT);
template void Replica::sendAfterSync(const std::string &, wire::VoteReplyT);

Index Replica::lastIndex() const
{
    return this->baseIndex + this->entries.size();
}

Index Replica::firstIndex() const
{
    return this->baseIndex + 1;
}

Index Replica::commitIndex() const
{
    return this->committedIndex;
}

const std::shared_ptr<const wire::SnapshotHeaderT> &Replica::currentSnapshot() const
{
    return this->snapshot;
}

std::optional<Term> Replica::termAt(Index index) const
{
    if (index == this->baseIndex) {
        return this->baseTerm;
    }
    if (index < this->baseIndex || index > this->lastIndex()) {
        return std::nullopt;
    }
    return this->entryAt(index).term;
}

const wire::LogRecordT &Replica::entryAt(Index index) const
{
    return this->entries[index - this->baseIndex - 1];
}

Index Replica::matchOf(const std::string &replica) const
{
    const auto found = this->progresses.find(replica);
    return found == this->progresses.end() ? 0 : found->second.match;
}

bool Replica::isCaughtUp(const std::string &member, Timestamp now) const
{
    const auto found = this->progresses.find(member);
    if (found == this->progresses.end()) {
        return false;
    }
    const Progress &progress = found->second;
    const bool keepsUp = !progress.probing && progress.next > this->committedIndex && now - progress.acceptsSince >= this->settings.electionTimeout;
    return keepsUp || progress.match >= this->committedIndex;
}

Timestamp Replica::lastReplyOf(const std::string &replica, Timestamp now) const
{
    const auto found = this->progresses.find(replica);
    return found == this->progresses.end() ? now : found->second.lastReply;
}

std::vector<Replica::FollowerStatus> Replica::followers(Timestamp now) const
{
    std::vector<FollowerStatus> list;
    for (const std::string &member : this->otherMembers()) {
        const auto found = this->progresses.find(member);
        if (found != this->progresses.end()) {
            const Progress &progress = found->second;
            list.push_back({member, this->lastIndex() - progress.match, progress.inFlight.size(), now - progress.lastReply});
        }
    }
    return list;
}

void Replica::appendAsLeader(wire::EntryKind kind, const std::string &data)
{
    wire::LogRecordT entry;
    entry.term = this->hardState.term;
    entry.index = this->lastIndex() + 1;
    entry.kind = kind;
    entry.data = wire::toBytes(data);
    if (kind == wire::EntryKind::Membership) {
        this->members = wire::unpack<wire::MembershipT>(data);
        this->membershipIndex = entry.index;
    }
    this->effects.entries.push_back(entry);
    this->entries.push_back(std::move(entry));
}

std::optional<Index> Replica::propose(const std::string &data)
{
    if (this->role != ReplicaRole::Leader) {
        return std::nullopt;
    }
    this->appendAsLeader(wire::EntryKind::Command, data);
    return this->lastIndex();
}

void Replica::replicate(Timestamp now)
{
    if (this->role != ReplicaRole::Leader) {
        return;
    }
    if (this->committedIndex == this->lastIndex() || this->committedIndex != this->observedCommit) {
        this->observedCommit = this->committedIndex;
        this->commitProgressAt = now;
    }
    this->broadcast(now, false);
}

void Replica::broadcast(Timestamp now, bool heartbeat)
{
    if (heartbeat) {
        this->lastBroadcast = now;
    }
    for (const std::string &member : this->otherMembers()) {
        this->sendAppend(now, member, this->progresses[member], heartbeat);
    }
}

void Replica::sendAppend(Timestamp now, const std::string &to, Progress &progress, bool heartbeat)
{
    if (heartbeat && !progress.silentSince && progress.inFlight.size() > 0
        && now - progress.lastHeard > maxMissedHeartbeats * this->settings.heartbeatInterval) {
        progress.silentSince = toMicros(now);
        progress.acceptsSince = absl::InfiniteFuture();
        progress.probing = true;
    }
    if (progress.silentSince) {
        // What was sent before may still arrive. Sending it again with each heartbeat would fill the queues to a follower that is only slow.
        if (heartbeat) {
            progress.inFlight.clear();
            this->sendEmptyAppend(now, to, progress);
        }
        return;
    }
    if (progress.next <= this->baseIndex) {
        if (!progress.chunkSentAt) {
            this->sendSnapshotChunk(now, to, progress);
        } else if (heartbeat) {
            this->sendEmptyAppend(now, to, progress);
        }
        return;
    }
    const std::size_t depth = progress.probing ? 1 : this->settings.pipelineDepth;
    bool sent = false;
    while (progress.inFlight.size() < depth && progress.next <= this->lastIndex()) {
        this->sendEntries(now, to, progress);
        sent = true;
    }
    if (heartbeat && !sent) {
        this->sendEmptyAppend(now, to, progress);
    }
}

wire::AppendRequestT Replica::makeAppend(Timestamp now, Index previousIndex) const
{
    wire::AppendRequestT request;
    request.term = this->hardState.term;
    request.previousIndex = previousIndex;
    request.previousTerm = *this->termAt(previousIndex);
    request.commit = this->committedIndex;
    request.sentAtMicros = toMicros(now);
    return request;
}

void Replica::sendEntries(Timestamp now, const std::string &to, Progress &progress)
{
    wire::AppendRequestT request = this->makeAppend(now, progress.next - 1);
    this->addEntries(request, this->settings.appendBytes);
    if (!progress.probing) {
        progress.next += request.entries.size();
    }
    progress.inFlight.recordSent(request.sentAtMicros);
    progress.lastSent = now;
    this->sendNow(to, std::move(request));
}

void Replica::addEntries(wire::AppendRequestT &request, std::size_t maxBytes) const
{
    std::size_t bytes = 0;
    for (Index index = request.previousIndex + 1; index <= this->lastIndex() && bytes < maxBytes; ++index) {
        const wire::LogRecordT &entry = this->entryAt(index);
        bytes += weightOf(entry);
        request.entries.push_back(std::make_unique<wire::LogRecordT>(entry));
    }
}

void Replica::sendEmptyAppend(Timestamp now, const std::string &to, Progress &progress)
{
    // A follower whose next entry is only in the snapshot rejects this, or has caught up meanwhile.
    wire::AppendRequestT request = this->makeAppend(now, std::max(progress.next - 1, this->baseIndex));
    progress.inFlight.recordSent(request.sentAtMicros);
    progress.lastSent = now;
    this->sendNow(to, std::move(request));
}

void Replica::acceptLeader(Timestamp now, const std::string &from, Term term)
{
    if (term > this->hardState.term || this->role != ReplicaRole::Follower) {
        this->becomeFollower(term, from);
        this->leaderTimeout.reset();
    } else if (this->leaderName == from) {
        this->leaderTimeout.recordGap(now - this->lastHeardLeader);
    }
    this->leaderName = from;
    this->lastHeardLeader = now;
    this->heardLeader = true;
    this->resetElectionTimer(now);
}

void Replica::onAppendRequest(Timestamp now, const std::string &from, wire::AppendRequestT &request)
{
    wire::AppendReplyT reply;
    reply.sentAtMicros = request.sentAtMicros;
    if (request.term < this->hardState.term) {
        reply.term = this->hardState.term;
        this->sendAfterSync(from, reply);
        return;
    }
    this->acceptLeader(now, from, request.term);
    this->heardSentAtMicros = request.sentAtMicros;
    reply.term = this->hardState.term;
    const std::optional<Term> previousTerm = this->termAt(request.previousIndex);
    if (request.previousIndex < this->committedIndex) {
        // Committed entries are equal on both sides; what follows them in the message continues this log.
        std::erase_if(request.entries, [this](const auto &entry) { return entry->index <= this->committedIndex; });
        reply.accepted = true;
        reply.matchIndex = std::max(this->committedIndex, this->storeEntries(request.entries));
    } else if (!previousTerm || *previousTerm != request.previousTerm) {
        reply.matchIndex = std::min(this->lastIndex(), request.previousIndex - 1);
    } else {
        reply.accepted = true;
        reply.matchIndex = this->storeEntries(request.entries);
        if (request.entries.empty()) {
            reply.matchIndex = request.previousIndex;
        }
        this->commitTo(std::min(request.commit, reply.matchIndex));
    }
    this->sendAfterSync(from, reply);
    if (request.handOver) {
        this->startElection(now, Election::AfterHandOver);
    }
}

Index Replica::storeEntries(std::vector<std::unique_ptr<wire::LogRecordT>> &incoming)
{
    Index last = 0;
    for (std::unique_ptr<wire::LogRecordT> &entry : incoming) {
        last = entry->index;
        const std::optional<Term> known = this->termAt(entry->index);
        if (known && *known == entry->term) {
            continue;
        }
        if (known) {
            this->truncateFrom(entry->index);
        }
        if (entry->kind == wire::EntryKind::Membership) {
            this->members = wire::unpack<wire::MembershipT>(entry->data);
            this->membershipIndex = entry->index;
        }
        this->effects.entries.push_back(*entry);
        this->entries.push_back(std::move(*entry));
    }
    return last;
}

void Replica::truncateFrom(Index index)
{
    while (this->lastIndex() >= index) {
        this->entries.pop_back();
    }
    this->durableIndex = std::min(this->durableIndex, this->lastIndex());
    if (this->membershipIndex >= index) {
        this->recomputeMembership();
    }
}

bool Replica::isAnswerOfThisTerm(Term term, std::int64_t sentAtMicros) const
{
    // A replica that leads again may receive answers to messages of its earlier term, which carry the current term but promise nothing.
    return this->role == ReplicaRole::Leader && term == this->hardState.term && sentAtMicros >= toMicros(this->leadingSince);
}

void Replica::recordHeard(Timestamp now, Progress &progress, std::int64_t sentAtMicros)
{
    progress.lastHeard = now;
    progress.lastAckSentAt = std::max(progress.lastAckSentAt, absl::FromUnixMicros(sentAtMicros));
}

void Replica::recordAck(Timestamp now, Progress &progress, std::int64_t sentAtMicros)
{
    recordHeard(now, progress, sentAtMicros);
    progress.lastReply = now;
    progress.inFlight.recordAnswer(sentAtMicros);
    if (progress.silentSince && sentAtMicros >= *progress.silentSince) {
        progress.silentSince.reset();
    }
    // Links are in order: an answer to a later message shows that the chunk or its answer was lost.
    if (progress.chunkSentAt && sentAtMicros > *progress.chunkSentAt) {
        progress.chunkSentAt.reset();
    }
}

void Replica::onAppendReply(Timestamp now, const std::string &from, const wire::AppendReplyT &reply)
{
    if (reply.term > this->hardState.term) {
        this->recordElectionEvent(now, ElectionStep::SteppedDown, false, reply.term, from, ElectionReason::LaterTerm);
        this->becomeFollower(reply.term, "");
        return;
    }
    const auto found = this->progresses.find(from);
    if (!this->isAnswerOfThisTerm(reply.term, reply.sentAtMicros) || found == this->progresses.end()) {
        return;
    }
    Progress &progress = found->second;
    if (reply.isReceipt) {
        // Links are in order, but a receipt overtakes the answers that wait for the disk, so that it settles no message.
        recordHeard(now, progress, reply.sentAtMicros);
        return;
    }
    this->recordAck(now, progress, reply.sentAtMicros);
    if (reply.accepted) {
        progress.match = std::max(progress.match, reply.matchIndex);
        progress.next = std::max(progress.next, progress.match + 1);
        progress.acceptsSince = std::min(progress.acceptsSince, now);
        progress.probing = false;
        this->advanceCommit();
    } else if (reply.matchIndex >= progress.match) {
        progress.next = std::max(progress.match, reply.matchIndex) + 1;
        progress.probing = true;
        progress.inFlight.clear();
    }
    this->sendAppend(now, from, progress, false);
}

void Replica::persisted(Timestamp now, Index index, Term term)
{
    const std::optional<Term> current = this->termAt(index);
    if (current && *current == term) {
        this->durableIndex = std::max(this->durableIndex, index);
    }
    if (this->role == ReplicaRole::Leader) {
        this->advanceCommit();
        this->broadcast(now, false);
    }
}

void Replica::advanceCommit()
{
    std::vector<Index> matches;
    for (const std::string &voter : this->members.voters) {
        const Index own = this->settings.guards.syncBeforeAcknowledge ? this->durableIndex : this->lastIndex();
        matches.push_back(voter == this->settings.self ? own : this->matchOf(voter));
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const Index agreed = matches[this->quorum() - 1];
    // An entry of an older term may still be replaced although a majority has it; it is committed together with the next entry of this
    // term.
    if (this->termAt(agreed).value_or(0) == this->hardState.term) {
        this->commitTo(agreed);
    }
}

void Replica::commitTo(Index index)
{
    while (this->committedIndex < std::min(index, this->lastIndex())) {
        ++this->committedIndex;
        this->effects.committed.push_back(this->entryAt(this->committedIndex));
    }
}

} // namespace paddlepier::consensus
