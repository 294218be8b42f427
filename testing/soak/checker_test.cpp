// The soak's checker must report each kind of violation, and nothing for a correct history. Otherwise the soak would pass over
// real faults, or fail without one.

#include "platform/codec.h"
#include "testing/soak/checker.h"
#include "testing/soak/plan.h"

#include <absl/strings/match.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace paddlepier::testing::soak
{

namespace
{

using work::RunEndKind;

constexpr const char *job = "00000000000000aa";
constexpr const char *twoSteps = R"({"task_spec":"x","steps":[{"count":1,"cpu":100,"requested_memory_mb":1,"estimated_ms":9},)"
                                 R"({"count":1,"cpu":100,"requested_memory_mb":1,"estimated_ms":9,"after":[0]}]})";
constexpr const char *lasting = R"({"task_spec":"x","steps":[{"count":1,"cpu":100,"requested_memory_mb":1,"estimated_ms":9,"long_running":true}]})";

class CheckerFixture
{
public:
    Reply reply(int status, const std::string &body = "")
    {
        this->now += absl::Milliseconds(10);
        return {status == 0 ? Ending::TimedOut : Ending::Answered, status, body, this->now - absl::Milliseconds(5), this->now};
    }

    void submit(const std::string &body, int status)
    {
        this->checker.submitSent(job, platform::decodeJob(body));
        this->checker.submitEnded(job, this->reply(status));
    }

    void see(execution::FakeWorkers::EventKind kind, std::uint32_t step, std::uint32_t run, RunEndKind end = RunEndKind::Done)
    {
        this->now += absl::Milliseconds(10);
        this->checker.recordEvent({kind, "w", workload::TaskKey(job, 0, step, 0), run, end}, this->now);
    }

    void start(std::uint32_t step, std::uint32_t run)
    {
        this->see(Checker::EventKind::Started, step, run);
    }

    void end(std::uint32_t step, std::uint32_t run, RunEndKind kind, bool isAcknowledged = true)
    {
        this->see(Checker::EventKind::Ended, step, run, kind);
        if (isAcknowledged) {
            this->see(Checker::EventKind::Acknowledged, step, run, kind);
        }
    }

    void show(const std::string &state)
    {
        this->checker.stateEnded(job, this->reply(200, R"({"state":")" + state + "\"}"));
    }

    void change(std::uint64_t version, int status)
    {
        this->checker.configurationSent(version, bodyOf(version));
        this->checker.configurationEnded(version, this->reply(status));
    }

    static std::string bodyOf(std::uint64_t version)
    {
        return R"({"version":)" + std::to_string(version) + "}";
    }

    bool isClean()
    {
        return this->checker.violations().empty();
    }

    bool hasFound(const std::string &rule)
    {
        const std::vector<std::string> found = this->checker.violations();
        return found.size() == 1 && absl::StartsWith(found[0], rule);
    }

    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    Checker checker;
};

} // namespace

TEST_CASE_METHOD(CheckerFixture, "checker_correctHistory_reportsNothing")
{
    this->submit(twoSteps, 504);
    this->submit(twoSteps, 200);
    this->start(0, 1);
    this->end(0, 1, RunEndKind::Failed);
    this->start(0, 2);
    this->end(0, 2, RunEndKind::Done, false);
    this->start(0, 3);
    this->end(0, 3, RunEndKind::Done);
    this->start(1, 1);
    CHECK_FALSE(this->checker.unsettled().empty());
    this->end(1, 1, RunEndKind::Done);
    this->show("completed");
    this->change(3, 200);
    this->checker.configurationRead(this->reply(200, bodyOf(3)));
    CHECK(this->isClean());
    CHECK(this->checker.unsettled().empty());
}

TEST_CASE_METHOD(CheckerFixture, "checker_startBeforePredecessorIsDone_reportsOrder")
{
    this->submit(twoSteps, 200);
    this->start(0, 1);
    this->start(1, 1);
    CHECK(this->hasFound("ORDER"));
}

TEST_CASE_METHOD(CheckerFixture, "checker_startAfterAcknowledgedDoneEnd_reportsTwice")
{
    this->submit(twoSteps, 200);
    this->start(0, 1);
    this->end(0, 1, RunEndKind::Done, false);
    this->start(0, 2);
    CHECK(this->isClean());
    this->see(Checker::EventKind::Acknowledged, 0, 1);
    CHECK(this->hasFound("TWICE"));
}

TEST_CASE_METHOD(CheckerFixture, "checker_startAfterLastAttempt_reportsBudget")
{
    this->submit(twoSteps, 200);
    for (std::uint32_t run = 1; run <= attemptsPerTask; ++run) {
        this->start(0, run);
        this->end(0, run, RunEndKind::Failed);
    }
    this->show("failed");
    CHECK(this->isClean());
    this->start(0, attemptsPerTask + 1);
    CHECK(this->hasFound("BUDGET"));
}

TEST_CASE_METHOD(CheckerFixture, "checker_startOfRejectedJob_reportsRefusedAfterAnswer")
{
    this->checker.submitSent(job, platform::decodeJob(twoSteps));
    this->start(0, 1);
    CHECK(this->isClean());
    this->checker.submitEnded(job, this->reply(503));
    CHECK(this->hasFound("REFUSED"));
}

TEST_CASE_METHOD(CheckerFixture, "checker_taskOfUnknownJob_reportsUnasked")
{
    this->checker.stepOf(workload::TaskKey(job, 0, 0, 0));
    CHECK(this->hasFound("UNASKED"));
}

TEST_CASE_METHOD(CheckerFixture, "checker_acceptedJobNotFound_reportsLost")
{
    this->submit(twoSteps, 200);
    this->checker.stateEnded(job, this->reply(410));
    CHECK(this->hasFound("LOST"));
}

TEST_CASE_METHOD(CheckerFixture, "checker_stateWithoutCause_isReported")
{
    this->submit(twoSteps, 200);
    SECTION("completed while a step isn't done")
    {
        this->start(0, 1);
        this->end(0, 1, RunEndKind::Done);
        this->show("completed");
        CHECK(this->hasFound("MIXED"));
    }
    SECTION("failed after fewer attempts")
    {
        this->start(0, 1);
        this->end(0, 1, RunEndKind::Failed);
        this->show("failed");
        CHECK(this->hasFound("LOST"));
    }
    SECTION("cancelled without a request")
    {
        this->show("cancelled");
        CHECK(this->hasFound("LOST"));
    }
}

TEST_CASE_METHOD(CheckerFixture, "checker_lastingTaskNotRunning_isUnsettled")
{
    this->submit(lasting, 200);
    this->start(0, 1);
    this->show("running");
    CHECK(this->checker.unsettled().empty());
    this->end(0, 1, RunEndKind::Expired);
    CHECK(this->checker.unsettled().size() == 1);
}

TEST_CASE_METHOD(CheckerFixture, "checker_taskRunningAfterCancellation_isUnsettled")
{
    this->submit(lasting, 200);
    this->start(0, 1);
    this->checker.cancelSent(job);
    this->checker.cancelEnded(job, this->reply(200));
    this->show("cancelled");
    CHECK(this->checker.unsettled().size() == 1);
    this->end(0, 1, RunEndKind::Stopped);
    CHECK(this->checker.unsettled().empty());
}

TEST_CASE_METHOD(CheckerFixture, "checker_wrongConfigurationAnswer_isReported")
{
    this->change(3, 200);
    this->change(7, 200);
    SECTION("an older version")
    {
        this->checker.configurationRead(this->reply(200, bodyOf(3)));
        CHECK(this->hasFound("CONFIG"));
    }
    SECTION("other content")
    {
        this->checker.configurationRead(this->reply(200, R"({"version":7,"routes":[]})"));
        CHECK(this->hasFound("CONFIG"));
    }
    SECTION("a valid one rejected")
    {
        this->change(9, 409);
        CHECK(this->hasFound("CONFIG"));
    }
    SECTION("an invalid one acknowledged")
    {
        this->checker.configurationEnded(0, this->reply(200));
        CHECK(this->hasFound("CONFIG"));
    }
}

TEST_CASE_METHOD(CheckerFixture, "checker_callCutByPlannedStop_reportsLostOnlyWithoutFaults")
{
    const Timestamp sent = this->now;
    const Reply cut{Ending::Broken, 0, "", sent, sent + absl::Milliseconds(400)};
    const Reply immediate{Ending::Broken, 0, "", sent, sent + absl::Milliseconds(100)};
    this->checker.callEnded(cut, absl::InfiniteFuture());
    this->checker.callEnded(immediate, sent);
    CHECK(this->isClean());
    SECTION("without faults")
    {
        this->checker.callEnded(cut, sent);
        CHECK(this->hasFound("LOST"));
    }
    SECTION("during faults")
    {
        this->checker.markFaultsStarted();
        this->checker.callEnded(cut, sent);
        CHECK(this->isClean());
    }
}

TEST_CASE("plan_sameSeed_isIdentical")
{
    CHECK(planFaults(7, {}) == planFaults(7, {}));
    CHECK_FALSE(planFaults(7, {}) == planFaults(8, {}));
}

TEST_CASE_METHOD(CheckerFixture, "checker_jobFailedAfterOneLostWorker_reportsLost")
{
    this->submit(twoSteps, 200);
    this->start(0, 1);
    this->end(0, 1, RunEndKind::WorkerLost);
    this->show("failed");
    CHECK(this->hasFound("LOST"));
}

TEST_CASE_METHOD(CheckerFixture, "checker_jobFailedAfterTwoLostWorkers_reportsNothing")
{
    this->submit(twoSteps, 200);
    for (std::uint32_t run = 1; run <= 2; ++run) {
        this->start(0, run);
        this->end(0, run, RunEndKind::WorkerLost);
    }
    this->show("failed");
    CHECK(this->isClean());
}

TEST_CASE("plan_recordedSeed_isUnchangedExceptCapacityReductions")
{
    std::vector<Fault> faults = planFaults(23, {});
    CHECK(std::any_of(faults.begin(), faults.end(), [](const Fault &fault) { return fault.kind == FaultKind::ReduceCapacity; }));
    std::erase_if(faults, [](const Fault &fault) { return fault.kind == FaultKind::ReduceCapacity; });
    CHECK(faults.size() == 82);
    CHECK(planSeries(23, {}).empty());
}

TEST_CASE("plan_seedWithSeries_containsThePlanWithoutSeries")
{
    const std::vector<Fault> all = planFaults(firstSeriesSeed + 23, {});
    for (const Fault &fault : planFaults(23, {})) {
        CHECK(std::find(all.begin(), all.end(), fault) != all.end());
    }
    const auto breaksCoreLinks = [](const Fault &fault) { return fault.kind == FaultKind::BreakCoreLinks; };
    CHECK(std::any_of(all.begin(), all.end(), breaksCoreLinks));
}

TEST_CASE("series_ofSeed_stopsEveryEntryAndBreaksCoreLinksRepeatedly")
{
    const Sizes sizes{3, 5, 12, absl::Seconds(12)};
    const std::vector<Fault> series = planSeries(firstSeriesSeed + 7, sizes);
    CHECK(series == planSeries(firstSeriesSeed + 7, sizes));
    CHECK(std::is_sorted(series.begin(), series.end(), [](const Fault &left, const Fault &right) { return left.at < right.at; }));
    std::map<FaultKind, std::map<std::uint32_t, int>> counts;
    for (const Fault &fault : series) {
        ++counts[fault.kind][fault.target];
    }
    CHECK(counts.size() == 2);
    CHECK(counts[FaultKind::StopEntry].size() == sizes.entries);
    CHECK(counts[FaultKind::BreakCoreLinks][0] >= 25);
}

TEST_CASE("soakPlan_withReplacements_losesOneOtherCoreCloseBehindEach")
{
    const Sizes sizes{coresForReplacements, 3, 12, absl::Seconds(8)};
    const std::vector<Fault> replacements = planReplacements(firstReplacementSeed + 1, sizes);
    CHECK(replacements == planReplacements(firstReplacementSeed + 1, sizes));
    CHECK(planReplacements(23, sizes).empty());
    REQUIRE(replacements.size() % 2 == 0);
    for (std::size_t index = 0; index < replacements.size(); index += 2) {
        CHECK(replacements[index].kind == FaultKind::ReplaceCore);
        CHECK(replacements[index + 1].kind == FaultKind::LoseDisk);
        CHECK(replacements[index].target != replacements[index + 1].target);
        CHECK(replacements[index + 1].at - replacements[index].at <= absl::Seconds(3));
    }
}

} // namespace paddlepier::testing::soak
