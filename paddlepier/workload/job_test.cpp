// What a placement or the end of a run does to a job.

#include "paddlepier/workload/job.h"

#include <catch2/catch.hpp>

namespace paddlepier::workload
{

namespace
{

class JobFixture
{
public:
    static std::unique_ptr<work::StepSpecT> step(std::uint32_t count)
    {
        auto made = std::make_unique<work::StepSpecT>();
        made->count = count;
        made->demand = std::make_unique<work::Demand>(1000, 512, 0);
        return made;
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

TEST_CASE_METHOD(JobFixture, "supersededRun_thatFails_countsAsAnAttempt")
{
    this->spec.steps.push_back(step(1));
    Job made = this->job();
    run(made, key(0, 0), work::RunEndKind::Superseded);
    CHECK(made.task(key(0, 0)).failures == 0);
    CHECK_FALSE(made.hasStarted());
    made.endSupersededRun(key(0, 0), 1, work::RunEndKind::Failed, 3000);
    run(made, key(0, 0), work::RunEndKind::Failed);
    CHECK(made.state() == work::JobState::Failed);
}

TEST_CASE_METHOD(JobFixture, "supersededRun_thatIsDone_completesTheJobBesideItsCopy")
{
    this->spec.steps.push_back(step(1));
    Job made = this->job();
    run(made, key(0, 0), work::RunEndKind::Superseded);
    made.place(key(0, 0), 2, {"w2"}, 1000);
    made.endSupersededRun(key(0, 0), 1, work::RunEndKind::Done, 3000);
    CHECK(made.state() == work::JobState::Completed);
    CHECK(made.activeRunCount() == 1);
    CHECK(made.endRun(key(0, 0), 2, {"w2"}, work::RunEndKind::Stopped, "", 3100));
    CHECK(made.state() == work::JobState::Completed);
    CHECK(made.activeRunCount() == 0);
}

TEST_CASE_METHOD(JobFixture, "begun_afterRunThatNeverStarted_isFalse")
{
    this->spec.steps.push_back(step(1));
    Job made = this->job();
    run(made, key(0, 0), work::RunEndKind::Void);
    CHECK_FALSE(made.hasStarted());
    run(made, key(0, 0), work::RunEndKind::Stopped);
    CHECK(made.hasStarted());
}

TEST_CASE_METHOD(JobFixture, "placement_beforeEarlierStepIsDone_isRefused")
{
    this->spec.steps.push_back(step(2));
    this->spec.steps.push_back(step(1));
    this->spec.steps[1]->after = {0};
    Job made = this->job();
    run(made, key(0, 0), work::RunEndKind::Done);
    CHECK_FALSE(made.mayPlace(key(1, 0), 1));
    run(made, key(0, 1), work::RunEndKind::Done);
    CHECK(made.mayPlace(key(1, 0), 1));
}

TEST_CASE_METHOD(JobFixture, "placement_ofTaskWithRunUnderWay_isRefused")
{
    this->spec.steps.push_back(step(1));
    Job made = this->job();
    made.place(key(0, 0), 1, {"w1"}, 1000);
    CHECK_FALSE(made.mayPlace(key(0, 0), 2));
    CHECK_FALSE(made.endRun(key(0, 0), 1, {"w2"}, work::RunEndKind::Done, "", 2000));
    CHECK_FALSE(made.endRun(key(0, 0), 2, {"w1"}, work::RunEndKind::Done, "", 2000));
    CHECK_FALSE(made.mayPlace(key(0, 0), 2));
}

TEST_CASE_METHOD(JobFixture, "failedRuns_upToAttempts_endTheJob")
{
    this->spec.steps.push_back(step(2));
    Job made = this->job();
    run(made, key(0, 0), work::RunEndKind::Failed);
    run(made, key(0, 0), work::RunEndKind::Stopped);
    CHECK(made.state() == work::JobState::Running);
    run(made, key(0, 0), work::RunEndKind::Failed);
    CHECK(made.state() == work::JobState::Failed);
    CHECK_FALSE(made.mayPlace(key(0, 1), 1));
}

TEST_CASE_METHOD(JobFixture, "gang_oneMemberDone_isDoneAsAWhole")
{
    this->spec.steps.push_back(step(3));
    this->spec.steps[0]->isGang = true;
    Job made = this->job();
    for (std::uint32_t index = 0; index < 3; ++index) {
        made.place(key(0, index), 1, {"w1"}, 1000);
    }
    CHECK(made.endRun(key(0, 1), 1, {"w1"}, work::RunEndKind::Done, "", 2000));
    CHECK(made.state() == work::JobState::Completed);
    CHECK(made.activeRunCount() == 2);
}

TEST_CASE_METHOD(JobFixture, "gang_severalMembersOfOneRunFail_countsOneAttempt")
{
    this->spec.steps.push_back(step(2));
    this->spec.steps[0]->isGang = true;
    Job made = this->job();
    made.place(key(0, 0), 1, {"w1"}, 1000);
    made.place(key(0, 1), 1, {"w2"}, 1000);
    made.endRun(key(0, 0), 1, {"w1"}, work::RunEndKind::Failed, "", 2000);
    made.endRun(key(0, 1), 1, {"w2"}, work::RunEndKind::Failed, "", 2000);
    CHECK(made.state() == work::JobState::Running);
    CHECK(made.nextRun(key(0, 0)) == 2);
}

TEST_CASE_METHOD(JobFixture, "lastingTask_howeverItEnds_isToRunAgain")
{
    this->spec.steps.push_back(step(1));
    this->spec.steps[0]->isLasting = true;
    Job made = this->job();
    for (int attempt = 0; attempt < 5; ++attempt) {
        run(made, key(0, 0), attempt % 2 == 0 ? work::RunEndKind::Failed : work::RunEndKind::Done);
    }
    CHECK(made.state() == work::JobState::Running);
    made.cancel(3000);
    CHECK(made.state() == work::JobState::Cancelled);
    CHECK_FALSE(made.mayPlace(key(0, 0), 9));
}

TEST_CASE_METHOD(JobFixture, "record_ofJobInTheMiddle_restoresTheSame")
{
    this->spec.steps.push_back(step(3));
    Job made = this->job();
    run(made, key(0, 0), work::RunEndKind::Done);
    run(made, key(0, 1), work::RunEndKind::Failed);
    made.place(key(0, 2), 1, {"w3"}, 1000);
    const Job again(made.record());
    CHECK(again.record().occurrences[0]->steps[0]->tasks.size() == 3);
    CHECK(again.task(key(0, 0)).isDone);
    CHECK(again.task(key(0, 1)).failures == 1);
    CHECK(again.task(key(0, 2)).worker.id == "w3");
    CHECK(again.activeRunCount() == 1);
    CHECK(again.hasStarted());
}

TEST_CASE_METHOD(JobFixture, "waitingTasks_besideACopyOfADoneTask_countsThoseToPlace")
{
    this->spec.steps.push_back(step(3));
    Job made = this->job();
    CHECK(made.waitingTasks() == 3);
    run(made, key(0, 0), work::RunEndKind::Superseded);
    made.place(key(0, 0), 2, {"w2"}, 1000);
    CHECK(made.waitingTasks() == 2);
    made.endSupersededRun(key(0, 0), 1, work::RunEndKind::Done, 3000);
    // It is done and has a run.
    CHECK(made.waitingTasks() == 2);
    CHECK(made.endRun(key(0, 0), 2, {"w2"}, work::RunEndKind::Stopped, "", 3100));
    CHECK(made.waitingTasks() == 2);
    run(made, key(0, 1), work::RunEndKind::Failed);
    CHECK(made.waitingTasks() == 2);
    CHECK(Job(made.record()).waitingTasks() == 2);
}

TEST_CASE_METHOD(JobFixture, "stepAfterSeveral_isReadyOnceAllAreDone_alsoWhenRestored")
{
    this->spec.steps.push_back(step(1));
    this->spec.steps.push_back(step(1));
    this->spec.steps.push_back(step(1));
    this->spec.steps[2]->after = {0, 1, 0};
    Job made = this->job();
    CHECK(made.isReady(0, 1));
    run(made, key(0, 0), work::RunEndKind::Done);
    CHECK_FALSE(made.isReady(0, 2));
    CHECK_FALSE(Job(made.record()).isReady(0, 2));
    run(made, key(1, 0), work::RunEndKind::Done);
    CHECK(made.isReady(0, 2));
    CHECK(Job(made.record()).isReady(0, 2));
    run(made, key(2, 0), work::RunEndKind::Done);
    CHECK(made.state() == work::JobState::Completed);
}

TEST_CASE_METHOD(JobFixture, "record_ofAJobThatIsOver_keepsItsStateAndTakesNoRuns")
{
    this->spec.steps.push_back(step(2));
    Job made = this->job();
    made.place(key(0, 0), 1, {"w1"}, 1000);
    run(made, key(0, 1), work::RunEndKind::Done);
    made.cancel(2500);
    // A run is under way: what is known of it is still needed.
    CHECK(Job(made.record()).activeRunCount() == 1);
    CHECK(made.endRun(key(0, 0), 1, {"w1"}, work::RunEndKind::Stopped, "", 2600));
    Job again(made.record());
    CHECK(again.state() == work::JobState::Cancelled);
    CHECK(again.isCancelled());
    CHECK(again.endedAtMillis() == 2500);
    CHECK(again.record().occurrences.empty());
    // What comes late changes it no more than the one that was never stored.
    CHECK_FALSE(again.mayPlace(key(0, 0), 2));
    CHECK_FALSE(again.endRun(key(0, 0), 1, {"w1"}, work::RunEndKind::Done, "", 2700));
    again.endSupersededRun(key(0, 0), 1, work::RunEndKind::Done, 2800);
    made.endSupersededRun(key(0, 0), 1, work::RunEndKind::Done, 2800);
    CHECK(again.state() == made.state());
    CHECK(again.endedAtMillis() == made.endedAtMillis());
}

TEST_CASE("problemOf_stepThatNamesALaterOne_isTold")
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

} // namespace paddlepier::workload
