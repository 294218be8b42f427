// Replica: snapshots, which replace entries that a follower needs and the leader no longer holds.

#include "paddlepier/consensus/replica.h"

#include "paddlepier/wire/codec.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace paddlepier::consensus
{

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
    chunk.sentAtMicros = absl::ToUnixMicros(now);
    chunk.data = wire::toBytes(std::string_view(packed).substr(chunk.offset, this->settings.chunkBytes));
    progress.chunkSentAt = chunk.sentAtMicros;
    progress.inFlight.recordSent(chunk.sentAtMicros);
    progress.lastSent = now;
    this->sendNow(to, std::move(chunk));
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
        if (chunk.index <= this->committedIndex) {
            reply.nextOffset = chunk.total; // Nothing in it is new, so that the rest needn't be sent.
        }
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
    if (progress.chunkSentAt != reply.sentAtMicros) {
        return;
    }
    progress.chunkSentAt.reset();
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
