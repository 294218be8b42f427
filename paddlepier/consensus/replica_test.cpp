// Stateful fuzzing of the consensus core against a simple oracle, and the same with each guard off.

#include "paddlepier/consensus/fakegroup.h"
#include "testing/property.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace paddlepier::consensus;

namespace
{

/** Scenarios tried with a guard off before the test gives up finding its fault. */
constexpr std::uint64_t mutantScenarios = 1500;

std::vector<FaultStep> randomSteps(std::mt19937_64 &random, std::size_t count)
{
    std::vector<FaultStep> steps;
    for (std::size_t step = 0; step < count; ++step) {
        const auto fault = static_cast<Fault>(random() % (static_cast<std::uint64_t>(Fault::MAX) + 1));
        steps.push_back({fault, static_cast<std::uint32_t>(random()), static_cast<std::uint32_t>(random())});
    }
    return steps;
}

std::optional<std::string>
runScenario(std::size_t size, const std::vector<FaultStep> &steps, ReplicaGuards guards, std::uint64_t seed, const FakeGroupFaults &faults = {})
{
    FakeGroup group(size, guards, seed, faults);
    for (const FaultStep &step : steps) {
        group.step(step);
    }
    group.recoverAndVerify();
    return group.violation();
}

/** True if some random scenario breaks a promise. */
bool isBroken(ReplicaGuards guards, const FakeGroupFaults &faults = {})
{
    for (std::uint64_t seed = 1; seed <= mutantScenarios; ++seed) {
        std::mt19937_64 random(seed);
        if (runScenario(3, randomSteps(random, 40), guards, seed, faults)) {
            return true;
        }
    }
    return false;
}

} // namespace

namespace rc
{

template<>
struct Arbitrary<FaultStep> {
    static Gen<FaultStep> arbitrary()
    {
        const auto fault = gen::map(gen::inRange(0, static_cast<int>(Fault::MAX) + 1), [](int number) { return static_cast<Fault>(number); });
        return gen::build<FaultStep>(gen::set(&FaultStep::fault, fault),
                                     gen::set(&FaultStep::first, gen::inRange<std::uint32_t>(0, 3000)),
                                     gen::set(&FaultStep::second, gen::inRange<std::uint32_t>(0, 3000)));
    }
};

} // namespace rc

std::ostream &operator<<(std::ostream &out, const FaultStep &step)
{
    return out << "{" << static_cast<int>(step.fault) << "," << step.first << "," << step.second << "}";
}

TEST_CASE("group_anyFaults_losesNothingAndHasOneLeader", "[proof][fuzz]")
{
    const bool held = rc::check("three replicas under any faults", [](const std::vector<FaultStep> &steps, std::uint64_t seed) {
        const std::optional<std::string> violation = runScenario(3, steps, {}, seed);
        if (violation) {
            RC_FAIL(*violation);
        }
    });
    REQUIRE(held);
}

TEST_CASE("group_longRandomRuns_losesNothing", "[proof][fuzz]")
{
    for (std::uint64_t seed = 1; seed <= paddlepier::testing::scenarios(250); ++seed) {
        std::mt19937_64 random(seed + paddlepier::testing::seedBase());
        const std::size_t size = seed % 5 == 0 ? 5 : 3;
        const std::optional<std::string> violation = runScenario(size, randomSteps(random, 60), {}, seed);
        INFO("seed " << seed << ": " << violation.value_or(""));
        REQUIRE_FALSE(violation);
    }
}

TEST_CASE("group_acknowledgingBeforeSync_isCaught", "[proof][red]")
{
    ReplicaGuards guards;
    guards.syncBeforeAcknowledge = false;
    REQUIRE(isBroken(guards));
}

TEST_CASE("group_withoutStickyVotes_isCaught", "[proof][red]")
{
    ReplicaGuards guards;
    guards.stickyVotes = false;
    REQUIRE(isBroken(guards));
}

namespace
{

/** The leader is cut off while both others restart: its lease still runs when they could elect another. */
std::optional<std::string> restartBesideCutLeader(ReplicaGuards guards, std::uint64_t seed)
{
    FakeGroup group(3, guards, seed);
    std::uint32_t leader = 0;
    while (!group.replica(leader)->isLeader()) {
        ++leader;
    }
    for (std::uint32_t other = 0; other < 3; ++other) {
        group.step({Fault::Cut, leader, other});
    }
    for (const std::uint32_t other : {(leader + 1) % 3, (leader + 2) % 3}) {
        group.step({Fault::Crash, other, 0});
        group.step({Fault::Restart, other, 0});
    }
    group.step({Fault::Run, 390, 0});
    group.recoverAndVerify();
    return group.violation();
}

} // namespace

TEST_CASE("group_restartBesideCutLeader_hasOneLease", "[proof][fuzz]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const std::optional<std::string> violation = restartBesideCutLeader({}, seed);
        INFO("seed " << seed << ": " << violation.value_or(""));
        CHECK_FALSE(violation);
    }
}

TEST_CASE("group_restartTrustingAMajority_isCaught", "[proof][red]")
{
    ReplicaGuards guards;
    guards.unanimousRestart = false;
    REQUIRE(restartBesideCutLeader(guards, 1).has_value());
}

TEST_CASE("group_allRestartedAtOnce_electsWithoutWaitingForOldPromises", "[proof][fuzz]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeGroup group(3, {}, seed);
        for (std::uint32_t member = 0; member < 3; ++member) {
            group.step({Fault::Crash, member, 0});
        }
        for (std::uint32_t member = 0; member < 3; ++member) {
            group.step({Fault::Restart, member, 0});
        }
        // Well below the shortest time after which a voter forgets its promise.
        group.step({Fault::Run, 390, 0});
        INFO("seed " << seed);
        CHECK((group.replica(0)->isLeader() || group.replica(1)->isLeader() || group.replica(2)->isLeader()));
    }
}

TEST_CASE("group_lostDiskUnderOldName_isCaught", "[proof][red]")
{
    FakeGroupFaults faults;
    faults.keepIdentity = true;
    REQUIRE(isBroken({}, faults));
}

// A suspended leader whose clock doesn't count the suspension takes its lease for valid beside the next leader's.
TEST_CASE("group_onClocksThatMissSuspensions_isCaught", "[proof][red]")
{
    FakeGroupFaults faults;
    faults.clocksStopWhileFrozen = true;
    REQUIRE(isBroken({}, faults));
}

namespace
{

/** Three times: a member loses its disk while all others lose power, right after something was proposed; all come back. */
std::optional<std::string> disksAndPowerLost(std::uint64_t seed, const FakeGroupFaults &faults)
{
    FakeGroup group(seed % 4 == 0 ? 5 : 3, {}, seed, faults);
    for (std::uint32_t loss = 0; loss < 3; ++loss) {
        const auto member = static_cast<std::uint32_t>(seed + loss);
        group.step({Fault::SlowDisk, member, 0});
        group.step({Fault::Propose, 0, static_cast<std::uint32_t>(seed % 4)});
        group.step({Fault::LoseDiskAndPower, member + 1, 0});
        for (std::uint32_t other = 0; other < 5; ++other) {
            group.step({Fault::Restart, member + other, 0});
        }
        group.step({Fault::SlowDisk, member, 0});
        for (int second = 0; second < 5; ++second) {
            group.step({Fault::Run, 1490, 0});
        }
    }
    group.recoverAndVerify();
    return group.violation();
}

} // namespace

TEST_CASE("group_diskLostWhileAllOthersLosePower_losesNothing", "[proof][fuzz]")
{
    for (std::uint64_t seed = 1; seed <= paddlepier::testing::scenarios(120); ++seed) {
        const std::optional<std::string> violation = disksAndPowerLost(seed, {});
        INFO("seed " << seed << ": " << violation.value_or(""));
        REQUIRE_FALSE(violation);
    }
}

TEST_CASE("group_diskLostWhileAllOthersLosePower_underTheOldName_isCaught", "[proof][red]")
{
    FakeGroupFaults faults;
    faults.keepIdentity = true;
    bool isCaught = false;
    for (std::uint64_t seed = 1; seed <= mutantScenarios && !isCaught; ++seed) {
        isCaught = disksAndPowerLost(seed, faults).has_value();
    }
    REQUIRE(isCaught);
}

namespace
{

/** Terms before and after a follower that was cut off for long comes back. */
std::pair<Term, Term> termsAroundReturn(ReplicaGuards guards)
{
    FakeGroup group(3, guards, 7);
    std::uint32_t follower = 0;
    while (group.replica(follower)->isLeader()) {
        ++follower;
    }
    const Term before = group.replica((follower + 1) % 3)->currentTerm();
    for (std::uint32_t other = 0; other < 3; ++other) {
        group.step({Fault::Cut, follower, other});
    }
    for (int round = 0; round < 6; ++round) {
        group.step({Fault::Run, 1490, 0});
    }
    group.step({Fault::Heal, 0, 0});
    group.recoverAndVerify();
    return {before, group.replica(follower)->currentTerm()};
}

} // namespace

TEST_CASE("group_followerBackAfterLongCut_keepsLeaderInOffice", "[proof][fuzz]")
{
    const auto [before, after] = termsAroundReturn({});
    REQUIRE(after == before);
}

TEST_CASE("group_followerBackWithoutPreVote_unseatsLeader", "[proof][red]")
{
    ReplicaGuards guards;
    guards.preVote = false;
    const auto [before, after] = termsAroundReturn(guards);
    REQUIRE(after > before);
}
