// Admission to a group of many instances in a few data centres, of which few vote. If those of one data centre request
// admission first, they hold a majority, which is lost together with that data centre. Replicas that are removed or
// replaced while unreachable, or that lose their disks during a change of the voters, must rejoin.

#include "paddlepier/consensus/fakegroup.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace paddlepier::consensus
{

namespace
{

/** Nine instances, three in each data centre in the order of their requests; three of them vote. */
class AdmissionFixture
{
public:
    static constexpr std::size_t instances = 9;
    static constexpr std::size_t voters = 3;

    static FakeGroupFaults makeAssumptions(bool knowsDataCentres)
    {
        FakeGroupFaults assumptions;
        assumptions.limits.maxVoters = voters;
        assumptions.limits.voterTimeout = absl::Milliseconds(2500);
        if (knowsDataCentres) {
            assumptions.limits.dataCentreOf = [](const std::string &instance) {
                int number = 0;
                return absl::SimpleAtoi(instance.substr(1), &number) ? absl::StrCat("d", number / 3) : std::string();
            };
        }
        return assumptions;
    }

    /** Data centres of the voters in the leader's membership. */
    static std::multiset<std::string> dataCentresOfVoters(const FakeGroup &group)
    {
        std::multiset<std::string> found;
        for (std::size_t index = 0; index < instances; ++index) {
            const Replica *replica = group.replica(index);
            if (replica != nullptr && replica->isCaughtUpLeader()) {
                for (const std::string &voter : replica->membership().voters) {
                    found.insert(makeAssumptions(true).limits.dataCentreOf(instanceOf(voter)));
                }
            }
        }
        return found;
    }

    static void injectFaults(FakeGroup &group, std::uint64_t seed)
    {
        constexpr int steps = 60;
        std::mt19937_64 random(seed);
        for (int step = 0; step < steps && !group.violation(); ++step) {
            const auto fault = static_cast<Fault>(random() % (static_cast<std::uint64_t>(Fault::MAX) + 1));
            group.step({fault, static_cast<std::uint32_t>(random() % 3000), static_cast<std::uint32_t>(random() % 3000)});
        }
    }

    /** The first guarantee that is violated by the faults of @p seed or after the recovery from them; "none" if all hold. */
    static std::string violationAfterFaults(std::uint64_t seed, const FakeGroupFaults &assumptions = makeAssumptions(true))
    {
        FakeGroup group(instances, {}, seed, assumptions);
        injectFaults(group, seed);
        group.recoverAndVerify();
        return group.violation().value_or("none");
    }

    static void run(FakeGroup &group, int seconds)
    {
        for (int step = 0; step < seconds; ++step) {
            group.step({Fault::Run, 990});
        }
    }
};

} // namespace

TEST_CASE_METHOD(AdmissionFixture, "largeGroup_knownDataCentres_spreadsVotersOverAll")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FakeGroup group(instances, {}, seed, makeAssumptions(true));
        run(group, 4);
        CHECK(dataCentresOfVoters(group) == std::multiset<std::string>{"d0", "d1", "d2"});
        CHECK(group.violation().value_or("none") == "none");
    }
}

TEST_CASE_METHOD(AdmissionFixture, "largeGroup_unknownDataCentres_votersAreFirstToRequest", "[red]")
{
    FakeGroup group(instances, {}, 1, makeAssumptions(false));
    run(group, 4);
    const std::multiset<std::string> found = dataCentresOfVoters(group);
    REQUIRE(found.size() == voters);
    CHECK(std::set<std::string>(found.begin(), found.end()).size() < voters);
}

TEST_CASE_METHOD(AdmissionFixture, "largeGroup_randomFaults_losesNothingAndHasOneLeader")
{
    for (std::uint64_t seed = 100; seed < 125; ++seed) {
        INFO("seed " << seed);
        FakeGroup group(instances, {}, seed, makeAssumptions(true));
        injectFaults(group, seed);
        CHECK(group.violation().value_or("none") == "none");
    }
}

TEST_CASE_METHOD(AdmissionFixture, "voterRemovedWhileUnreachable_withoutNewRequest_staysOutdated", "[red]")
{
    constexpr std::uint64_t seed = 107;
    FakeGroupFaults assumptions = makeAssumptions(true);
    assumptions.removedVotersRequestAdmission = false;
    CHECK(violationAfterFaults(seed, assumptions) != "none");
}

TEST_CASE_METHOD(AdmissionFixture, "largeGroup_afterRandomFaults_isCompleteAndUpToDate")
{
    for (std::uint64_t seed = 100; seed < 125; ++seed) {
        INFO("seed " << seed);
        CHECK(violationAfterFaults(seed) == "none");
    }
}

TEST_CASE_METHOD(AdmissionFixture, "largeGroup_diskLostDuringVoterChange_recovers")
{
    for (const std::uint64_t seed : {171, 374, 411, 479, 553, 624}) {
        INFO("seed " << seed);
        CHECK(violationAfterFaults(seed) == "none");
    }
}

// Guards against a learner that never votes under load, since each command is committed before its slower disk has stored it.
TEST_CASE_METHOD(AdmissionFixture, "learnerWithSlowDisk_underLoad_replacesLostVoter")
{
    FakeGroupFaults assumptions;
    assumptions.limits = makeAssumptions(false).limits;
    FakeGroup group(4, {}, 1, assumptions);
    const auto voters = [&group] { return group.replica(group.leader().value())->membership().voters; };
    const auto isVoter = [&](std::uint32_t member) {
        const std::vector<std::string> names = voters();
        return std::any_of(names.begin(), names.end(), [member](const std::string &voter) { return instanceOf(voter) == absl::StrCat("m", member); });
    };
    std::uint32_t learner = 0;
    std::uint32_t lost = group.leader() == 0U ? 1 : 0;
    while (isVoter(learner)) {
        ++learner;
    }
    while (!isVoter(lost) || group.leader() == lost) {
        ++lost;
    }
    group.step({Fault::SlowDisk, learner});
    group.step({Fault::Crash, lost});
    for (int step = 0; step < 150 && !isVoter(learner); ++step) {
        group.step({Fault::Propose, 0, 3});
    }
    CHECK(isVoter(learner));
}

TEST_CASE_METHOD(AdmissionFixture, "leader_reelected_discardsEarlierAdmissionRequests")
{
    constexpr std::uint64_t seed = 333;
    CHECK(violationAfterFaults(seed) == "none");
}

} // namespace paddlepier::consensus
