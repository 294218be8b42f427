// Stateful fuzzing of the consensus core against a simple oracle, with all guards and with each guard disabled.

#include "paddlepier/consensus/fakegroup.h"
#include "testing/property.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace paddlepier::consensus;

namespace
{

/** Maximum number of scenarios in which a disabled guard must lead to a detected violation. */
constexpr std::uint64_t maxMutantScenarios = 1500;

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

/** True if a guarantee is violated in any of the random scenarios. */
bool findsViolation(ReplicaGuards guards, const FakeGroupFaults &faults = {})
{
    for (std::uint64_t seed = 1; seed <= maxMutantScenarios; ++seed) {
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

TEST_CASE("group_randomFaults_losesNothingAndHasOneLeader", "[proof][fuzz]")
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

TEST_CASE("group_acknowledgingBeforeSync_isDetected", "[proof][red]")
{
    ReplicaGuards guards;
    guards.syncBeforeAcknowledge = false;
    REQUIRE(findsViolation(guards));
}

TEST_CASE("group_withoutStickyVotes_isDetected", "[proof][red]")
{
    ReplicaGuards guards;
    guards.stickyVotes = false;
    REQUIRE(findsViolation(guards));
}

namespace
{

/** Cuts the leader off while both others restart: its lease is still valid when they could elect another leader. */
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

TEST_CASE("group_restartWhileLeaderIsCutOff_hasOneLease", "[proof][fuzz]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const std::optional<std::string> violation = restartBesideCutLeader({}, seed);
        INFO("seed " << seed << ": " << violation.value_or(""));
        CHECK_FALSE(violation);
    }
}

TEST_CASE("group_restartElectionByMajority_isDetected", "[proof][red]")
{
    ReplicaGuards guards;
    guards.unanimousRestart = false;
    REQUIRE(restartBesideCutLeader(guards, 1).has_value());
}

TEST_CASE("group_allRestartedAtOnce_electsWithoutWaitingForPromisesToExpire", "[proof][fuzz]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeGroup group(3, {}, seed);
        for (std::uint32_t member = 0; member < 3; ++member) {
            group.step({Fault::Crash, member, 0});
        }
        for (std::uint32_t member = 0; member < 3; ++member) {
            group.step({Fault::Restart, member, 0});
        }
        // Well below the minimum time after which a voter's promise expires.
        group.step({Fault::Run, 390, 0});
        INFO("seed " << seed);
        CHECK((group.replica(0)->isLeader() || group.replica(1)->isLeader() || group.replica(2)->isLeader()));
    }
}

TEST_CASE("group_lostDiskWithOldIdentity_isDetected", "[proof][red]")
{
    FakeGroupFaults faults;
    faults.keepIdentity = true;
    REQUIRE(findsViolation({}, faults));
}

// If its clock doesn't count the time of a suspension, a resumed leader takes its lease for valid while the next leader holds one.
TEST_CASE("group_clocksStoppedBySuspension_isDetected", "[proof][red]")
{
    FakeGroupFaults faults;
    faults.clocksStopWhileFrozen = true;
    REQUIRE(findsViolation({}, faults));
}

namespace
{

/** Three times in a row, a member loses its disk while all others lose power right after a proposal; then all of them return. */
std::optional<std::string> loseDisksAndPower(std::uint64_t seed, const FakeGroupFaults &faults)
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
        const std::optional<std::string> violation = loseDisksAndPower(seed, {});
        INFO("seed " << seed << ": " << violation.value_or(""));
        REQUIRE_FALSE(violation);
    }
}

TEST_CASE("group_diskLostWhileAllOthersLosePowerWithOldIdentity_isDetected", "[proof][red]")
{
    FakeGroupFaults faults;
    faults.keepIdentity = true;
    bool isCaught = false;
    for (std::uint64_t seed = 1; seed <= maxMutantScenarios && !isCaught; ++seed) {
        isCaught = loseDisksAndPower(seed, faults).has_value();
    }
    REQUIRE(isCaught);
}

namespace
{

/** Terms before and after the return of a follower that was cut off for a long time. */
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

TEST_CASE("group_followerReturnsAfterLongCut_keepsLeader", "[proof][fuzz]")
{
    const auto [before, after] = termsAroundReturn({});
    REQUIRE(after == before);
}

TEST_CASE("group_followerReturnsWithoutPreVote_deposesLeader", "[proof][red]")
{
    ReplicaGuards guards;
    guards.preVote = false;
    const auto [before, after] = termsAroundReturn(guards);
    REQUIRE(after > before);
}
