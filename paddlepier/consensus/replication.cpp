// Replica: log, replication, commit and snapshots.

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
    // Without any answer the pipeline would stay full.
    if (heartbeat && progress.inFlight.size() > 0 && now - progress.lastReply > 3 * this->settings.heartbeatInterval) {
        progress.inFlight.clear();
        progress.probing = true;
        progress.next = progress.match + 1;
        progress.snapshotOffset = 0;
    }
    if (progress.next <= this->baseIndex) {
        if (heartbeat || progress.inFlight.size() == 0) {
            this->sendSnapshotChunk(now, to, progress);
        }
        return;
    }
    const std::size_t depth = progress.probing ? 1 : this->settings.pipelineDepth;
    bool sent = false;
    while (progress.inFlight.size() < depth && progress.next <= this->lastIndex()) {
        this->sendOneAppend(now, to, progress);
        sent = true;
    }
    if (heartbeat && !sent) {
        this->sendOneAppend(now, to, progress);
    }
}

void Replica::sendOneAppend(Timestamp now, const std::string &to, Progress &progress)
{
    wire::AppendRequestT request;
    request.term = this->hardState.term;
    request.previousIndex = progress.next - 1;
    request.previousTerm = *this->termAt(request.previousIndex);
    request.commit = this->committedIndex;
    request.sentAtMicros = toMicros(now);
    std::size_t bytes = 0;
    const bool isFull = progress.inFlight.size() >= this->settings.pipelineDepth;
    for (Index index = progress.next; !isFull && index <= this->lastIndex() && bytes < this->settings.appendBytes; ++index) {
        const wire::LogRecordT &entry = this->entryAt(index);
        bytes += weightOf(entry);
        request.entries.push_back(std::make_unique<wire::LogRecordT>(entry));
    }
    if (!progress.probing) {
        progress.next += request.entries.size();
    }
    progress.inFlight.recordSent(request.sentAtMicros);
    progress.lastSent = now;
    this->sendNow(to, std::move(request));
}

const std::string &Replica::snapshotBytes()
{
    if (this->packedSnapshotIndex != this->snapshot->index) {
        this->packedSnapshot = wire::pack(*this->snapshot);
        this->packedSnapshotIndex = this->snapshot->index;
    }
    return this->packedSnapshot;
}

void Replica::sendSnapshotChunk(Timestamp now, const std::string &to, Progress &progress)
{
    if (progress.snapshotIndex != this->snapshot->index) {
        progress.snapshotIndex = this->snapshot->index;
        progress.snapshotOffset = 0;
    }
    const std::string &packed = this->snapshotBytes();
    wire::SnapshotChunkT chunk;
    chunk.term = this->hardState.term;
    chunk.index = this->snapshot->index;
    chunk.offset = progress.snapshotOffset;
    chunk.total = packed.size();
    chunk.sentAtMicros = toMicros(now);
    chunk.data = wire::toBytes(std::string_view(packed).substr(chunk.offset, this->settings.chunkBytes));
    progress.inFlight.clear();
    progress.inFlight.recordSent(chunk.sentAtMicros);
    progress.lastSent = now;
    this->sendNow(to, std::move(chunk));
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
    reply.term = this->hardState.term;
    const std::optional<Term> previousTerm = this->termAt(request.previousIndex);
    if (request.previousIndex < this->committedIndex) {
        // Committed entries are equal on both sides; the leader continues from there.
        reply.accepted = true;
        reply.matchIndex = this->committedIndex;
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

void Replica::recordAck(Timestamp now, Progress &progress, std::int64_t sentAtMicros)
{
    progress.lastReply = now;
    progress.lastAckSentAt = std::max(progress.lastAckSentAt, absl::FromUnixMicros(sentAtMicros));
    progress.inFlight.recordAnswer(sentAtMicros);
}

void Replica::onAppendReply(Timestamp now, const std::string &from, const wire::AppendReplyT &reply)
{
    if (reply.term > this->hardState.term) {
        this->becomeFollower(reply.term, "");
        return;
    }
    const auto found = this->progresses.find(from);
    if (!this->isAnswerOfThisTerm(reply.term, reply.sentAtMicros) || found == this->progresses.end()) {
        return;
    }
    Progress &progress = found->second;
    this->recordAck(now, progress, reply.sentAtMicros);
    if (reply.accepted) {
        progress.match = std::max(progress.match, reply.matchIndex);
        progress.next = std::max(progress.next, progress.match + 1);
        progress.probing = false;
        this->advanceCommit();
    } else if (reply.matchIndex >= progress.match) {
        progress.next = std::max(progress.match, reply.matchIndex) + 1;
        progress.probing = true;
        progress.inFlight.clear();
    }
    this->sendAppend(now, from, progress, false);
}

void Replica::onSnapshotChunk(Timestamp now, const std::string &from, const wire::SnapshotChunkT &chunk)
{
    wire::SnapshotReplyT reply;
    reply.index = chunk.index;
    reply.sentAtMicros = chunk.sentAtMicros;
    if (chunk.term >= this->hardState.term) {
        this->acceptLeader(now, from, chunk.term);
        if (chunk.offset == 0) {
            this->incomingSnapshot.clear();
            this->incomingSnapshotIndex = chunk.index;
        }
        const bool isNext = this->incomingSnapshotIndex == chunk.index && this->incomingSnapshot.size() == chunk.offset;
        if (isNext) {
            this->incomingSnapshot += wire::toString(chunk.data);
        }
        reply.nextOffset = this->incomingSnapshotIndex == chunk.index ? this->incomingSnapshot.size() : 0;
        if (isNext && this->incomingSnapshot.size() == chunk.total) {
            this->installSnapshot(wire::unpack<wire::SnapshotHeaderT>(this->incomingSnapshot));
            this->incomingSnapshot.clear();
        }
    }
    reply.term = this->hardState.term;
    this->sendAfterSync(from, reply);
}

void Replica::installSnapshot(wire::SnapshotHeaderT received)
{
    if (received.index <= this->committedIndex) {
        return;
    }
    // Entries behind the snapshot may be committed and acknowledged. They are kept if the log agrees with the leader's at the snapshot's index.
    const bool isPrefix = this->termAt(received.index) == std::optional<Term>(received.term);
    const auto covered = isPrefix ? static_cast<std::ptrdiff_t>(received.index - this->baseIndex) : static_cast<std::ptrdiff_t>(this->entries.size());
    this->entries.erase(this->entries.begin(), this->entries.begin() + covered);
    this->snapshot = std::make_shared<const wire::SnapshotHeaderT>(std::move(received));
    this->baseIndex = this->snapshot->index;
    this->baseTerm = this->snapshot->term;
    this->committedIndex = this->baseIndex;
    this->durableIndex = std::clamp(this->durableIndex, this->baseIndex, this->lastIndex());
    this->recomputeMembership();
    this->effects.snapshot = this->snapshot;
    this->effects.resetToSnapshot = true;
    this->effects.entries.assign(this->entries.begin(), this->entries.end());
    this->effects.committed.clear();
    this->saveHardState();
}

void Replica::onSnapshotReply(Timestamp now, const std::string &from, const wire::SnapshotReplyT &reply)
{
    if (reply.term > this->hardState.term) {
        this->becomeFollower(reply.term, "");
        return;
    }
    const auto found = this->progresses.find(from);
    if (!this->isAnswerOfThisTerm(reply.term, reply.sentAtMicros) || found == this->progresses.end()) {
        return;
    }
    Progress &progress = found->second;
    this->recordAck(now, progress, reply.sentAtMicros);
    if (progress.snapshotIndex != reply.index || progress.next > this->baseIndex) {
        return;
    }
    progress.snapshotOffset = reply.nextOffset;
    const bool isComplete = this->snapshot->index == reply.index && reply.nextOffset >= this->snapshotBytes().size();
    if (isComplete) {
        progress.match = std::max(progress.match, reply.index);
        progress.next = progress.match + 1;
        progress.probing = true;
        progress.snapshotOffset = 0;
    }
    progress.inFlight.clear();
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

void Replica::compact(Index index, const std::string &data)
{
    if (index <= this->baseIndex || index > this->committedIndex) {
        return;
    }
    auto created = std::make_shared<wire::SnapshotHeaderT>();
    created->index = index;
    created->term = *this->termAt(index);
    created->data = wire::toBytes(data);
    wire::MembershipT covered = this->snapshot && this->snapshot->membership ? *this->snapshot->membership : wire::MembershipT();
    for (const wire::LogRecordT &entry : this->entries) {
        if (entry.index <= index && entry.kind == wire::EntryKind::Membership) {
            covered = wire::unpack<wire::MembershipT>(entry.data);
        }
    }
    created->membership = std::make_unique<wire::MembershipT>(covered);
    this->snapshot = created;
    this->baseTerm = created->term;
    this->entries.erase(this->entries.begin(), this->entries.begin() + static_cast<std::ptrdiff_t>(index - this->baseIndex));
    this->baseIndex = index;
    this->effects.snapshot = this->snapshot;
    this->effects.entries.assign(this->entries.begin(), this->entries.end());
    this->saveHardState();
}

} // namespace paddlepier::consensus
