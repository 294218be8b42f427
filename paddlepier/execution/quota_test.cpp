// Teams at their quotas, from the plan to the workers.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

class QuotaFixture : public DispatcherFixture
{
public:
    void setQuota(std::uint64_t milliProcessors)
    {
        work::ChangeConfigurationT configuration = this->state.configuration();
        configuration.version = this->state.configuration().version + 1;
        configuration.teams.clear();
        for (const char *name : {"red", "blue"}) {
            auto &team = configuration.teams.emplace_back(std::make_unique<work::TeamSpecT>());
            team->name = name;
            team->quota = std::make_unique<work::Quota>(std::string(name) == "red" ? milliProcessors : 0, 0, 0);
        }
        this->apply(std::move(configuration));
        if (this->dispatcher) {
            this->dispatcher->markChanged();
        }
    }

    void addJobOf(const std::string &team, const std::string &id, std::uint32_t tasks, std::uint32_t millis, bool isGang = false)
    {
        work::SubmitJobT command;
        command.id = id;
        command.queue = this->queueOfJobs;
        command.team = team;
        command.spec = std::make_unique<work::JobSpecT>();
        auto &step = command.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = tasks;
        step->estimatedMillis = millis;
        step->isGang = isGang;
        step->demand = std::make_unique<work::Demand>(1000, 100, 0);
        this->apply(std::move(command));
        this->dispatcher->markChanged();
    }

    /** Number of runs, over all workers, of jobs whose ids begin with @p prefix. */
    std::size_t runsOf(const std::string &prefix)
    {
        std::size_t found = 0;
        for (const auto &[id, worker] : this->workers.workers) {
            found += static_cast<std::size_t>(
                std::count_if(worker.runs.begin(), worker.runs.end(), [&prefix](const auto &run) { return run.first.job.starts_with(prefix); }));
        }
        return found;
    }

    void begin()
    {
        this->addWorker("w1");
        this->addWorker("w2");
        this->electLeader();
        this->runFor(absl::Seconds(1));
    }
};

} // namespace

TEST_CASE_METHOD(QuotaFixture, "teamAtItsQuota_waitsForItsOwnRuns_andOthersDont")
{
    this->setQuota(2000);
    this->begin();
    this->onStep = [this] { CHECK(this->runsOf("red") <= 2); };
    this->addJobOf("red", "red-1", 6, 1000);
    this->addJobOf("blue", "blue-1", 6, 1000);
    REQUIRE(this->runUntil([this] { return this->isCompleted("blue-1"); }, absl::Seconds(3)));
    CHECK_FALSE(this->isCompleted("red-1"));
    CHECK(this->runUntil([this] { return this->isCompleted("red-1"); }, absl::Seconds(6)));
}

TEST_CASE_METHOD(QuotaFixture, "gangBeyondItsTeamsQuota_waitsCompletelyAndReportsWhy")
{
    this->setQuota(3000);
    this->begin();
    this->addJobOf("red", "red-gang", 4, 500, true);
    this->runFor(absl::Seconds(14));
    CHECK(this->runsOf("red") == 0);
    CHECK(this->dispatcher->longWaitReason("red-gang") == "step red-gang.0.0 waits: team-at-quota");
    this->setQuota(4000);
    CHECK(this->runUntil([this] { return this->isCompleted("red-gang"); }, absl::Seconds(3)));
}

TEST_CASE_METHOD(QuotaFixture, "quotaLowered_beforeStartsAreConfirmed_cancelsThem")
{
    this->setQuota(8000);
    this->begin();
    this->networkFaults.requestLossPercent = 100;
    this->addJobOf("red", "red-1", 6, 60'000);
    REQUIRE(this->runUntil([this] { return this->state.teams().usageOf("red").milliProcessors() == 6000; }, absl::Seconds(1)));
    this->setQuota(2000);
    this->networkFaults.requestLossPercent = 0;
    this->runFor(absl::Seconds(20));
    CHECK(this->runsOf("red") == 2);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(QuotaFixture, "quotaLowered_belowTheRunningTasks_stopsNothingAndStartsNothing")
{
    this->setQuota(8000);
    this->begin();
    this->addJobOf("red", "red-1", 4, 4000);
    REQUIRE(this->runUntil([this] { return this->runsOf("red") == 4; }, absl::Seconds(1)));
    this->setQuota(1000);
    this->addJobOf("red", "red-2", 2, 500);
    this->runFor(absl::Seconds(2));
    CHECK(this->runsOf("red-1") == 4);
    CHECK(this->runsOf("red-2") == 0);
    CHECK(this->runUntil([this] { return this->isCompleted("red-1") && this->isCompleted("red-2"); }, absl::Seconds(10)));
}

TEST_CASE_METHOD(QuotaFixture, "changingQuotas_whileOrdersAreLostAndLeadersChange_areRespected")
{
    this->setQuota(4000);
    for (int number = 0; number < 4; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->electLeader();
    this->networkFaults.requestLossPercent = 10;
    this->networkFaults.answerLossPercent = 10;
    std::size_t maxRuns = 4;
    this->onStep = [this, &maxRuns] { CHECK(this->runsOf("red") <= maxRuns); };
    for (int round = 0; round < 30; ++round) {
        this->addJobOf("red", absl::StrCat("red-", round), 1 + this->random() % 5, 200 + this->random() % 1500, round % 4 == 0);
        if (round % 10 == 9) {
            this->electLeader();
        }
        // A raised quota holds from then on; a lowered one holds once enough runs have ended.
        const std::size_t quota = 4 + this->random() % 4;
        maxRuns = std::max(maxRuns, quota);
        this->setQuota(1000 * quota);
        this->runFor(absl::Milliseconds(400));
    }
    this->networkFaults = {};
    for (int round = 0; round < 30; ++round) {
        CHECK(this->runUntil([&] { return this->isCompleted(absl::StrCat("red-", round)); }));
    }
    CHECK(this->workers.violations.empty());
}

} // namespace paddlepier::execution
