// A slow leader keeps its place; one that is gone is missed soon.

#include "paddlepier/consensus/leadertimeout.h"
#include "paddlepier/consensus/replica.h"
#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>

namespace paddlepier::consensus
{

namespace
{

constexpr Duration least = absl::Milliseconds(300);

class FollowerFixture
{
public:
    FollowerFixture()
    {
        this->settings.self = std::string(1, 'b');
        this->settings.election = least;
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
        this->replica->takeEffects();
    }

    /** @return true if it has asked for votes meanwhile */
    bool campaignsWithin(Duration time)
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

TEST_CASE_METHOD(FollowerFixture, "follower_ofALeaderThatIsRegularlyLate_waitsForIt")
{
    for (int message = 0; message < 40; ++message) {
        this->heartbeat();
        CHECK_FALSE(this->campaignsWithin(message < 3 ? absl::Milliseconds(250) : absl::Milliseconds(700)));
    }
}

TEST_CASE_METHOD(FollowerFixture, "follower_ofALeaderThatWasInTime_missesItAfterTwiceTheLeastSilence")
{
    for (int message = 0; message < 40; ++message) {
        this->heartbeat();
        CHECK_FALSE(this->campaignsWithin(absl::Milliseconds(75)));
    }
    CHECK(this->campaignsWithin(2 * least));
}

TEST_CASE("silence_afterAFollowersOwnFreeze_shrinksAgainWithMessagesInTime")
{
    LeaderPatience patience(least);
    patience.notePause(absl::Seconds(60));
    for (int message = 0; message < 13 * 5; ++message) {
        patience.notePause(absl::Milliseconds(75));
    }
    CHECK(patience.silence() < 2 * least + absl::Milliseconds(50));
}

TEST_CASE("silence_afterOneLongPause_shrinksAgainWithMessagesInTime")
{
    LeaderPatience patience(least);
    patience.notePause(absl::Seconds(1));
    CHECK(patience.silence() == 4 * least);
    for (int message = 0; message < 13 * 5; ++message) {
        patience.notePause(absl::Milliseconds(75));
    }
    CHECK(patience.silence() < 2 * least + absl::Milliseconds(50));
    patience.forget();
    CHECK(patience.silence() == least);
}

} // namespace paddlepier::consensus
