// The dispatcher with workers that lose orders, execute them late, are cut off and return, through changes of leaders, in virtual time.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace paddlepier::execution
{

namespace
{

class CopiesFixture : public DispatcherFixture
{
public:
    /** Starts job `a` on `w1`; then `w2` and `w3` join. */
    void startOnFirstWorker(std::uint32_t tasks, std::uint32_t millis, bool mayRunCopies = true)
    {
        this->addWorker("w1");
        this->electLeader();
        this->addJob("a", tasks, millis, 1, mayRunCopies);
        REQUIRE(this->runUntil([this, tasks] { return this->workers.workers["w1"].runs.size() == tasks; }, absl::Seconds(1)));
        this->addWorker("w2");
        this->addWorker("w3");
        this->dispatcher->markChanged();
        this->runFor(absl::Milliseconds(200));
    }
};

} // namespace

TEST_CASE_METHOD(DispatcherFixture, "job_onHealthyWorkers_completesStepByStep")
{
    this->addWorker("w1");
    this->addWorker("w2");
    this->electLeader();
    this->addJob("a", 12, 300, 2);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }));
    CHECK(this->workers.violations.empty());
    CHECK(this->workers.starts == 24);
}

TEST_CASE_METHOD(DispatcherFixture, "startWithoutAnswer_executedLate_runsOnce")
{
    this->addWorker("w1");
    this->addWorker("w2");
    this->electLeader();
    this->networkFaults.delayPercent = 60;
    this->addJob("a", 8, 400);
    this->runFor(absl::Seconds(4));
    this->networkFaults.delayPercent = 0;
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "workerCutOff_untilItsLeaseExpires_keepsItsTasks")
{
    this->addWorker("w1");
    this->electLeader();
    this->addJob("a", 2, 60'000);
    this->runFor(absl::Seconds(1));
    REQUIRE(this->workers.workers["w1"].runs.size() == 2);
    this->workers.workers["w1"].isCut = true;
    this->addWorker("w2");
    this->dispatcher->markChanged();
    this->runFor(absl::Seconds(8));
    CHECK(this->workers.workers["w2"].runs.empty());
    CHECK(this->runUntil([this] { return this->workers.workers["w2"].runs.size() == 2; }));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "newLeader_withRunsUnderWay_adoptsThem")
{
    this->addWorker("w1");
    this->electLeader();
    this->addJob("a", 3, 3000);
    this->runFor(absl::Seconds(1));
    this->dispatcher.reset();
    this->runFor(absl::Seconds(1));
    this->electLeader();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }));
    CHECK(this->workers.starts == 3);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "workerThatFailsAllRuns_doesNotExhaustTheAttempts")
{
    for (const char *id : {"w1", "w2", "w3", "w4"}) {
        this->addWorker(id);
    }
    this->workers.workers["w1"].isFailing = true;
    this->electLeader();
    for (int job = 0; job < 8; ++job) {
        this->addJob(absl::StrCat("job-", job), 4, 200);
        this->runFor(absl::Milliseconds(300));
    }
    for (int job = 0; job < 8; ++job) {
        CHECK(this->runUntil([&] { return this->isCompleted(absl::StrCat("job-", job)); }));
    }
}

TEST_CASE_METHOD(DispatcherFixture, "placement_whileAnAnswerIsOverdue_goesToOtherWorkers")
{
    this->addWorker("w1");
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->workers.workers["w1"].isCut = true;
    this->addJob("first", 1, 100);
    this->runFor(absl::Milliseconds(100));
    this->addWorker("w2");
    this->addWorker("w3");
    this->runFor(absl::Milliseconds(250));
    // No call to the cut-off worker has timed out yet. It has the least free capacity, so that it would be chosen first otherwise.
    this->addJob("second", 2, 100);
    CHECK(this->runUntil([this] { return this->isCompleted("second"); }, absl::Milliseconds(400)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "stalledRun_onOneWorker_isRestartedElsewhere")
{
    this->addWorker("w1");
    this->workers.workers["w1"].isStalling = true;
    this->electLeader();
    this->addJob("a", 2, 800);
    this->runFor(absl::Seconds(1));
    REQUIRE(this->workers.workers["w1"].runs.size() == 2);
    this->addWorker("w2");
    this->dispatcher->markChanged();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(5)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "waitingJobs_whileTheStartIsUnanswered_countsTheJob")
{
    this->addWorker("w1");
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->networkFaults.requestLossPercent = 100;
    this->addJob("a", 1, 1000);
    this->runFor(absl::Milliseconds(500));
    CHECK(this->dispatcher->waitingJobs("jobs.example/quick/") == 1);
    this->networkFaults.requestLossPercent = 0;
    CHECK(this->runUntil([this] { return this->dispatcher->waitingJobs("jobs.example/quick/") == 0; }));
}

TEST_CASE_METHOD(DispatcherFixture, "announcementOfAnEndedIncarnation_delayedUntilAfterTheNextOne_endsNothing")
{
    this->addWorker("second", 4000, "host:1");
    this->electLeader();
    this->addJob("a", 2, 3000);
    this->runFor(absl::Seconds(1));
    REQUIRE(this->workers.workers["second"].runs.size() == 2);
    this->addWorker("first", 4000, "host:1");
    this->workers.workers["first"].hasEnded = true;
    this->dispatcher->markChanged();
    CHECK(this->runUntil([this] { return this->state.findWorker({"first"}) == nullptr; }, absl::Seconds(2)));
    CHECK(this->state.findWorker({"second"}) != nullptr);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }));
    CHECK(this->workers.starts == 2);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "newIncarnation_atTheAddressOfAnUnresponsiveOne_endsItOnceItAnswers")
{
    this->addWorker("first", 4000, "host:1");
    this->electLeader();
    this->addJob("a", 2, 3000);
    this->runFor(absl::Seconds(1));
    REQUIRE(this->workers.workers["first"].runs.size() == 2);
    // Simulates a crash: its runs are gone, and calls to it get no answer.
    this->workers.workers["first"].runs.clear();
    this->workers.workers["first"].isCut = true;
    this->runFor(absl::Seconds(1));
    this->addWorker("second", 4000, "host:1");
    this->workers.workers["second"].isCut = true;
    this->dispatcher->markChanged();
    this->runFor(absl::Seconds(1));
    CHECK(this->state.findWorker({"first"}) != nullptr);
    this->workers.workers["second"].isCut = false;
    CHECK(this->runUntil([this] { return this->state.findWorker({"first"}) == nullptr; }, absl::Seconds(2)));
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(5)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopiesFixture, "copy_ofATaskOnAWorkerThatIsCutOff_completesTheJob")
{
    this->startOnFirstWorker(2, 1000);
    this->workers.workers["w1"].isCut = true;
    // Well before the lease of the cut-off worker has expired.
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(4)));
    CHECK(this->state.findWorker({"w1"})->superseded.size() == 2);
    this->workers.workers["w1"].isCut = false;
    CHECK(this->runUntil([this] { return this->state.findWorker({"w1"})->superseded.empty(); }, absl::Seconds(4)));
    CHECK(this->state.findWorker({"w1"})->freeMilliProcessors() == 4000);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopiesFixture, "supersededRun_thatIsDoneFirst_completesTheJobAndStopsTheCopy")
{
    this->startOnFirstWorker(1, 3000);
    this->workers.workers["w1"].isCut = true;
    const auto hasCopy = [this] { return this->workers.workers["w2"].runs.size() + this->workers.workers["w3"].runs.size() == 1; };
    REQUIRE(this->runUntil(hasCopy, absl::Seconds(2)));
    this->workers.workers["w1"].isCut = false;
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Milliseconds(2800)));
    CHECK(this->runUntil([&] { return !hasCopy(); }, absl::Seconds(1)));
    CHECK(this->runUntil([this] { return this->state.activeJobs().empty(); }, absl::Seconds(2)));
}

TEST_CASE_METHOD(CopiesFixture, "supersededRun_whileItsEndIsUnknown_keepsItsCapacityThroughSnapshotAndNewLeader")
{
    this->startOnFirstWorker(4, 8000);
    this->workers.workers["w1"].isCut = true;
    REQUIRE(this->runUntil([this] { return this->state.findWorker({"w1"})->superseded.size() == 4; }, absl::Seconds(2)));
    this->state.restore(std::string(this->state.snapshot()));
    CHECK(this->state.findWorker({"w1"})->freeMilliProcessors() == 0);
    this->electLeader();
    this->workers.workers["w1"].isCut = false;
    this->addJob("b", 12, 2000);
    CHECK(this->runUntil([this] { return this->isCompleted("a") && this->isCompleted("b"); }));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopiesFixture, "runWithoutCopies_onAWorkerThatIsCutOff_isNotSuperseded")
{
    this->startOnFirstWorker(2, 1000, false);
    this->workers.workers["w1"].isCut = true;
    this->runFor(absl::Seconds(4));
    CHECK(this->state.findWorker({"w1"})->superseded.empty());
    CHECK_FALSE(this->isCompleted("a"));
}

TEST_CASE_METHOD(DispatcherFixture, "runWithCopies_whileAllAnswersAreHandledLate_isNotSuperseded")
{
    for (int number = 0; number < 8; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->answerDelay = absl::Milliseconds(300);
    this->electLeader();
    this->runFor(absl::Seconds(1));
    for (int job = 0; job < 10; ++job) {
        this->addJob(absl::StrCat("job-", job), 1, 2000, 1, true);
        this->runFor(absl::Milliseconds(200));
    }
    CHECK(this->runUntil([this] { return this->isCompleted("job-9"); }));
    CHECK(this->workers.starts == 10);
}

TEST_CASE_METHOD(DispatcherFixture, "runWithCopies_afterAPauseOfThisProcess_isNotSuperseded")
{
    for (const char *id : {"w1", "w2", "w3"}) {
        this->addWorker(id);
    }
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->answerDelay = absl::Milliseconds(450);
    this->addJob("a", 1, 2000, 1, true);
    REQUIRE(this->runUntil([this] { return this->workers.starts == 1; }, absl::Seconds(1)));
    this->now += absl::Milliseconds(400);
    this->answerDelay = absl::Milliseconds(10);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(5)));
    CHECK(this->workers.starts == 1);
}

TEST_CASE_METHOD(DispatcherFixture, "adviceBudget_isRequestedByPlansOnly")
{
    this->addWorker("w1");
    this->electLeader();
    std::size_t requests = 0;
    std::size_t plans = 0;
    const auto budget = [&requests] {
        ++requests;
        return planning::AdviceBudget();
    };
    constexpr int steps = 1000;
    for (int step = 0; step < steps; ++step) {
        this->now += absl::Milliseconds(1);
        plans += this->dispatcher->step(this->now, absl::ToUnixMillis(this->now), budget).hasPlanned ? 1 : 0;
    }
    CHECK(requests == plans);
    CHECK(plans < steps / 10);
}

TEST_CASE("runs_throughLostAndDelayedOrdersCutsAndNewLeaders_neverOverlapNorRunAgain", "[proof][fuzz]")
{
    const bool holds = rc::check("no rule is broken, and all jobs complete after the faults have ended", [] {
        DispatcherFixture fixture;
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        fixture.random.seed(seed);
        fixture.hasRelay = seed % 2 == 1;
        for (int number = 0; number < 4; ++number) {
            fixture.addWorker(absl::StrCat("w", number));
        }
        fixture.electLeader();
        fixture.networkFaults.requestLossPercent = *rc::gen::inRange(0U, 25U);
        fixture.networkFaults.answerLossPercent = *rc::gen::inRange(0U, 25U);
        fixture.networkFaults.delayPercent = *rc::gen::inRange(0U, 25U);
        const int events = *rc::gen::inRange(2, 10);
        int jobs = 0;
        for (int event = 0; event < events; ++event) {
            const unsigned int kind = fixture.random() % 5;
            if (kind == 0) {
                fixture.electLeader();
            } else if (kind == 1) {
                fixture.dispatcher.reset();
                fixture.runFor(absl::Milliseconds(fixture.random() % 3000));
                fixture.electLeader();
            } else if (kind == 2) {
                bool &cut = fixture.workers.workers[absl::StrCat("w", fixture.random() % 4)].isCut;
                cut = !cut;
            }
            fixture.addJob(
                absl::StrCat("job", jobs++), 1 + fixture.random() % 6, 100 + fixture.random() % 3000, 1 + fixture.random() % 2, fixture.random() % 4 == 0);
            fixture.runFor(absl::Milliseconds(fixture.random() % 6000));
        }
        fixture.networkFaults = NetworkFaults();
        for (auto &[id, worker] : fixture.workers.workers) {
            worker.isCut = false;
        }
        const bool haveAllCompleted = fixture.runUntil(
            [&] {
                for (int job = 0; job < jobs; ++job) {
                    if (!fixture.isCompleted(absl::StrCat("job", job))) {
                        return false;
                    }
                }
                return true;
            },
            absl::Seconds(120));
        RC_ASSERT(fixture.workers.violations == std::vector<std::string>());
        RC_ASSERT(haveAllCompleted);
    });
    CHECK(holds);
}

} // namespace paddlepier::execution
