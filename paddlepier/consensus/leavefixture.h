// Test fixture: planned stops of members of a fake group.
//
// Thread safety: none. Used by leave_test.cpp and leaveseries_test.cpp only.

#ifndef PADDLEPIER_CONSENSUS_LEAVEFIXTURE_H
#define PADDLEPIER_CONSENSUS_LEAVEFIXTURE_H

#include "paddlepier/consensus/fakegroup.h"

#include <algorithm>
#include <string>
#include <vector>

namespace paddlepier::consensus
{

/** Longest time without a commit after a single loss: an election, and the steps of a change in progress. */
inline constexpr Duration recoveryTime = absl::Seconds(4);

/** The same where each write takes 600 ms: `recovery_s` of the platform's settings. */
inline constexpr Duration slowRecoveryTime = absl::Seconds(12);

class LeaveFixture
{
public:
    static FakeGroupFaults makeAssumptions(std::size_t voters, bool announcesLeave = true)
    {
        FakeGroupFaults assumptions;
        assumptions.limits.maxVoters = voters;
        assumptions.limits.voterTimeout = absl::Milliseconds(2500);
        assumptions.announcesLeave = announcesLeave;
        return assumptions;
    }

    /** Runs the group for a step, in which its leader proposes a command. */
    static void runStep(FakeGroup &group)
    {
        group.step({Fault::Propose, 0, 3});
    }

    /** The time of runStep(). */
    static constexpr Duration stepTime = absl::Milliseconds(40);

    static void run(FakeGroup &group, Duration duration)
    {
        for (Duration left = duration; left > absl::ZeroDuration(); left -= stepTime) {
            runStep(group);
        }
    }

    /** Members that vote, by the leader's membership. */
    static std::vector<std::size_t> votersOf(const FakeGroup &group)
    {
        std::vector<std::size_t> voters;
        for (const std::string &voter : group.replica(group.leader().value())->membership().voters) {
            voters.push_back(static_cast<std::size_t>(voter[1] - '0'));
        }
        std::sort(voters.begin(), voters.end());
        return voters;
    }

    static bool votes(const FakeGroup &group, std::size_t member)
    {
        const std::vector<std::size_t> voters = votersOf(group);
        return std::find(voters.begin(), voters.end(), member) != voters.end();
    }

    static std::size_t follower(const FakeGroup &group)
    {
        const std::vector<std::size_t> voters = votersOf(group);
        return *std::find_if(voters.begin(), voters.end(), [&group](std::size_t voter) { return voter != group.leader(); });
    }

    static void apply(FakeGroup &group, Fault fault, std::size_t member)
    {
        group.step({fault, static_cast<std::uint32_t>(member)});
    }

    /** @return how long the member took to end */
    static Duration stop(FakeGroup &group, std::size_t member)
    {
        apply(group, Fault::Leave, member);
        Duration time;
        for (; group.replica(member) != nullptr; time += stepTime) {
            runStep(group);
        }
        return time;
    }

    /** Three voters and a learner, each of whose writes takes @p syncTime. */
    static FakeGroup groupWithSlowDisks(Duration syncTime)
    {
        FakeGroupFaults assumptions = makeAssumptions(3);
        assumptions.slowSync = syncTime;
        FakeGroup group(4, {}, 7, assumptions);
        for (std::size_t member = 0; member < 4; ++member) {
            apply(group, Fault::SlowDisk, member);
        }
        return group;
    }

    /** Loses the voter that neither leads nor leaves. */
    static void loseThirdVoter(FakeGroup &group, std::size_t leaving)
    {
        const std::vector<std::size_t> voters = votersOf(group);
        const auto isOther = [&](std::size_t voter) { return voter != leaving && voter != group.leader(); };
        apply(group, Fault::Crash, *std::find_if(voters.begin(), voters.end(), isOther));
    }

    struct LossAfterLeave {
        bool leaderLeaves = false;
        /** The lost member, counted from the one that leaves. */
        std::size_t lossOffset = 1;
        Duration gap;
    };

    /** Stops a voter beside a learner, and then loses another member. @return whether the group commits again */
    static bool survives(const LossAfterLeave &scenario, bool announcesLeave = true)
    {
        FakeGroup group(4, {}, 1 + scenario.lossOffset, makeAssumptions(3, announcesLeave));
        const std::size_t leaving = scenario.leaderLeaves ? group.leader().value() : follower(group);
        const std::size_t lost = (leaving + scenario.lossOffset) % 4;
        const bool isLearnerLost = !votes(group, lost);
        stop(group, leaving);
        run(group, scenario.gap);
        apply(group, Fault::Crash, lost);
        return group.commitsWithin(recoveryTime) && (announcesLeave || !isLearnerLost);
    }
};

} // namespace paddlepier::consensus

#endif
