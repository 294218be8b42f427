// What a follower keeps of its log when it installs the leader's snapshot.
//
// Guards against a follower that discards entries which it has acknowledged: after a restart it knows only its own snapshot as
// committed, so that a leader's newer snapshot may cover a part of a log whose rest is committed.

#include "paddlepier/consensus/replica.h"

#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace paddlepier::consensus
{

namespace
{

constexpr Index lastLoggedIndex = 100;
constexpr Index snapshotIndex = 80;
constexpr Term logTerm = 1;

/** A follower that has restarted with entries up to lastLoggedIndex and a snapshot of the first one. */
class SnapshotFixture
{
public:
    SnapshotFixture()
    {
        ReplicaSettings settings;
        settings.self = "b:1/1";
        storage::RecoveredState recovered;
        recovered.snapshot = std::make_shared<wire::SnapshotHeaderT>(this->snapshotAt(1, logTerm));
        recovered.hardState.term = logTerm;
        for (Index index = 2; index <= lastLoggedIndex; ++index) {
            wire::LogRecordT entry;
            entry.index = index;
            entry.term = logTerm;
            entry.kind = wire::EntryKind::Command;
            recovered.entries.push_back(std::move(entry));
        }
        this->follower = std::make_unique<Replica>(settings, std::move(recovered), this->now, 1);
    }

    static wire::SnapshotHeaderT snapshotAt(Index index, Term term)
    {
        wire::SnapshotHeaderT snapshot;
        snapshot.index = index;
        snapshot.term = term;
        snapshot.membership = std::make_unique<wire::MembershipT>();
        snapshot.membership->voters = {"a:1/1", "b:1/1", "c:1/1"};
        return snapshot;
    }

    /** Receives a snapshot at snapshotIndex whose last entry is of @p term. */
    Effects install(Term term)
    {
        wire::SnapshotChunkT chunk;
        chunk.term = logTerm + 1;
        chunk.index = snapshotIndex;
        chunk.data = wire::toBytes(wire::pack(snapshotAt(snapshotIndex, term)));
        chunk.total = chunk.data.size();
        wire::PeerBodyUnion body;
        body.Set(std::move(chunk));
        this->follower->receive(this->now, "a:1/1", std::move(body));
        return this->follower->drainEffects();
    }

    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::unique_ptr<Replica> follower;
};

} // namespace

TEST_CASE_METHOD(SnapshotFixture, "snapshot_ofAPrefixOfTheLog_keepsTheEntriesBehindIt")
{
    const Effects effects = this->install(logTerm);
    CHECK(this->follower->commitIndex() == snapshotIndex);
    CHECK(this->follower->lastIndex() == lastLoggedIndex);
    REQUIRE(effects.snapshot);
    REQUIRE(effects.entries.size() == lastLoggedIndex - snapshotIndex);
    CHECK(effects.entries.front().index == snapshotIndex + 1);
}

TEST_CASE_METHOD(SnapshotFixture, "snapshot_ofAnotherLog_replacesAllEntries")
{
    const Effects effects = this->install(logTerm + 1);
    CHECK(this->follower->lastIndex() == snapshotIndex);
    CHECK(effects.entries.empty());
}

} // namespace paddlepier::consensus
