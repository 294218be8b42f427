// Tasks that crash each worker that starts them.
//
// Guards against endless retries: such a task crashes its worker some 10 ms after its start. If the end of a run that is lost with its
// worker doesn't count as an attempt, the task is placed again 50 ms after a restarted worker has replaced the lost one, thirty times in
// the observed case. Tasks on the same workers are lost each time as well and don't end either.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <cstddef>
#include <map>
#include <set>

namespace paddlepier::execution
{

namespace
{

/** A cell whose workers return at their address with a new id some time after a crash. */
class CrashFixture : public DispatcherFixture
{
public:
    CrashFixture()
    {
        this->onStep = [this] { this->restartDueWorkers(); };
        this->workers.isCrashing = [this](const workload::TaskKey &key, std::uint32_t) { return this->crashing.contains(key.job); };
    }

    void addCell(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            const std::string host = absl::StrCat("w", number);
            this->addWorker(host, 4000, host);
        }
        this->electLeader();
        this->runFor(absl::Seconds(1));
    }

    /** Crashes the worker of @p task without that task being the cause. */
    void crashWorkerOf(const workload::TaskKey &task)
    {
        this->workers.crashSilently(this->now, this->state.findJob(task.job)->task(task).worker.id);
    }

    bool isRunning(const workload::TaskKey &task)
    {
        const std::string &worker = this->state.findJob(task.job)->task(task).worker.id;
        return !worker.empty() && this->workers.workers[worker].runs.contains(task);
    }

    /** Checks that the job fails, and that no task was started more often than allowed. */
    void checkAbandoned(const std::string &job, Duration timeout = absl::Seconds(60))
    {
        CHECK(this->runUntil([&] { return this->hasEnded(job); }, timeout));
        this->runFor(absl::Seconds(15));
        CHECK(this->stateOf(job) == work::JobState::Failed);
        CHECK(this->state.findJob(job)->failure().reason == work::JobFailureReason::WorkersLost);
        CHECK(this->workers.violations.empty());
    }

    work::JobState stateOf(const std::string &job) const
    {
        return this->state.findJob(job)->state();
    }

    bool hasEnded(const std::string &job) const
    {
        return this->state.findJob(job)->hasEnded();
    }

    /** Jobs whose tasks all crash their workers. */
    std::set<std::string> crashing;
    Duration restartDelay = absl::Seconds(2);

private:
    void restartDueWorkers()
    {
        std::vector<std::string> due;
        for (auto &[id, worker] : this->workers.workers) {
            if (worker.crashedAt + this->restartDelay <= this->now) {
                worker.crashedAt = absl::InfiniteFuture();
                worker.isCut = false;
                due.push_back(id);
            }
        }
        for (const std::string &id : due) {
            const std::string host = id.substr(0, id.find('.'));
            this->addWorker(absl::StrCat(host, ".", ++this->incarnations), 4000, host);
        }
        if (!due.empty() && this->dispatcher) {
            this->dispatcher->markChanged();
        }
    }

    std::size_t incarnations = 0;
};

} // namespace

TEST_CASE_METHOD(CrashFixture, "taskThatCrashesItsWorkers_isAbandonedWithinItsBound")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->addJob("bad", 1, 800);
    this->addJob("good", 12, 800);
    CHECK(this->runUntil([this] { return this->hasEnded("bad"); }, absl::Seconds(30)));
    this->runFor(absl::Seconds(5));
    CHECK(this->stateOf("bad") == work::JobState::Failed);
    CHECK(this->isCompleted("good"));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CrashFixture, "tasksThatCrashTheirWorkersTogether_throughChangesOfLeader_areAbandonedWithinTheirBound")
{
    this->addCell(12);
    this->crashing = {"bad", "worse"};
    this->addJob("bad", 2, 800);
    this->addJob("worse", 2, 800);
    for (int term = 0; term < 8; ++term) {
        this->runFor(absl::Milliseconds(1700));
        this->electLeader();
    }
    CHECK(this->runUntil([this] { return this->hasEnded("bad") && this->hasEnded("worse"); }, absl::Seconds(30)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CrashFixture, "stepOfManyTasksThatCrash_onManyWorkersAtOnce_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->addJob("bad", 20, 800);
    this->addJob("good", 20, 800);
    this->checkAbandoned("bad");
    CHECK(this->runUntil([this] { return this->isCompleted("good"); }));
}

TEST_CASE_METHOD(CrashFixture, "taskWithCopiesThatCrashes_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->addJob("bad", 2, 800, 1, true);
    this->checkAbandoned("bad");
}

TEST_CASE_METHOD(CrashFixture, "gangWhoseMembersCrashTogether_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->workers.crashDelay = absl::Milliseconds(500);
    this->addJob("bad", 5, 1000, 1, false, true);
    this->checkAbandoned("bad");
}

// A member is often ended by the crash of another one before it crashes its own worker; its start counts nevertheless.
TEST_CASE_METHOD(CrashFixture, "gangWhoseMembersCrashOneAfterAnother_isAbandoned")
{
    this->addCell(2);
    this->workers.isCrashing = [](const workload::TaskKey &key, std::uint32_t run) {
        constexpr std::uint32_t runsOfTheFirst = 3;
        return key.job == "bad" && key.index == (run <= runsOfTheFirst ? 0 : 7);
    };
    this->restartDelay = absl::Milliseconds(300);
    this->addJob("bad", 8, 1000, 1, false, true);
    this->checkAbandoned("bad");
}

TEST_CASE_METHOD(CrashFixture, "repeatedJobThatCrashes_inEachOccurrence_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->submit("bad", 1, 800, [this](work::JobSpecT &spec, work::StepSpecT &) {
        spec.repetitions = 5;
        spec.firstDueMillis = absl::ToUnixMillis(this->now);
        spec.intervalMillis = 4000;
    });
    this->checkAbandoned("bad");
}

TEST_CASE_METHOD(CrashFixture, "lastingTaskThatCrashes_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->submit("bad", 2, 400, [](work::JobSpecT &, work::StepSpecT &step) { step.isLasting = true; });
    this->checkAbandoned("bad");
}

TEST_CASE_METHOD(CrashFixture, "taskThatCrashesLate_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->workers.crashDelay = absl::Seconds(6);
    this->addJob("bad", 1, 8000);
    this->checkAbandoned("bad");
}

TEST_CASE_METHOD(CrashFixture, "taskThatCrashes_whileOrdersAreLostOrDelayed_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->networkFaults.delayPercent = 40;
    this->networkFaults.answerLossPercent = 20;
    this->addJob("bad", 2, 800);
    this->addJob("good", 12, 800);
    this->checkAbandoned("bad", absl::Seconds(120));
}

TEST_CASE_METHOD(CrashFixture, "tasksThatCrash_throughLostOrdersAndChangesOfLeader_areAbandonedWithinTheirBound")
{
    this->random.seed(GENERATE(range(1U, 21U)));
    this->addCell(12);
    this->crashing = {"bad", "worse"};
    this->networkFaults.delayPercent = 30;
    this->networkFaults.answerLossPercent = 30;
    this->addJob("bad", 2, 800);
    this->addJob("worse", 1, 800);
    for (int term = 0; term < 10; ++term) {
        this->runFor(absl::Milliseconds(1000 + this->random() % 4000));
        this->electLeader();
    }
    this->checkAbandoned("bad", absl::Minutes(3));
    this->checkAbandoned("worse", absl::Minutes(3));
}

TEST_CASE_METHOD(CrashFixture, "taskWhoseWorkersNeverReturn_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->restartDelay = absl::Hours(10);
    this->addJob("bad", 1, 800);
    this->checkAbandoned("bad", absl::Minutes(5));
    CHECK(this->workers.starts <= 5);
}

TEST_CASE_METHOD(CrashFixture, "taskThatCrashes_throughSnapshotsBetweenCrashes_isAbandoned")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->addJob("bad", 1, 800);
    for (int term = 0; term < 6 && !this->hasEnded("bad"); ++term) {
        this->runFor(absl::Milliseconds(2500));
        this->state.restore(std::string(this->state.snapshot()));
        this->electLeader();
    }
    this->checkAbandoned("bad");
}

TEST_CASE_METHOD(CrashFixture, "failedJob_afterASnapshot_stillReportsItsLostWorkers")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->addJob("bad", 1, 800);
    this->checkAbandoned("bad");
    const std::vector<std::string> lost = this->state.findJob("bad")->failure().lostWorkers;
    CHECK(lost.size() == workload::lossThreshold);
    this->state.restore(std::string(this->state.snapshot()));
    CHECK(this->state.findJob("bad")->failure().lostWorkers == lost);
    CHECK(this->state.findJob("bad")->failure().text().find(lost.front()) != std::string::npos);
}

// A job that can be completed must not be reported as failed.
TEST_CASE_METHOD(CrashFixture, "lastingTask_whoseWorkersAreLostAfterLongWork_isNeverAbandoned")
{
    this->addCell(6);
    this->submit("watch", 1, 400, [](work::JobSpecT &, work::StepSpecT &step) { step.isLasting = true; });
    const workload::TaskKey watch("watch", 0, 0, 0);
    for (int loss = 0; loss < 10; ++loss) {
        REQUIRE(this->runUntil([&] { return this->isRunning(watch); }, absl::Seconds(20)));
        // Twice just after the start, then after long work.
        this->runFor(loss % 3 == 2 ? absl::Seconds(8) : absl::Milliseconds(500));
        this->crashWorkerOf(watch);
        this->runFor(absl::Milliseconds(20));
    }
    CHECK(this->runUntil([&] { return this->isRunning(watch); }, absl::Seconds(20)));
    CHECK(this->stateOf("watch") == work::JobState::Running);
}

// Guards against a job that fails for crashes that none of its starts had reached: workers crash right before them, after they have answered polls.
TEST_CASE_METHOD(CrashFixture, "task_whoseStartsReachNoWorker_isNeverAbandoned")
{
    this->addCell(4);
    constexpr int crashes = 12;
    std::set<std::string> crashed;
    this->onCall = [&](const WorkerCall &call) {
        const auto *start = std::get_if<StartOrder>(&call.order);
        const auto *stop = std::get_if<StopOrder>(&call.order);
        const bool isOfJob = (start != nullptr && start->task.job == "a") || (stop != nullptr && stop->task.job == "a");
        if (isOfJob && crashed.size() < crashes && crashed.insert(call.worker.id).second) {
            this->workers.crashSilently(this->now, call.worker.id);
        }
    };
    this->addJob("a", 1, 800);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Minutes(3)));
    CHECK(crashed.size() == crashes);
    CHECK(this->state.findJob("a")->task({"a", 0, 0, 0}).confirmedLosses == 0);
    CHECK(this->workers.violations.empty());
}

// Guards against endless crashes: such a task never proves its presence by an answer.
TEST_CASE_METHOD(CrashFixture, "taskThatCrashesItsWorkers_beforeTheyAnswerItsStart_isAbandonedWithinItsBound")
{
    this->addCell(12);
    std::size_t starts = 0;
    this->onCall = [&](const WorkerCall &call) {
        const auto *start = std::get_if<StartOrder>(&call.order);
        if (start != nullptr && start->task.job == "bad" && !this->workers.workers[call.worker.id].isCut) {
            ++starts;
            this->workers.crashSilently(this->now, call.worker.id);
        }
    };
    this->addJob("bad", 1, 800);
    this->addJob("good", 12, 800);
    this->checkAbandoned("bad");
    constexpr std::size_t crashThreshold = 3;
    CHECK(starts <= crashThreshold + workload::maxFinalAttempts);
    CHECK(this->runUntil([this] { return this->isCompleted("good"); }));
}

// Guards against innocent jobs that are given up for crashes in series, and against too many starts of those that cause crashes.
TEST_CASE_METHOD(CrashFixture, "jobs_throughWavesOfCrashes_failOnlyIfWorkersCrashedUnderThem")
{
    std::map<workload::TaskKey, int> crashesUnder;
    this->workers.observer = [&](const FakeWorkers::Event &event) {
        crashesUnder[event.task] += event.kind == FakeWorkers::EventKind::Ended && event.end == work::RunEndKind::WorkerLost ? 1 : 0;
    };
    this->addCell(16);
    this->crashing = {"bad"};
    constexpr int waves = 40;
    for (int wave = 0; wave < waves; ++wave) {
        this->addJob(absl::StrCat("long-", wave), 3, 4800);
        this->addJob(absl::StrCat("short-", wave), 4, 800);
        if (wave == waves / 2) {
            this->addJob("bad", 1, 800);
        }
        std::vector<std::string> up;
        for (const auto &[id, worker] : this->workers.workers) {
            if (!worker.isCut && !worker.hasEnded) {
                up.push_back(id);
            }
        }
        for (int crash = 0; crash < 2 && !up.empty(); ++crash) {
            const std::size_t chosen = this->random() % up.size();
            this->workers.crashSilently(this->now, up[chosen]);
            up.erase(up.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
        this->runFor(absl::Milliseconds(2420));
    }
    for (int wave = 0; wave < waves; ++wave) {
        for (const std::string &job : {absl::StrCat("long-", wave), absl::StrCat("short-", wave)}) {
            CHECK(this->runUntil([&] { return this->hasEnded(job); }));
            const bool isExcused = this->stateOf(job) == work::JobState::Failed && crashesUnder[this->state.findJob(job)->failure().task] >= 2;
            CHECK((this->isCompleted(job) || isExcused));
        }
    }
    this->checkAbandoned("bad");
}

TEST_CASE_METHOD(CrashFixture, "jobs_besideTasksThatCrash_complete")
{
    this->addCell(16);
    for (int number = 0; number < 6; ++number) {
        const std::string bad = absl::StrCat("bad-", number);
        this->crashing.insert(bad);
        this->addJob(bad, 2, 800);
        this->addJob(absl::StrCat("good-", number), 8, 1500);
        this->runFor(absl::Milliseconds(900));
    }
    for (int number = 0; number < 6; ++number) {
        CHECK(this->runUntil([&] { return this->hasEnded(absl::StrCat("bad-", number)); }));
        CHECK(this->runUntil([&] { return this->hasEnded(absl::StrCat("good-", number)); }));
        CHECK(this->isCompleted(absl::StrCat("good-", number)));
    }
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CrashFixture, "jobs_throughTheLossOfTwoRacks_complete")
{
    this->addCell(20);
    this->addJob("long", 20, 12'000);
    this->addJob("short", 40, 3000);
    for (int rack = 0; rack < 2; ++rack) {
        this->runFor(absl::Seconds(2));
        for (int number = 0; number < 8; ++number) {
            const std::string id = absl::StrCat("w", rack * 8 + number);
            this->workers.crashSilently(this->now, id);
        }
    }
    CHECK(this->runUntil([this] { return this->isCompleted("long") && this->isCompleted("short"); }, absl::Seconds(90)));
    CHECK(this->workers.violations.empty());
}

// After the loss of racks most suspected tasks are innocent, and there are more of them than workers.
TEST_CASE_METHOD(CrashFixture, "tasksOfRacksLostTwice_withFreeCapacity_startAtOnce")
{
    this->addCell(24);
    this->addJob("many", 40, 30'000);
    this->submit("watch", 8, 400, [](work::JobSpecT &, work::StepSpecT &step) { step.isLasting = true; });
    const auto runs = [this] {
        std::size_t count = 0;
        for (const auto &[id, worker] : this->workers.workers) {
            count += worker.runs.size();
        }
        return count;
    };
    REQUIRE(this->runUntil([&] { return runs() == 48; }, absl::Seconds(2)));
    for (int loss = 0; loss < 2; ++loss) {
        std::vector<std::string> busy;
        for (const auto &[id, worker] : this->workers.workers) {
            if (!worker.runs.empty() && busy.size() < 8) {
                busy.push_back(id);
            }
        }
        for (const std::string &id : busy) {
            this->workers.crashSilently(this->now, id);
        }
        // The workers return after two seconds.
        CHECK(this->runUntil([&] { return runs() == 48; }, absl::Milliseconds(3200)));
    }
    CHECK(this->stateOf("many") == work::JobState::Running);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CrashFixture, "taskUnderWhichTwoWorkersWereLost_startsOnAWorkerOfItsOwn")
{
    this->addCell(6);
    this->addJob("long", 8, 20'000);
    this->crashing = {"bad"};
    this->addJob("bad", 1, 800);
    const workload::TaskKey bad("bad", 0, 0, 0);
    const auto losses = [&] { return this->state.findJob("bad")->task(bad).lostWorkers.size(); };
    REQUIRE(this->runUntil([&] { return losses() == 2; }, absl::Seconds(10)));
    REQUIRE(this->runUntil([&] { return this->state.findJob("bad")->task(bad).hasRun(); }, absl::Seconds(2)));
    this->addJob("more", 8, 500);
    const workload::Incarnation worker = this->state.findJob("bad")->task(bad).worker;
    CHECK(this->state.findWorker(worker)->runs.size() == 1);
    this->runFor(absl::Milliseconds(300));
    CHECK(this->state.findWorker(worker)->runs.size() == 1);
    this->checkAbandoned("bad");
    CHECK(this->state.findJob("bad")->failure().lostWorkers.size() == workload::lossThreshold);
}

TEST_CASE_METHOD(CrashFixture, "workerThatIsDrainedAndLeaves_doesNotIncriminateItsTasks")
{
    this->addCell(2);
    this->submit("watch", 1, 400, [](work::JobSpecT &, work::StepSpecT &step) { step.isLasting = true; });
    const workload::TaskKey watch("watch", 0, 0, 0);
    REQUIRE(this->runUntil([&] { return this->isRunning(watch); }, absl::Seconds(5)));
    const workload::Incarnation worker = this->state.findJob("watch")->task(watch).worker;
    work::RegisterWorkerT registration = this->state.findWorker(worker)->registration;
    registration.isDraining = true;
    this->apply(std::move(registration));
    this->crashWorkerOf(watch);
    CHECK(this->runUntil([&] { return this->state.findWorker(worker) == nullptr; }, absl::Seconds(5)));
    CHECK(this->state.findJob("watch")->task(watch).lostWorkers.empty());
}

TEST_CASE_METHOD(CrashFixture, "runsOnAWorkerThatIsCutOff_untilItAnswersAgain_areUnconfirmedLossesOnly")
{
    this->addCell(2);
    this->addJob("a", 1, 30'000);
    const workload::TaskKey task("a", 0, 0, 0);
    REQUIRE(this->runUntil([&] { return this->isRunning(task); }, absl::Seconds(2)));
    const workload::Incarnation worker = this->state.findJob("a")->task(task).worker;
    this->workers.workers[worker.id].isCut = true;
    REQUIRE(this->runUntil([&] { return this->state.findWorker(worker)->expiredLeases.contains(task); }, absl::Seconds(20)));
    CHECK(this->state.findJob("a")->task(task).unconfirmedLosses == 1);
    this->state.restore(std::string(this->state.snapshot()));
    CHECK(this->state.findJob("a")->task(task).unconfirmedLosses == 1);
    this->workers.workers[worker.id].isCut = false;
    CHECK(this->runUntil([&] { return this->state.findJob("a")->task(task).unconfirmedLosses == 0; }, absl::Seconds(10)));
    CHECK(this->state.findJob("a")->task(task).lostWorkers.empty());
    CHECK(this->state.suspects().empty());
}

} // namespace paddlepier::execution
