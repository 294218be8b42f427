// Replication while append messages or their answers are lost or late, in virtual time.
//
// Guards against a leader that counts lost answers as messages in flight: with a full pipeline it sends no entry any more, while the answers to
// its heartbeats renew its lease, so that it serves calls and commits nothing until it is stopped. Guards also against a leader that repeats
// entries and snapshot chunks to a follower that is only slow.

#include "paddlepier/consensus/replica.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace paddlepier::consensus
{

namespace
{

constexpr Duration transitTime = absl::Milliseconds(1);
constexpr Duration syncTime = absl::Milliseconds(9);

/** What was sent to one follower. */
struct SentVolume {
    std::size_t entries = 0;
    std::size_t heartbeats = 0;
    std::size_t chunkBytes = 0;
};

/** A group whose leader proposes an entry every millisecond; messages of chosen kinds can be lost, and one replica can be slow. */
class PipelineFixture
{
public:
    PipelineFixture()
    {
        wire::MembershipT membership;
        membership.voters = this->names;
        for (const std::string &name : this->names) {
            ReplicaSettings settings;
            settings.self = name;
            settings.heartbeatInterval = absl::Milliseconds(75);
            settings.electionTimeout = absl::Milliseconds(300);
            storage::RecoveredState recovered;
            auto snapshot = std::make_shared<wire::SnapshotHeaderT>();
            snapshot->index = 1;
            snapshot->term = 1;
            snapshot->membership = std::make_unique<wire::MembershipT>(membership);
            recovered.snapshot = std::move(snapshot);
            recovered.hardState.term = 1;
            this->replicas[name] = std::make_unique<Replica>(settings, std::move(recovered), this->now, this->replicas.size());
        }
        while (this->leader() == nullptr) {
            this->step();
        }
        this->runFor(absl::Seconds(1));
        this->leaderTerm = this->leader()->currentTerm();
    }

    Replica *leader()
    {
        const auto found = std::find_if(this->replicas.begin(), this->replicas.end(), [](const auto &entry) { return entry.second->isCaughtUpLeader(); });
        return found == this->replicas.end() ? nullptr : found->second.get();
    }

    void runFor(Duration time)
    {
        for (const Timestamp end = this->now + time; this->now < end;) {
            this->step();
        }
    }

    /** Loses every message of @p kind that is in transit or sent within @p time. */
    void loseFor(wire::PeerBody kind, Duration time)
    {
        this->lostKind = kind;
        this->runFor(time);
        this->lostKind = wire::PeerBody::NONE;
    }

    /** Loses the entries of every append message until told otherwise; the heartbeats arrive. */
    void loseEntries(bool isLosing)
    {
        this->isLosingEntries = isLosing;
    }

    /** @return a replica that doesn't lead */
    std::string anyFollower()
    {
        const auto found = std::find_if(this->names.begin(), this->names.end(), [this](const std::string &name) { return !this->replicas[name]->isLeader(); });
        return *found;
    }

    /** Delays every message to @p name, and the answers that it sends after a sync. Messages stay in order if the delays only grow. */
    void slowDown(const std::string &name, Duration transit, Duration sync)
    {
        this->slowName = name;
        this->slowTransit = transit;
        this->slowSync = sync;
    }

    /** Cuts @p name off while the others commit, then compacts the leader's log to a snapshot of @p bytes and ends the cut. */
    void leaveBehind(const std::string &name, std::size_t bytes)
    {
        this->cutName = name;
        this->runFor(absl::Milliseconds(600));
        this->leader()->compact(this->leader()->commitIndex(), std::string(bytes, 's'));
        this->cutName.clear();
        this->sent.clear();
    }

    /** Number of the leader's entries that @p name doesn't hold. */
    Index lagOf(const std::string &name)
    {
        return this->leader()->lastIndex() - this->replicas[name]->lastIndex();
    }

    /** Number of entries committed within @p time. */
    Index commitsWithin(Duration time)
    {
        const Index before = this->leader()->commitIndex();
        this->runFor(time);
        REQUIRE(this->leader() != nullptr);
        return this->leader()->commitIndex() - before;
    }

    const std::vector<std::string> names{"a:1/1", "b:1/1", "c:1/1", "d:1/1", "e:1/1"};
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    Term leaderTerm = 0;
    std::map<std::string, SentVolume> sent;

private:
    struct Message {
        Timestamp due;
        std::string from;
        std::string to;
        wire::PeerBodyUnion body;
    };

    void step()
    {
        this->now += absl::Milliseconds(1);
        std::erase_if(this->network, [this](const Message &message) { return message.body.type == this->lostKind; });
        const auto due = std::stable_partition(this->network.begin(), this->network.end(), [this](const Message &message) { return message.due > this->now; });
        std::vector<Message> arrived(std::make_move_iterator(due), std::make_move_iterator(this->network.end()));
        this->network.erase(due, this->network.end());
        for (Message &message : arrived) {
            this->replicas[message.to]->receive(this->now, message.from, std::move(message.body));
        }
        for (auto &[name, replica] : this->replicas) {
            replica->tick(this->now);
            if (replica->isCaughtUpLeader()) {
                replica->propose("entry");
            }
            replica->replicate(this->now);
            Effects effects = replica->drainEffects();
            this->post(name, effects.immediate, transitTime);
            this->post(name, effects.afterSync, syncTime + transitTime);
            if (!effects.entries.empty()) {
                replica->persisted(this->now, effects.entries.back().index, effects.entries.back().term);
            }
        }
    }

    void post(const std::string &from, std::vector<OutboundMessage> &messages, Duration delay)
    {
        for (OutboundMessage &message : messages) {
            if (auto *append = message.body.AsAppendRequest(); append != nullptr && this->isLosingEntries) {
                append->entries.clear();
            }
            this->recordVolume(message);
            const Duration extra = (message.to == this->slowName ? this->slowTransit : absl::ZeroDuration())
                                   + (from == this->slowName && delay > transitTime ? this->slowSync : absl::ZeroDuration());
            if (message.to != this->cutName && from != this->cutName) {
                this->network.push_back({this->now + delay + extra, from, message.to, std::move(message.body)});
            }
        }
    }

    void recordVolume(const OutboundMessage &message)
    {
        SentVolume &volume = this->sent[message.to];
        if (const auto *append = message.body.AsAppendRequest()) {
            volume.entries += append->entries.size();
            volume.heartbeats += append->entries.empty() ? 1 : 0;
        } else if (const auto *chunk = message.body.AsSnapshotChunk()) {
            volume.chunkBytes += chunk->data.size();
        }
    }

    std::map<std::string, std::unique_ptr<Replica>> replicas;
    std::vector<Message> network;
    std::string slowName;
    Duration slowTransit;
    Duration slowSync;
    std::string cutName;
    wire::PeerBody lostKind = wire::PeerBody::NONE;
    bool isLosingEntries = false;
};

/** Entries that are proposed within a second. */
constexpr std::size_t proposalsPerSecond = 1000;

/** Ninety per cent of what is proposed within a second. */
constexpr Index minCommitsPerSecond = 900;

} // namespace

TEST_CASE_METHOD(PipelineFixture, "commit_afterAnswersWereLost_continues")
{
    for (const int millis : {20, 60, 120, 200}) {
        CAPTURE(millis);
        this->loseFor(wire::PeerBody::AppendReply, absl::Milliseconds(millis));
        // The answers to the next heartbeats show which entries have arrived.
        this->runFor(absl::Milliseconds(300));
        CHECK(this->commitsWithin(absl::Seconds(1)) >= minCommitsPerSecond);
    }
    CHECK(this->leader()->currentTerm() == this->leaderTerm);
}

TEST_CASE_METHOD(PipelineFixture, "commit_afterSomeAnswersWereLostRepeatedly_continues")
{
    for (int round = 0; round < 40; ++round) {
        this->loseFor(wire::PeerBody::AppendReply, absl::Milliseconds(3));
        this->runFor(absl::Milliseconds(100));
    }
    CHECK(this->commitsWithin(absl::Seconds(1)) >= minCommitsPerSecond);
    CHECK(this->leader()->currentTerm() == this->leaderTerm);
}

TEST_CASE_METHOD(PipelineFixture, "commit_afterAppendsWereLost_continues")
{
    for (const int millis : {20, 60, 120, 200}) {
        CAPTURE(millis);
        this->loseFor(wire::PeerBody::AppendRequest, absl::Milliseconds(millis));
        this->runFor(absl::Milliseconds(300));
        CHECK(this->commitsWithin(absl::Seconds(1)) >= minCommitsPerSecond);
    }
    CHECK(this->leader()->currentTerm() == this->leaderTerm);
}

TEST_CASE_METHOD(PipelineFixture, "commitStall_whileFollowersStoreNothing_growsThoughTheLeaseIsValid")
{
    CHECK(this->leader()->commitStall(this->now) < absl::Milliseconds(50));
    this->loseEntries(true);
    this->runFor(absl::Seconds(2));
    REQUIRE(this->leader() != nullptr);
    CHECK(this->leader()->hasLeaderLease(this->now));
    CHECK(this->leader()->commitStall(this->now) > absl::Milliseconds(1900));
    this->loseEntries(false);
    this->runFor(absl::Milliseconds(300));
    CHECK(this->leader()->commitStall(this->now) < absl::Milliseconds(50));
}

TEST_CASE_METHOD(PipelineFixture, "append_whileAFollowerIsSilent_carriesNoEntries")
{
    const std::string follower = this->anyFollower();
    this->slowDown(follower, absl::Seconds(4), absl::ZeroDuration());
    this->runFor(absl::Milliseconds(400));
    this->sent.clear();
    this->runFor(absl::Seconds(3));
    CHECK(this->sent[follower].entries == 0);
    CHECK(this->sent[follower].heartbeats >= 3000 / 75 - 1);
    this->slowDown(follower, absl::ZeroDuration(), absl::ZeroDuration());
    this->runFor(absl::Milliseconds(300));
    CHECK(this->lagOf(follower) < 50);
    CHECK(this->leader()->currentTerm() == this->leaderTerm);
}

TEST_CASE_METHOD(PipelineFixture, "append_whileAFollowerAnswersLate_isRarelyRepeated")
{
    const std::string follower = this->anyFollower();
    this->slowDown(follower, absl::Milliseconds(400), absl::ZeroDuration());
    this->runFor(absl::Seconds(1));
    this->sent.clear();
    this->runFor(absl::Seconds(5));
    CHECK(this->sent[follower].entries <= 5 * proposalsPerSecond * 3 / 2);
    CHECK(this->lagOf(follower) < 2 * proposalsPerSecond);
    CHECK(this->leader()->currentTerm() == this->leaderTerm);
}

TEST_CASE_METHOD(PipelineFixture, "snapshot_whileAFollowerStoresSlowly_isSentOnce")
{
    constexpr std::size_t snapshotBytes = std::size_t{1024} * 1024;
    const std::string follower = this->anyFollower();
    this->slowDown(follower, absl::ZeroDuration(), absl::Milliseconds(300));
    this->leaveBehind(follower, snapshotBytes);
    this->runFor(absl::Seconds(4));
    CHECK(this->sent[follower].chunkBytes <= snapshotBytes * 5 / 4);
    CHECK(this->lagOf(follower) < 2 * proposalsPerSecond);
    CHECK(this->leader()->currentTerm() == this->leaderTerm);
}

TEST_CASE_METHOD(PipelineFixture, "snapshot_whileItsMessagesAreLost_continuesWhereItStopped")
{
    constexpr std::size_t snapshotBytes = std::size_t{8} * 1024 * 1024;
    const std::string follower = this->anyFollower();
    for (const wire::PeerBody kind : {wire::PeerBody::SnapshotChunk, wire::PeerBody::SnapshotReply}) {
        this->leaveBehind(follower, snapshotBytes);
        for (int round = 0; round < 5; ++round) {
            this->runFor(absl::Milliseconds(20));
            this->loseFor(kind, absl::Milliseconds(300));
        }
        this->runFor(absl::Seconds(2));
        CHECK(this->sent[follower].chunkBytes <= 2 * snapshotBytes);
        CHECK(this->lagOf(follower) < 50);
    }
    CHECK(this->leader()->currentTerm() == this->leaderTerm);
}

} // namespace paddlepier::consensus
