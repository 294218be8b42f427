// Guards against a leader that commits nothing and keeps its office, since the answers to its heartbeats renew its lease.

#include "paddlepier/replication/replicagroupfixture.h"

#include <catch2/catch.hpp>

namespace paddlepier::replication
{

TEST_CASE_METHOD(ReplicaGroupFixture, "leader_thatCommitsNothingWhileCallsWait_isReplaced")
{
    REQUIRE(this->runUntil([this] { return this->servingNode() != nullptr; }, absl::Seconds(60)));
    Node *const leader = this->servingNode();
    leader->proposeBytes("x", [](const CountingState::Outcome &) {});
    REQUIRE(this->runUntil([leader] { return leader->state().count == 1; }, absl::Seconds(10)));
    this->withoutEntries = leader->leaderInstance();
    leader->proposeBytes("x", [](const CountingState::Outcome &) {});
    CHECK(this->runUntil([this, leader] { return this->servingNode() != nullptr && this->servingNode() != leader; }, absl::Seconds(5)));
}

} // namespace paddlepier::replication
