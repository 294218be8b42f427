// Elections and leadership of replica nodes whose disks are slow, while nothing else is.
//
// Guards against a group that has no leader for long because votes and answers to heartbeats wait for the disk until the candidate has started
// over, or until the leader's lease has run out.

#include "paddlepier/replication/replicagroupfixture.h"

#include <catch2/catch.hpp>

namespace paddlepier::replication
{

namespace
{

/** `recovery_s` of the platform's settings. */
constexpr Duration recoveryTime = absl::Seconds(12);

class SlowDiskFixture : public ReplicaGroupFixture
{
public:
    SlowDiskFixture()
        : ReplicaGroupFixture(absl::Milliseconds(75), absl::Milliseconds(300))
    {
        REQUIRE(this->runUntil([this] { return this->servingNode() != nullptr; }, absl::Seconds(60)));
        this->propose();
        REQUIRE(this->runUntil([this] { return this->servingNode()->state().count > 0; }, absl::Seconds(10)));
    }

    void propose()
    {
        if (Node *const leader = this->servingNode()) {
            leader->proposeBytes("x", [this](const CountingState::Outcome &outcome) { this->commits += outcome.error == ErrorCode::None ? 1 : 0; });
        }
    }

    consensus::Term newestTerm() const
    {
        consensus::Term newest = 0;
        for (const auto &[name, node] : this->nodes) {
            newest = std::max(newest, node->replica().currentTerm());
        }
        return newest;
    }

    /** Proposes in each step for @p time. @return how long no node served */
    Duration serveFor(Duration time)
    {
        Duration unavailable;
        Timestamp last = this->now;
        this->runUntil(
            [&] {
                this->propose();
                unavailable += this->servingNode() == nullptr ? this->now - last : absl::ZeroDuration();
                last = this->now;
                return false;
            },
            time);
        return unavailable;
    }

    /** Commands that were committed while their proposer led. */
    int commits = 0;
};

} // namespace

TEST_CASE_METHOD(SlowDiskFixture, "leader_whileAllDisksAreSlow_keepsServing")
{
    const int syncMillis = GENERATE(150, 300, 600);
    CAPTURE(syncMillis);
    const consensus::Term term = this->newestTerm();
    this->syncTime = absl::Milliseconds(syncMillis);
    const int before = this->commits;
    CHECK(this->serveFor(absl::Seconds(30)) == absl::ZeroDuration());
    CHECK(this->newestTerm() == term);
    CHECK(this->commits > before);
}

TEST_CASE_METHOD(SlowDiskFixture, "group_whoseLeaderIsLostWhileAllDisksAreSlow_electsAnotherInTime")
{
    const int syncMillis = GENERATE(150, 300, 600);
    CAPTURE(syncMillis);
    this->syncTime = absl::Milliseconds(syncMillis);
    this->serveFor(absl::Seconds(5));
    Node *const lost = this->servingNode();
    REQUIRE(lost != nullptr);
    this->cutOff = lost->leaderInstance();
    REQUIRE(this->runUntil([this, lost] { return this->servingNode() != nullptr && this->servingNode() != lost; }, recoveryTime));
    const consensus::Term elected = this->newestTerm();
    CHECK(this->serveFor(absl::Seconds(20)) == absl::ZeroDuration());
    CHECK(this->newestTerm() == elected);
}

} // namespace paddlepier::replication
