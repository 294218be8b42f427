// Which answers renew a leader's lease.
//
// Guards against a lease that rests on an answer to a message of an earlier term: its sender promises nothing, so that another
// leader may already be elected.

#include "paddlepier/consensus/replica.h"

#include <catch2/catch.hpp>

#include <memory>

namespace paddlepier::consensus
{

namespace
{

/** A replica of a group of three that has just been elected, 200 ms after it was started. */
class LeaderLeaseFixture
{
public:
    LeaderLeaseFixture()
    {
        storage::RecoveredState recovered;
        auto snapshot = std::make_shared<wire::SnapshotHeaderT>();
        snapshot->index = 1;
        snapshot->term = 1;
        snapshot->membership = std::make_unique<wire::MembershipT>();
        snapshot->membership->voters = {"a:1/1", "b:1/1", "c:1/1"};
        recovered.snapshot = std::move(snapshot);
        recovered.hardState.term = 1;
        ReplicaSettings settings;
        settings.self = "a:1/1";
        settings.guards.preVote = false;
        settings.electionTimeout = absl::Milliseconds(100);
        this->replica = std::make_unique<Replica>(settings, std::move(recovered), this->now, 1);
        this->now += absl::Milliseconds(201);
        this->replica->tick(this->now);
        wire::VoteReplyT vote;
        vote.term = this->replica->currentTerm();
        vote.granted = true;
        this->receive("b:1/1", vote);
        REQUIRE(this->replica->isLeader());
    }

    template<typename Body>
    void receive(const std::string &from, Body message)
    {
        wire::PeerBodyUnion body;
        body.Set(std::move(message));
        this->replica->receive(this->now, from, std::move(body));
    }

    void receiveReceipt(Timestamp sentAt)
    {
        wire::AppendReplyT receipt;
        receipt.term = this->replica->currentTerm();
        receipt.isReceipt = true;
        receipt.matchIndex = this->replica->lastIndex();
        receipt.sentAtMicros = absl::ToUnixMicros(sentAt);
        this->receive("b:1/1", receipt);
    }

    void receiveAnswer(Timestamp sentAt)
    {
        wire::AppendReplyT reply;
        reply.term = this->replica->currentTerm();
        reply.accepted = false;
        reply.sentAtMicros = absl::ToUnixMicros(sentAt);
        this->receive("b:1/1", reply);
    }

    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::unique_ptr<Replica> replica;
};

} // namespace

TEST_CASE_METHOD(LeaderLeaseFixture, "answer_toAMessageSentBeforeTheElection_doesNotRenewTheLease")
{
    this->receiveAnswer(this->now - absl::Milliseconds(10));
    CHECK_FALSE(this->replica->hasLeaderLease(this->now));
}

TEST_CASE_METHOD(LeaderLeaseFixture, "answer_toAMessageOfThisTerm_renewsTheLease")
{
    this->receiveAnswer(this->now);
    CHECK(this->replica->hasLeaderLease(this->now));
}

TEST_CASE_METHOD(LeaderLeaseFixture, "receipt_ofAMessageOfThisTerm_renewsTheLeaseAndStoresNothing")
{
    this->replica->replicate(this->now);
    const Index last = this->replica->lastIndex();
    this->replica->persisted(this->now, last, this->replica->currentTerm());
    this->receiveReceipt(this->now);
    CHECK(this->replica->hasLeaderLease(this->now));
    CHECK(this->replica->matchOf("b:1/1") < last);
    CHECK_FALSE(this->replica->isCaughtUpLeader());
}

TEST_CASE_METHOD(LeaderLeaseFixture, "receipt_ofAMessageSentBeforeTheElection_doesNotRenewTheLease")
{
    this->receiveReceipt(this->now - absl::Milliseconds(10));
    CHECK_FALSE(this->replica->hasLeaderLease(this->now));
}

// A voter whose disk hangs confirms the leader, and may be replaced all the same.
TEST_CASE_METHOD(LeaderLeaseFixture, "receipt_isNoAnswerForTheReplacementOfAVoter")
{
    const Timestamp elected = this->now;
    this->now += absl::Milliseconds(50);
    this->receiveReceipt(this->now);
    CHECK(this->replica->lastReplyOf("b:1/1", this->now) == elected);
}

} // namespace paddlepier::consensus
