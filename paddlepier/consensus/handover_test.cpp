// Transfer of leadership while commands are proposed and one voter is down.
//
// Guards against a hand-over that fails since the next leader lacks entries which its predecessor has only just proposed: without the third voter it
// needs that one's vote, and doesn't get it.

#include "paddlepier/consensus/fakegroup.h"

#include <catch2/catch.hpp>

#include <optional>

namespace paddlepier::consensus
{

namespace
{

class HandOverFixture
{
public:
    /** @return the time until another member than @p before leads; no value if none does within 4 s */
    static std::optional<Duration> timeToNextLeader(FakeGroup &group, std::size_t before)
    {
        constexpr Duration step = absl::Milliseconds(20);
        for (Duration time; time < absl::Seconds(4); time += step) {
            if (group.leader().value_or(before) != before) {
                return time;
            }
            group.step({Fault::Run});
        }
        return std::nullopt;
    }
};

} // namespace

TEST_CASE_METHOD(HandOverFixture, "handOver_withUnsentEntriesAndOneVoterDown_needsNoElectionTimeout")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        FakeGroup group(3, {}, seed);
        const std::size_t leader = group.leader().value();
        group.step({Fault::Crash, static_cast<std::uint32_t>((leader + 1) % 3)});
        group.step({Fault::Run, 500});
        group.step({Fault::ProposeAndHandOver, static_cast<std::uint32_t>(leader)});
        const std::optional<Duration> time = timeToNextLeader(group, leader);
        REQUIRE(time);
        CHECK(*time < ReplicaSettings().electionTimeout);
    }
}

} // namespace paddlepier::consensus
