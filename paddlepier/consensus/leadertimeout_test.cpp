// Timeout of followers. An overloaded leader that sends its heartbeats late must not be replaced, which would move its
// load to another replica; the loss of a leader must still be detected soon, also after a suspension of the follower.

#include "paddlepier/consensus/leadertimeout.h"
#include "paddlepier/consensus/replica.h"
#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>

namespace paddlepier::consensus
{

namespace
{

constexpr Duration minTimeout = absl::Milliseconds(300);

class FollowerFixture
{
public:
    FollowerFixture()
    {
        this->settings.self = std::string(1, 'b');
        this->settings.electionTimeout = minTimeout;
        storage::RecoveredState recovered;
        recovered.hardState.term = 1;
        wire::LogRecordT entry;
        entry.term = 1;
        entry.index = 1;
        entry.kind = wire::EntryKind::Membership;
        wire::MembershipT members;
        for (const char name : {'a', 'b', 'c'}) {
            members.voters.emplace_back(1, name);
        }
        entry.data = wire::toBytes(wire::pack(members));
        recovered.entries.push_back(std::move(entry));
        this->replica = std::make_unique<Replica>(this->settings, std::move(recovered), this->now, 1);
    }

    void heartbeat()
    {
        wire::AppendRequestT request;
        request.term = 1;
        request.previousIndex = 1;
        request.previousTerm = 1;
        wire::PeerBodyUnion body;
        body.Set(std::move(request));
        this->replica->receive(this->now, "a", std::move(body));
        this->replica->drainEffects();
    }

    /** @return true if the replica has started an election in that time */
    bool startsElectionWithin(Duration time)
    {
        for (const Timestamp end = this->now + time; this->now < end;) {
            this->now += absl::Milliseconds(5);
            this->replica->tick(this->now);
            if (this->replica->leader().empty()) {
                return true;
            }
        }
        return false;
    }

    ReplicaSettings settings;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::unique_ptr<Replica> replica;
};

} // namespace

TEST_CASE_METHOD(FollowerFixture, "follower_leaderRegularlyLate_waits")
{
    for (int message = 0; message < 40; ++message) {
        this->heartbeat();
        CHECK_FALSE(this->startsElectionWithin(message < 3 ? absl::Milliseconds(250) : absl::Milliseconds(700)));
    }
}

TEST_CASE_METHOD(FollowerFixture, "follower_leaderWasInTime_startsElectionWithinTwiceMinTimeout")
{
    for (int message = 0; message < 40; ++message) {
        this->heartbeat();
        CHECK_FALSE(this->startsElectionWithin(absl::Milliseconds(75)));
    }
    CHECK(this->startsElectionWithin(2 * minTimeout));
}

TEST_CASE("timeout_afterFollowerFreeze_decaysWithTimelyMessages")
{
    LeaderTimeout timeout(minTimeout);
    timeout.recordGap(absl::Seconds(60));
    for (int message = 0; message < 13 * 5; ++message) {
        timeout.recordGap(absl::Milliseconds(75));
    }
    CHECK(timeout.current() < 2 * minTimeout + absl::Milliseconds(50));
}

TEST_CASE("timeout_afterOneLongGap_decaysWithTimelyMessages")
{
    LeaderTimeout timeout(minTimeout);
    timeout.recordGap(absl::Seconds(1));
    CHECK(timeout.current() == 4 * minTimeout);
    for (int message = 0; message < 13 * 5; ++message) {
        timeout.recordGap(absl::Milliseconds(75));
    }
    CHECK(timeout.current() < 2 * minTimeout + absl::Milliseconds(50));
    timeout.reset();
    CHECK(timeout.current() == minTimeout);
}

} // namespace paddlepier::consensus
