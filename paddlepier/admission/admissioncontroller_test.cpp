// Which jobs are refused under load, and when their callers should return.

#include "paddlepier/admission/admissionfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace paddlepier::admission
{

namespace
{

class AdmissionControllerFixture : public AdmissionFixture
{
public:
    /** Lets the time pass that must be measured, and stores @p seconds of work of the complete cell as waiting jobs of "batch". */
    void fill(std::uint32_t seconds, const std::string &team = "")
    {
        this->controller.update(this->wallMillis += 3000);
        for (std::uint32_t number = 0; number < seconds; ++number) {
            this->store("batch", spec(50, 2000), team);
        }
    }

    Refusal refusalOf(const std::string &queue, const work::JobSpecT &job, const std::string &team = "")
    {
        return this->decide(queue, job, team).refusal;
    }
};

int sumOf(const std::map<std::string, AdmissionFixture::Result> &results, int AdmissionFixture::Result::*part, const std::string &without = "none")
{
    int sum = 0;
    for (const auto &[team, result] : results) {
        sum += team == without ? 0 : result.*part;
    }
    return sum;
}

} // namespace

// Fails if overload makes the accepted jobs late instead of being refused.
TEST_CASE("burst_ofFourTimesTheCapacity_endsInTimeIfControlled")
{
    const std::vector<AdmissionFixture::Arrivals> burst{{"", 20, 3000, 11'000}};
    const auto controlled = AdmissionFixture().run(burst, true, 60'000)[""];
    const auto uncontrolled = AdmissionFixture().run(burst, false, 60'000)[""];
    CHECK(controlled.inTime >= 0.97 * controlled.accepted);
    CHECK(uncontrolled.inTime < 0.5 * uncontrolled.accepted);
    CHECK(controlled.inTime > 1.2 * uncontrolled.inTime);
}

// Fails if one team's burst makes the jobs of the others late or refused.
TEST_CASE("team_atSixTimesItsRate_costsOthersLittle")
{
    std::vector<AdmissionFixture::Arrivals> arrivals;
    for (std::uint32_t number = 0; number < AdmissionFixture::teamCount; ++number) {
        arrivals.push_back({AdmissionFixture::teamName(number), 0.24, 0, 80'000});
    }
    arrivals.push_back({"t0", 5 * 0.24, 10'000, 70'000});
    const auto controlled = AdmissionFixture().run(arrivals, true, 100'000);
    const auto uncontrolled = AdmissionFixture().run(arrivals, false, 100'000);
    const auto othersInTime = [](const auto &results) {
        return static_cast<double>(sumOf(results, &AdmissionFixture::Result::inTime, "t0")) / sumOf(results, &AdmissionFixture::Result::submitted, "t0");
    };
    CHECK(othersInTime(controlled) > 0.95);
    CHECK(othersInTime(uncontrolled) < 0.75);
    // The team still gets more than its own rate: what others leave is lent.
    CHECK(controlled.at("t0").accepted > 1.5 * 0.24 * 80);
}

// Fails if shares are reserved for teams that submit nothing.
TEST_CASE_METHOD(AdmissionControllerFixture, "unusedShare_isLentAndReturnedToTheNextTeam")
{
    this->fill(4, "t0");
    // Nineteen teams hold nothing: the share of t0 is a twentieth, but it holds 4 of the 9 s for which such a job may wait.
    CHECK(this->refusalOf("batch", spec(50, 2000), "t0") == Refusal::None);
    this->store("batch", spec(50, 2000), "t1");
    CHECK(this->refusalOf("batch", spec(50, 2000), "t0") == Refusal::TeamShare);
    CHECK(this->refusalOf("batch", spec(50, 2000), "t1") == Refusal::None);
    CHECK(this->refusalOf("batch", spec(50, 2000), "t2") == Refusal::None);
}

// Fails if shares count jobs: a team with few large jobs would crowd out one with many small ones.
TEST_CASE_METHOD(AdmissionControllerFixture, "teamShare_countsWorkInsteadOfJobs")
{
    this->fill(4, "t0");
    for (int number = 0; number < 20; ++number) {
        this->store("batch", spec(1, 1000), "t1");
    }
    CHECK(this->refusalOf("batch", spec(1, 2000), "t0") == Refusal::TeamShare);
    CHECK(this->refusalOf("batch", spec(1, 2000), "t1") == Refusal::None);
}

// Fails if a backlog of less urgent work refuses urgent jobs, or if urgent jobs are never refused.
TEST_CASE_METHOD(AdmissionControllerFixture, "urgentJob_isJudgedByUrgentWorkOnly")
{
    this->fill(20);
    CHECK(this->refusalOf("batch", spec(1, 2000)) == Refusal::Backlog);
    CHECK(this->refusalOf("urgent", spec(3, 700)) == Refusal::None);
    // Its slack is 350 + 300 ms; this is .7 s of urgent work.
    this->store("urgent", spec(100, 700));
    CHECK(this->refusalOf("urgent", spec(3, 700)) == Refusal::Backlog);
}

// Fails if the forecast ignores that urgent jobs keep arriving while a less urgent one waits.
TEST_CASE_METHOD(AdmissionControllerFixture, "forecast_withUrgentArrivals_usesTheCapacityThatTheyLeave")
{
    this->fill(6);
    CHECK(this->decide("batch", spec(1, 2000)).forecastMillis == 6000);
    for (int number = 0; number < 200; ++number) {
        // Half of the capacity for 20 s, done as soon as it is placed.
        const std::string job = this->store("urgent", spec(1, 5000));
        this->controller.update(this->wallMillis += 100);
        this->place({job, 0, 0, 0});
        this->end({job, 0, 0, 0});
    }
    CHECK(this->decide("batch", spec(1, 2000)).forecastMillis == Approx(12'000).epsilon(0.05));
    CHECK(this->refusalOf("batch", spec(1, 2000)) == Refusal::Backlog);
}

// Fails if jobs are refused that a cell without a real backlog serves in time.
TEST_CASE_METHOD(AdmissionControllerFixture, "oneCellOfWaitingDemand_refusesNothing")
{
    this->fill(0);
    this->store("batch", spec(100, 60'000));
    CHECK(this->decide("batch", spec(1, 100)).forecastMillis == 60'000);
    CHECK(this->refusalOf("batch", spec(1, 100)) == Refusal::None);
    this->store("batch", spec(1, 100));
    CHECK(this->refusalOf("batch", spec(1, 100)) == Refusal::Backlog);
}

// Fails if jobs are refused for want of capacity while capacity is free, and other jobs wait for advice or for particular workers.
TEST_CASE_METHOD(AdmissionControllerFixture, "backlog_whileCapacityIsFree_refusesNothing")
{
    this->fill(20);
    this->reserved = capacity * 3 / 4;
    CHECK(this->refusalOf("batch", spec(1, 2000)) == Refusal::None);
    this->reserved = capacity;
    CHECK(this->refusalOf("batch", spec(1, 2000)) == Refusal::Backlog);
}

// Fails if a service with tasks that never end refuses work by a drain rate that it doesn't have.
TEST_CASE_METHOD(AdmissionControllerFixture, "lastingJob_switchesControlOffUntilItEnds")
{
    this->fill(20);
    work::JobSpecT lasting = spec(1, 1000);
    lasting.steps[0]->isLasting = true;
    CHECK(this->refusalOf("batch", lasting) == Refusal::None);
    const std::string id = this->store("batch", lasting);
    CHECK(this->refusalOf("batch", spec(1, 2000)) == Refusal::None);
    work::CancelJobT cancel;
    cancel.id = id;
    this->apply(std::move(cancel));
    CHECK(this->refusalOf("batch", spec(1, 2000)) == Refusal::Backlog);
}

// Fails if a new leader refuses before it knows what more urgent queues take.
TEST_CASE_METHOD(AdmissionControllerFixture, "newLeader_acceptsUntilItHasMeasured")
{
    this->fill(20);
    AdmissionController elected(this->state, this->typicalRatios, this->wallMillis);
    const work::JobSpecT job = spec(1, 2000);
    const std::string id = "new";
    const std::string team;
    const auto decideAfter = [&](std::int64_t millis) {
        return elected.decide({id, team, *this->state.findQueue("", "/batch/"), job}, {capacity, this->reserved}, this->wallMillis + millis).refusal;
    };
    CHECK(decideAfter(0) == Refusal::None);
    CHECK(decideAfter(1999) == Refusal::None);
    CHECK(decideAfter(2000) == Refusal::Backlog);
}

// Fails if a caller is told that nothing was stored while an earlier attempt may still be committed.
TEST_CASE_METHOD(AdmissionControllerFixture, "jobWithOpenProposal_isNotRefused")
{
    this->fill(20);
    this->controller.recordProposal("open");
    CHECK(this->decide("batch", spec(1, 2000), "", "open").refusal == Refusal::None);
    this->controller.recordOutcome("open", false);
    CHECK(this->decide("batch", spec(1, 2000), "", "open").refusal == Refusal::None);
    this->controller.recordOutcome("open", true);
    CHECK(this->decide("batch", spec(1, 2000), "", "open").refusal == Refusal::Backlog);
}

// Fails if refused callers return in one wave, or before the backlog can have drained.
TEST_CASE_METHOD(AdmissionControllerFixture, "retryTimes_areSpreadOverTheDrainTime")
{
    this->fill(14);
    std::map<std::uint32_t, int> counts;
    for (int number = 0; number < 300; ++number) {
        const Decision decision = this->decide("batch", spec(1, 2000), "", absl::StrCat("id-", number));
        REQUIRE(decision.refusal == Refusal::Backlog);
        ++counts[decision.retryAfterSeconds];
    }
    // 14 s of work and 9 s of slack: 5 s until such a job is accepted, spread over 5 s more.
    CHECK(counts.begin()->first >= 5);
    CHECK(counts.rbegin()->first == 10);
    CHECK(std::all_of(counts.begin(), counts.end(), [](const auto &entry) { return entry.second < 90; }));
    CHECK(this->decide("batch", spec(1, 2000), "", "id-1").retryAfterSeconds == this->decide("batch", spec(1, 2000), "", "id-1").retryAfterSeconds);
}

} // namespace paddlepier::admission
