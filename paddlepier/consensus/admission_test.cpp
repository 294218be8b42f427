// Where the voters of a large group are: a group of many instances in a few data centres, of which few vote.

#include "paddlepier/consensus/fakegroup.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <random>
#include <set>
#include <string>

namespace paddlepier::consensus
{

namespace
{

/** Nine instances, three in each data centre in the order in which they ask; three vote. */
class AdmissionFixture
{
public:
    static constexpr std::size_t instances = 9;
    static constexpr std::size_t voters = 3;

    static FakeGroupFaults calm(bool knowsDataCentres)
    {
        FakeGroupFaults surroundings;
        surroundings.limits.maxVoters = voters;
        surroundings.limits.voterTimeout = absl::Milliseconds(2500);
        if (knowsDataCentres) {
            surroundings.limits.dataCentreOf = [](const std::string &instance) {
                int number = 0;
                return absl::SimpleAtoi(instance.substr(1), &number) ? absl::StrCat("d", number / 3) : std::string();
            };
        }
        return surroundings;
    }

    /** Data centres of the voters, as the leader knows them. */
    static std::multiset<std::string> dataCentresOfVoters(const FakeGroup &group)
    {
        std::multiset<std::string> found;
        for (std::size_t index = 0; index < instances; ++index) {
            const Replica *replica = group.replica(index);
            if (replica != nullptr && replica->isCaughtUpLeader()) {
                for (const std::string &voter : replica->membership().voters) {
                    found.insert(calm(true).limits.dataCentreOf(instanceOf(voter)));
                }
            }
        }
        return found;
    }

    static void playFaults(FakeGroup &group, std::uint64_t seed)
    {
        constexpr int steps = 60;
        std::mt19937_64 random(seed);
        for (int step = 0; step < steps && !group.violation(); ++step) {
            const auto fault = static_cast<Fault>(random() % (static_cast<std::uint64_t>(Fault::MAX) + 1));
            group.step({fault, static_cast<std::uint32_t>(random() % 3000), static_cast<std::uint32_t>(random() % 3000)});
        }
    }

    /** The first promise that is broken by the faults of @p seed or once they are mended; "none" if all hold. */
    static std::string violationAfterFaults(std::uint64_t seed, const FakeGroupFaults &surroundings = calm(true))
    {
        FakeGroup group(instances, {}, seed, surroundings);
        playFaults(group, seed);
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

TEST_CASE_METHOD(AdmissionFixture, "votersOfALargeGroup_areInAsManyDataCentresAsThereAre")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FakeGroup group(instances, {}, seed, calm(true));
        run(group, 4);
        CHECK(dataCentresOfVoters(group) == std::multiset<std::string>{"d0", "d1", "d2"});
        CHECK(group.violation().value_or("none") == "none");
    }
}

TEST_CASE_METHOD(AdmissionFixture, "votersOfALargeGroup_whereDataCentresArentKnown_areThoseThatAskedFirst", "[red]")
{
    FakeGroup group(instances, {}, 1, calm(false));
    run(group, 4);
    const std::multiset<std::string> found = dataCentresOfVoters(group);
    REQUIRE(found.size() == voters);
    CHECK(std::set<std::string>(found.begin(), found.end()).size() < voters);
}

TEST_CASE_METHOD(AdmissionFixture, "largeGroup_underAnyFaults_losesNothingAndHasOneLeader")
{
    for (std::uint64_t seed = 100; seed < 125; ++seed) {
        INFO("seed " << seed);
        FakeGroup group(instances, {}, seed, calm(true));
        playFaults(group, seed);
        CHECK(group.violation().value_or("none") == "none");
    }
}

TEST_CASE_METHOD(AdmissionFixture, "voterRemovedUnheard_thatNeverAsks_isLeftBehind", "[red]")
{
    constexpr std::uint64_t seed = 107;
    FakeGroupFaults surroundings = calm(true);
    surroundings.removedVotersRequestAdmission = false;
    CHECK(violationAfterFaults(seed, surroundings) != "none");
}

TEST_CASE_METHOD(AdmissionFixture, "largeGroup_afterAnyFaults_isWholeAndUpToDate")
{
    for (std::uint64_t seed = 100; seed < 125; ++seed) {
        INFO("seed " << seed);
        CHECK(violationAfterFaults(seed) == "none");
    }
}

TEST_CASE_METHOD(AdmissionFixture, "largeGroup_thatLosesADiskWhileItsVotersChange_isWholeAgain")
{
    for (const std::uint64_t seed : {171, 374, 411, 479, 553, 624}) {
        INFO("seed " << seed);
        CHECK(violationAfterFaults(seed) == "none");
    }
}

TEST_CASE_METHOD(AdmissionFixture, "leaderThatLeadsAgain_hasForgottenWhoAskedBefore")
{
    constexpr std::uint64_t seed = 333;
    CHECK(violationAfterFaults(seed) == "none");
}

} // namespace paddlepier::consensus
