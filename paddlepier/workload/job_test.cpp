// Effects of placements and ends of runs on a job, and its stored record.

#include "paddlepier/workload/job.h"

#include <catch2/catch.hpp>

#include <limits>

namespace paddlepier::workload
{

namespace
{

class JobFixture
{
public:
    static std::unique_ptr<work::StepSpecT> step(std::uint32_t count)
    {
        auto stepSpec = std::make_unique<work::StepSpecT>();
        stepSpec->count = count;
        stepSpec->demand = std::make_unique<work::Demand>(1000, 512, 0);
        return stepSpec;
    }

    Job job()
    {
        work::QueueSpecT queue;
        queue.name = "quick";
        queue.maxAttempts = 2;
        work::JobSpecT copy = this->spec;
        return {"00000000000000aa", queue, copy, 1000};
    }

    static TaskKey key(std::uint32_t stepNumber, std::uint32_t index)
    {
        return {"00000000000000aa", 0, stepNumber, index};
    }

    static void run(Job &job, const TaskKey &task, work::RunEndKind end)
    {
        const std::uint32_t number = job.nextRun(task);
        REQUIRE(job.mayPlace(task, number));
        job.place(task, number, {"w1"}, 1000);
        REQUIRE(job.endRun(task, number, {"w1"}, end, "", 2000));
    }

    work::JobSpecT spec;
};

} // namespace

TEST_CASE_METHOD(JobFixture, "supersededRun_thatFails_countsAsAttempt")
{
    this->spec.steps.push_back(step(1));
    Job job = this->job();
    run(job, key(0, 0), work::RunEndKind::Superseded);
    CHECK(job.task(key(0, 0)).failures == 0);
    CHECK_FALSE(job.hasStarted());
    job.endSupersededRun(key(0, 0), 1, work::RunEndKind::Failed, 3000);
    run(job, key(0, 0), work::RunEndKind::Failed);
    CHECK(job.state() == work::JobState::Failed);
}

TEST_CASE_METHOD(JobFixture, "supersededRun_thatIsDone_completesTheJobWhileItsCopyRuns")
{
    this->spec.steps.push_back(step(1));
    Job job = this->job();
    run(job, key(0, 0), work::RunEndKind::Superseded);
    job.place(key(0, 0), 2, {"w2"}, 1000);
    job.endSupersededRun(key(0, 0), 1, work::RunEndKind::Done, 3000);
    CHECK(job.state() == work::JobState::Completed);
    CHECK(job.activeRunCount() == 1);
    CHECK(job.endRun(key(0, 0), 2, {"w2"}, work::RunEndKind::Stopped, "", 3100));
    CHECK(job.state() == work::JobState::Completed);
    CHECK(job.activeRunCount() == 0);
}

// Guards against a failed job that no worker has ever run: losses that merely coincide with its starts prove nothing, however many there are.
TEST_CASE_METHOD(JobFixture, "unconfirmedLosses_inAnyNumber_neverFailTheJob")
{
    this->spec.steps.push_back(step(1));
    Job job = this->job();
    const auto lose = [&](work::RunAtLoss atLoss) {
        job.place(key(0, 0), job.nextRun(key(0, 0)), {"w1"}, 1000);
        const bool isAbandoned = job.recordLoss(key(0, 0), {"w1"}, atLoss, true, 2000);
        job.endRun(key(0, 0), job.task(key(0, 0)).lastRun, {"w1"}, work::RunEndKind::WorkerLost, "", 2000);
        return isAbandoned;
    };
    for (int loss = 0; loss < 20; ++loss) {
        CHECK_FALSE(lose(work::RunAtLoss::Unclear));
        CHECK_FALSE(job.hasEnded());
    }
    CHECK(job.task(key(0, 0)).lostWorkers.size() == maxLosses);
    CHECK_FALSE(lose(work::RunAtLoss::Fresh));
    CHECK_FALSE(lose(work::RunAtLoss::Verified));
    CHECK_FALSE(job.hasEnded());
    CHECK(lose(work::RunAtLoss::Verified));
    CHECK(job.state() == work::JobState::Failed);
}

TEST_CASE_METHOD(JobFixture, "losses_ofWorkersThatRanTheTask_failTheJob")
{
    this->spec.steps.push_back(step(1));
    Job job = this->job();
    for (const work::RunAtLoss atLoss : {work::RunAtLoss::Unclear, work::RunAtLoss::Fresh, work::RunAtLoss::Fresh}) {
        CHECK_FALSE(job.hasEnded());
        job.place(key(0, 0), job.nextRun(key(0, 0)), {"w1"}, 1000);
        job.recordLoss(key(0, 0), {"w1"}, atLoss, true, 2000);
        job.endRun(key(0, 0), job.task(key(0, 0)).lastRun, {"w1"}, work::RunEndKind::WorkerLost, "", 2000);
        job = Job(job.record());
    }
    CHECK(job.state() == work::JobState::Failed);
}

// Guards against a job that fails for placements that were undone before anything was sent.
TEST_CASE_METHOD(JobFixture, "finalAttempts_thatNeverStarted_dontCount")
{
    this->spec.steps.push_back(step(1));
    Job job = this->job();
    for (std::size_t loss = 0; loss < lossThreshold; ++loss) {
        job.place(key(0, 0), job.nextRun(key(0, 0)), {"w1"}, 1000);
        CHECK_FALSE(job.recordLoss(key(0, 0), {"w1"}, work::RunAtLoss::Running, false, 2000));
        job.endRun(key(0, 0), job.task(key(0, 0)).lastRun, {"w1"}, work::RunEndKind::WorkerLost, "", 2000);
    }
    for (int placement = 0; placement < 5; ++placement) {
        run(job, key(0, 0), work::RunEndKind::Void);
        CHECK_FALSE(job.hasEnded());
    }
    run(job, key(0, 0), work::RunEndKind::Done);
    CHECK(job.state() == work::JobState::Completed);
}

TEST_CASE_METHOD(JobFixture, "hasStarted_afterRunThatNeverStarted_isFalse")
{
    this->spec.steps.push_back(step(1));
    Job job = this->job();
    run(job, key(0, 0), work::RunEndKind::Void);
    CHECK_FALSE(job.hasStarted());
    run(job, key(0, 0), work::RunEndKind::Stopped);
    CHECK(job.hasStarted());
}

TEST_CASE_METHOD(JobFixture, "placement_beforeEarlierStepIsDone_isRefused")
{
    this->spec.steps.push_back(step(2));
    this->spec.steps.push_back(step(1));
    this->spec.steps[1]->after = {0};
    Job job = this->job();
    run(job, key(0, 0), work::RunEndKind::Done);
    CHECK_FALSE(job.mayPlace(key(1, 0), 1));
    run(job, key(0, 1), work::RunEndKind::Done);
    CHECK(job.mayPlace(key(1, 0), 1));
}

TEST_CASE_METHOD(JobFixture, "placement_ofTaskWithActiveRun_isRefused")
{
    this->spec.steps.push_back(step(1));
    Job job = this->job();
    job.place(key(0, 0), 1, {"w1"}, 1000);
    CHECK_FALSE(job.mayPlace(key(0, 0), 2));
    CHECK_FALSE(job.endRun(key(0, 0), 1, {"w2"}, work::RunEndKind::Done, "", 2000));
    CHECK_FALSE(job.endRun(key(0, 0), 2, {"w1"}, work::RunEndKind::Done, "", 2000));
    CHECK_FALSE(job.mayPlace(key(0, 0), 2));
}

TEST_CASE_METHOD(JobFixture, "failedRuns_reachingMaxAttempts_failTheJob")
{
    this->spec.steps.push_back(step(2));
    Job job = this->job();
    run(job, key(0, 0), work::RunEndKind::Failed);
    run(job, key(0, 0), work::RunEndKind::Stopped);
    CHECK(job.state() == work::JobState::Running);
    run(job, key(0, 0), work::RunEndKind::Failed);
    CHECK(job.state() == work::JobState::Failed);
    CHECK_FALSE(job.mayPlace(key(0, 1), 1));
}

TEST_CASE_METHOD(JobFixture, "gang_withOneMemberDone_isDoneCompletely")
{
    this->spec.steps.push_back(step(3));
    this->spec.steps[0]->isGang = true;
    Job job = this->job();
    for (std::uint32_t index = 0; index < 3; ++index) {
        job.place(key(0, index), 1, {"w1"}, 1000);
    }
    CHECK(job.endRun(key(0, 1), 1, {"w1"}, work::RunEndKind::Done, "", 2000));
    CHECK(job.state() == work::JobState::Completed);
    CHECK(job.activeRunCount() == 2);
}

TEST_CASE_METHOD(JobFixture, "gang_withSeveralFailedMembersInOneRun_countsOneAttempt")
{
    this->spec.steps.push_back(step(2));
    this->spec.steps[0]->isGang = true;
    Job job = this->job();
    job.place(key(0, 0), 1, {"w1"}, 1000);
    job.place(key(0, 1), 1, {"w2"}, 1000);
    job.endRun(key(0, 0), 1, {"w1"}, work::RunEndKind::Failed, "", 2000);
    job.endRun(key(0, 1), 1, {"w2"}, work::RunEndKind::Failed, "", 2000);
    CHECK(job.state() == work::JobState::Running);
    CHECK(job.nextRun(key(0, 0)) == 2);
}

TEST_CASE_METHOD(JobFixture, "lastingTask_endingInAnyWay_runsAgain")
{
    this->spec.steps.push_back(step(1));
    this->spec.steps[0]->isLasting = true;
    Job job = this->job();
    for (int attempt = 0; attempt < 5; ++attempt) {
        run(job, key(0, 0), attempt % 2 == 0 ? work::RunEndKind::Failed : work::RunEndKind::Done);
    }
    CHECK(job.state() == work::JobState::Running);
    job.cancel(3000);
    CHECK(job.state() == work::JobState::Cancelled);
    CHECK_FALSE(job.mayPlace(key(0, 0), 9));
}

TEST_CASE_METHOD(JobFixture, "record_ofPartlyDoneJob_restoresItsState")
{
    this->spec.steps.push_back(step(3));
    Job job = this->job();
    run(job, key(0, 0), work::RunEndKind::Done);
    run(job, key(0, 1), work::RunEndKind::Failed);
    job.place(key(0, 2), 1, {"w3"}, 1000);
    const Job restored(job.record());
    CHECK(restored.record().occurrences[0]->steps[0]->tasks.size() == 3);
    CHECK(restored.task(key(0, 0)).isDone);
    CHECK(restored.task(key(0, 1)).failures == 1);
    CHECK(restored.task(key(0, 2)).worker.id == "w3");
    CHECK(restored.activeRunCount() == 1);
    CHECK(restored.hasStarted());
}

TEST_CASE_METHOD(JobFixture, "waitingTasks_withRunningCopyOfADoneTask_countsOnlyTasksToPlace")
{
    this->spec.steps.push_back(step(3));
    Job job = this->job();
    CHECK(job.waitingTasks() == 3);
    run(job, key(0, 0), work::RunEndKind::Superseded);
    job.place(key(0, 0), 2, {"w2"}, 1000);
    CHECK(job.waitingTasks() == 2);
    job.endSupersededRun(key(0, 0), 1, work::RunEndKind::Done, 3000);
    // The task is done while its copy still runs.
    CHECK(job.waitingTasks() == 2);
    CHECK(job.endRun(key(0, 0), 2, {"w2"}, work::RunEndKind::Stopped, "", 3100));
    CHECK(job.waitingTasks() == 2);
    run(job, key(0, 1), work::RunEndKind::Failed);
    CHECK(job.waitingTasks() == 2);
    CHECK(Job(job.record()).waitingTasks() == 2);
}

TEST_CASE_METHOD(JobFixture, "step_afterSeveralSteps_isReadyOnceAllAreDone")
{
    this->spec.steps.push_back(step(1));
    this->spec.steps.push_back(step(1));
    this->spec.steps.push_back(step(1));
    this->spec.steps[2]->after = {0, 1, 0};
    Job job = this->job();
    CHECK(job.isReady(0, 1));
    run(job, key(0, 0), work::RunEndKind::Done);
    CHECK_FALSE(job.isReady(0, 2));
    CHECK_FALSE(Job(job.record()).isReady(0, 2));
    run(job, key(1, 0), work::RunEndKind::Done);
    CHECK(job.isReady(0, 2));
    CHECK(Job(job.record()).isReady(0, 2));
    run(job, key(2, 0), work::RunEndKind::Done);
    CHECK(job.state() == work::JobState::Completed);
}

TEST_CASE_METHOD(JobFixture, "record_ofFullyEndedJob_keepsItsStateAndAcceptsNoRuns")
{
    this->spec.steps.push_back(step(2));
    Job job = this->job();
    job.place(key(0, 0), 1, {"w1"}, 1000);
    run(job, key(0, 1), work::RunEndKind::Done);
    job.cancel(2500);
    // A run is active, so that its task record is still needed.
    CHECK(Job(job.record()).activeRunCount() == 1);
    CHECK(job.endRun(key(0, 0), 1, {"w1"}, work::RunEndKind::Stopped, "", 2600));
    Job restored(job.record());
    CHECK(restored.state() == work::JobState::Cancelled);
    CHECK(restored.isCancelled());
    CHECK(restored.endedAtMillis() == 2500);
    CHECK(restored.record().occurrences.empty());
    // Late events have the same effect on the restored job as on the original: none.
    CHECK_FALSE(restored.mayPlace(key(0, 0), 2));
    CHECK_FALSE(restored.endRun(key(0, 0), 1, {"w1"}, work::RunEndKind::Done, "", 2700));
    restored.endSupersededRun(key(0, 0), 1, work::RunEndKind::Done, 2800);
    job.endSupersededRun(key(0, 0), 1, work::RunEndKind::Done, 2800);
    CHECK(restored.state() == job.state());
    CHECK(restored.endedAtMillis() == job.endedAtMillis());
}

TEST_CASE("validationError_ofInvalidSteps_isReported")
{
    work::JobSpecT spec;
    CHECK_FALSE(validationError(spec).empty());
    spec.steps.push_back(JobFixture::step(1));
    CHECK(validationError(spec).empty());
    spec.steps[0]->after = {0};
    CHECK_FALSE(validationError(spec).empty());
    spec.steps[0]->after.clear();
    spec.steps[0]->count = 30'000;
    CHECK_FALSE(validationError(spec).empty());
}

// Guards against a request that ends every replica: a product of counts beyond 64 bits passed as a small number of tasks.
TEST_CASE("validationError_ofTooManyTasksInAllOccurrences_isReported")
{
    const auto errorOf = [](std::uint32_t steps, std::uint32_t tasks, std::uint32_t repetitions) {
        work::JobSpecT spec;
        spec.repetitions = repetitions;
        for (std::uint32_t number = 0; number < steps; ++number) {
            spec.steps.push_back(JobFixture::step(tasks));
        }
        return validationError(spec);
    };
    constexpr std::uint32_t half = 1U << 31U;
    CHECK_FALSE(errorOf(4, half, half).empty());
    CHECK_FALSE(errorOf(1, 1, std::numeric_limits<std::uint32_t>::max()).empty());
    CHECK_FALSE(errorOf(1, std::numeric_limits<std::uint32_t>::max(), 1).empty());
    CHECK(errorOf(1, maxTasksPerJob / 4, 4).empty());
    CHECK_FALSE(errorOf(1, maxTasksPerJob / 4 + 1, 4).empty());
    CHECK(errorOf(1, 1, maxTasksPerJob).empty());
    CHECK_FALSE(errorOf(1, 1, maxTasksPerJob + 1).empty());
}

} // namespace paddlepier::workload
