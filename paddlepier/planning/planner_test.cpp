// Tests placements, advice requests and preemptions of single plans.

#include "paddlepier/planning/planner.h"
#include "paddlepier/workload/applycommand.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <set>

namespace paddlepier::planning
{

namespace
{

class PlannerFixture
{
public:
    PlannerFixture()
        : planner(this->state, this->views, this->tracks, this->taskBackoff, this->advice, this->typicalRatios)
    {
    }

    template<typename Table>
    workload::Outcome apply(Table table)
    {
        return workload::applyCommand(this->state, this->wallMillis, std::move(table));
    }

    /** Queues `urgent` (priority 0), `slow` (priority 2) and `advised` (priority 1, with a policy). */
    void configure(double decisionMillis = 20)
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        for (const auto &[name, priority] : {std::pair("urgent", 0U), std::pair("slow", 2U), std::pair("advised", 1U)}) {
            auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
            queue->name = name;
            queue->service = "pool";
            queue->priority = priority;
            queue->maxAttempts = 3;
            queue->stretch = 2;
        }
        configuration.queues.back()->advice = std::make_unique<work::AdvicePolicyT>();
        configuration.queues.back()->advice->decisionMillis = decisionMillis;
        configuration.queues.back()->advice->perWorkerMillis = 1;
        configuration.queues.back()->advice->validMillis = 2000;
        configuration.services.emplace_back(std::make_unique<work::ServiceSpecT>())->name = "pool";
        this->apply(std::move(configuration));
    }

    void addWorker(const std::string &id, const std::string &rack = "r1-1", std::uint32_t processors = 4000, const std::string &dataCentre = "d1")
    {
        work::RegisterWorkerT registration;
        registration.id = id;
        registration.zone = dataCentre;
        registration.service = "pool";
        registration.labels = {"a", rack};
        registration.capacity = std::make_unique<work::Demand>(processors, 10'000, 0);
        this->apply(std::move(registration));
        this->views.try_emplace({id}, this->now, absl::Seconds(10)).first->second.recordAnswer(this->now, 1000);
    }

    work::StepSpecT &addJob(const std::string &id, const std::string &queue, std::uint32_t tasks)
    {
        this->pending.id = id;
        this->pending.queue = queue;
        this->pending.spec = std::make_unique<work::JobSpecT>();
        auto &step = this->pending.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = tasks;
        step->estimatedMillis = 1000;
        step->demand = std::make_unique<work::Demand>(1000, 100, 0);
        return *step;
    }

    void submit()
    {
        this->apply(std::move(this->pending));
        this->pending = work::SubmitJobT();
    }

    Plan plan()
    {
        return this->planner.plan(this->now, this->wallMillis);
    }

    /** Executes a plan's placements; the runs are then in phase Running. */
    void place(Plan plan)
    {
        work::PlaceRunsT command;
        for (work::PlacementT &placement : plan.placements) {
            execution::RunTrack track;
            track.worker = workload::incarnationOf(placement);
            track.run = placement.run;
            track.phase = execution::RunPhase::Running;
            this->tracks[workload::TaskKey(*placement.task)] = track;
            command.placements.push_back(std::make_unique<work::PlacementT>(std::move(placement)));
        }
        this->apply(std::move(command));
    }

    /** Adds one worker that is full of runs with checkpoints. */
    void fillWithCheckpointingWork()
    {
        this->configure();
        this->addWorker("w1");
        this->addJob("slow", "slow", 4).isCheckpointing = true;
        this->submit();
        this->place(this->plan());
    }

    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::int64_t wallMillis = 1'000'000;
    workload::Workload state;
    execution::WorkerViews views;
    execution::RunTracks tracks;
    execution::TaskBackoff taskBackoff;
    AdviceCache advice;
    std::map<std::string, double> typicalRatios;
    Planner planner;
    work::SubmitJobT pending;
};

} // namespace

TEST_CASE_METHOD(PlannerFixture, "gang_withoutCapacityForAllMembers_isNotPlaced")
{
    this->configure();
    this->addWorker("w1");
    this->addJob("a", "slow", 5).isGang = true;
    this->submit();
    CHECK(this->plan().placements.empty());
    this->addWorker("w2");
    const Plan plan = this->plan();
    REQUIRE(plan.placements.size() == 5);
    for (const work::PlacementT &placement : plan.placements) {
        CHECK(placement.run == 1);
    }
}

TEST_CASE_METHOD(PlannerFixture, "longAdviceRequests_beyondTheBudget_areDeferredToTheNextPlan")
{
    this->configure(500);
    this->addWorker("w1", "r1-1", 9000);
    for (const char *job : {"a", "b", "c"}) {
        this->wallMillis += 1;
        this->addJob(job, "advised", 1);
        this->submit();
    }
    const Plan first = this->planner.plan(this->now, this->wallMillis, {{2}});
    REQUIRE(first.adviceRequests.size() == 2);
    CHECK(first.adviceRequests[0].step.job == "a");
    CHECK(first.adviceRequests[1].step.job == "b");
    CHECK(this->planner.plan(this->now, this->wallMillis, {{0}}).adviceRequests.empty());
    const Plan next = this->planner.plan(this->now, this->wallMillis, {{1}});
    REQUIRE(next.adviceRequests.size() == 1);
    CHECK(next.adviceRequests[0].step.job == "c");
}

TEST_CASE_METHOD(PlannerFixture, "capacity_whenAStepsRequestCantBeSent_isLeftToAStepWithATicket")
{
    this->configure(500);
    this->addWorker("w1", "r1-1", 1000);
    this->wallMillis += 1;
    this->addJob("first", "advised", 1);
    this->submit();
    this->wallMillis += 1;
    this->addJob("second", "advised", 1);
    this->submit();
    const workload::StepKey second{"second", 0, 0};
    const execution::AdviceRequest request = this->advice.request(this->now, second, "advised", {{"w1"}}, *this->state.findJob("second")->queue().advice);
    execution::AdviceAnswer answer;
    answer.isAnswered = true;
    answer.tickets.emplace_back().worker = "w1";
    this->advice.recordAnswer(this->now, request.id, answer);
    const Plan plan = this->planner.plan(this->now, this->wallMillis, {{0}});
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements[0].task->job == "second");
}

TEST_CASE_METHOD(PlannerFixture, "task_withDataOnARack_isPlacedThereWhileCapacityIsFree")
{
    this->configure();
    this->addWorker("w1", "r1-1");
    this->addWorker("w2", "r1-2", 16'000);
    this->addJob("a", "slow", 4).dataRack = "r1-2";
    this->submit();
    const Plan plan = this->plan();
    REQUIRE(plan.placements.size() == 4);
    for (const work::PlacementT &placement : plan.placements) {
        CHECK(placement.worker == "w2");
    }
}

TEST_CASE_METHOD(PlannerFixture, "step_withALimitPerWorker_doesNotExceedIt")
{
    this->configure();
    this->addWorker("w1");
    this->addWorker("w2");
    this->addJob("a", "slow", 4).mostPerWorker = 1;
    this->submit();
    CHECK(this->plan().placements.size() == 2);
}

TEST_CASE_METHOD(PlannerFixture, "step_withARequiredLabel_isNotPlacedOnOtherWorkers")
{
    this->configure();
    this->addWorker("w1");
    this->addJob("a", "slow", 1).requiredLabel = "b";
    this->submit();
    CHECK(this->plan().placements.empty());
}

TEST_CASE_METHOD(PlannerFixture, "adviceRequest_forAStepWithAPolicy_precedesItsPlacement")
{
    this->configure();
    for (int number = 0; number < 12; ++number) {
        this->addWorker("w" + std::to_string(number));
    }
    this->addJob("a", "advised", 2);
    this->submit();
    const Plan plan = this->plan();
    CHECK(plan.placements.empty());
    REQUIRE(plan.adviceRequests.size() == 1);
    // Naming a worker costs a twentieth of the request, so that several are named at once.
    CHECK(plan.adviceRequests[0].workers.size() >= 7);
    CHECK(this->plan().adviceRequests.empty());
    execution::AdviceAnswer answer;
    answer.isAnswered = true;
    answer.tickets.emplace_back();
    answer.tickets.back().worker = plan.adviceRequests[0].workers[0].id;
    answer.tickets.back().ticket = "t";
    this->advice.recordAnswer(this->now, plan.adviceRequests[0].id, answer);
    const Plan next = this->plan();
    REQUIRE(next.placements.size() == 2);
    CHECK(next.placements[0].worker == plan.adviceRequests[0].workers[0].id);
    this->now += absl::Seconds(3);
    CHECK(this->plan().placements.empty());
}

TEST_CASE_METHOD(PlannerFixture, "urgentWork_withoutFreeCapacity_preemptsCheckpointingWork")
{
    this->fillWithCheckpointingWork();
    this->addJob("quick", "urgent", 2);
    this->submit();
    const Plan plan = this->plan();
    CHECK(plan.placements.empty());
    CHECK(plan.preemptions.size() == 2);
}

TEST_CASE_METHOD(PlannerFixture, "urgentWork_thatIsAlreadyLate_preemptsNothing")
{
    this->fillWithCheckpointingWork();
    this->addJob("quick", "urgent", 2);
    this->submit();
    // Its objective is two seconds, one of which is work.
    this->wallMillis += 1500;
    CHECK(this->plan().preemptions.empty());
    this->addJob("next", "urgent", 1);
    this->submit();
    CHECK(this->plan().preemptions.size() == 1);
}

TEST_CASE_METHOD(PlannerFixture, "urgentWork_shortlyAfterAPreemption_preemptsMoreAfterThePause")
{
    this->fillWithCheckpointingWork();
    this->addJob("quick", "urgent", 1);
    this->submit();
    const Plan first = this->plan();
    REQUIRE(first.preemptions.size() == 1);
    this->tracks.at(first.preemptions[0].run).phase = execution::RunPhase::Stopping;
    this->addJob("quicker", "urgent", 1);
    this->submit();
    this->now += absl::Milliseconds(10);
    CHECK(this->plan().preemptions.empty());
    this->now += absl::Milliseconds(10);
    const Plan next = this->plan();
    REQUIRE(next.preemptions.size() == 1);
    CHECK_FALSE(next.preemptions[0].run == first.preemptions[0].run);
}

TEST_CASE_METHOD(PlannerFixture, "urgentWork_withoutFreeCapacity_doesNotPreemptLastingOrUnsavedWork")
{
    this->configure();
    this->addWorker("w1");
    this->addJob("lasting", "slow", 2).isLasting = true;
    this->submit();
    this->addJob("unsaved", "slow", 2);
    this->submit();
    this->place(this->plan());
    this->addJob("quick", "urgent", 2);
    this->submit();
    CHECK(this->plan().preemptions.empty());
}

TEST_CASE_METHOD(PlannerFixture, "unattainableJob_olderThanAFreshOne_isServedAfterIt")
{
    this->configure();
    this->addJob("old", "slow", 4);
    this->submit();
    this->wallMillis += 60'000;
    this->addJob("fresh", "slow", 4);
    this->submit();
    this->addWorker("w1");
    const Plan plan = this->plan();
    REQUIRE(plan.placements.size() == 4);
    CHECK(plan.placements[0].task->job == "fresh");
}

TEST_CASE_METHOD(PlannerFixture, "drainingAndSuspectWorkers_beforeProbation_getNoWork")
{
    this->configure();
    this->addWorker("w1");
    this->addWorker("w2");
    this->addWorker("w3");
    this->views.at({"w1"}).recordFailedRun(this->now, {"failing", 0, 0}, true);
    this->views.at({"w1"}).recordFailedRun(this->now, {"failing", 0, 0}, true);
    work::RegisterWorkerT draining = this->state.findWorker({"w2"})->registration;
    draining.isDraining = true;
    this->apply(std::move(draining));
    this->addJob("a", "slow", 12);
    this->submit();
    const Plan plan = this->plan();
    REQUIRE(plan.placements.size() == 4);
    CHECK(plan.placements[0].worker == "w3");
    this->now += absl::Seconds(30);
    // After its suspension the suspect worker is tested with one run.
    CHECK(this->plan().placements.size() >= 5);
}

TEST_CASE_METHOD(PlannerFixture, "failedTask_whoseOnlyWorkerHadAFailure_isPlacedThereAfterTheSuspension")
{
    this->configure();
    this->addWorker("w1");
    this->addJob("0000000000000001", "slow", 1);
    this->submit();
    this->place(this->plan());
    work::RecordEndsT failed;
    failed.worker = "w1";
    auto &end = failed.ends.emplace_back(std::make_unique<work::RunEndT>());
    end->task = workload::TaskKey("0000000000000001", 0, 0, 0).record();
    end->run = 1;
    end->kind = work::RunEndKind::Failed;
    this->apply(std::move(failed));
    this->tracks.clear();
    this->views.at({"w1"}).recordFailedRun(this->now, {"failing", 0, 0}, true);
    this->planner.markViewChanged({"w1"});
    CHECK(this->plan().placements.empty());
    // No other run could prove the worker healthy.
    this->now += absl::Seconds(30);
    CHECK(this->plan().placements.size() == 1);
}

TEST_CASE_METHOD(PlannerFixture, "finiteStep_thatFitsIntoOneDataCentre_isPlacedInOne")
{
    this->configure();
    for (const char *id : {"a1", "b1", "c1", "a2", "b2", "c2"}) {
        this->addWorker(id, "r1-1", 4000, std::string(1, id[0]));
    }
    // One task runs on b1, so that the other data centres have more free capacity.
    this->addJob("0000000000000001", "slow", 1);
    this->submit();
    this->place(this->plan());
    this->addJob("0000000000000002", "slow", 6);
    this->submit();
    std::set<char> dataCentres;
    std::set<std::string> workers;
    for (const work::PlacementT &placement : this->plan().placements) {
        dataCentres.insert(placement.worker[0]);
        workers.insert(placement.worker);
    }
    CHECK(dataCentres.size() == 1);
    CHECK(workers.size() == 2);
}

TEST_CASE_METHOD(PlannerFixture, "finiteStep_withRunningTasks_isPlacedInTheirDataCentre")
{
    this->configure();
    this->addWorker("a1", "r1-1", 2000, "a");
    this->addJob("0000000000000001", "slow", 4);
    this->submit();
    this->place(this->plan());
    this->addWorker("a2", "r1-1", 2000, "a");
    this->addWorker("b1", "r1-1", 9000, "b");
    for (const work::PlacementT &placement : this->plan().placements) {
        CHECK(placement.worker == "a2");
    }
}

TEST_CASE_METHOD(PlannerFixture, "finiteStep_widerThanADataCentre_usesOtherDataCentresToo")
{
    this->configure();
    this->addWorker("a1", "r1-1", 4000, "a");
    this->addWorker("b1", "r1-1", 2000, "b");
    this->addJob("0000000000000001", "slow", 6);
    this->submit();
    CHECK(this->plan().placements.size() == 6);
}

TEST_CASE_METHOD(PlannerFixture, "stepWithALimitPerWorker_besideASupersededRun_staysWithinIt")
{
    this->configure();
    this->addWorker("w1");
    work::StepSpecT &step = this->addJob("0000000000000001", "slow", 2);
    step.mayRunCopies = true;
    step.mostPerWorker = 1;
    this->submit();
    this->place(this->plan());
    work::RecordEndsT superseded;
    superseded.worker = "w1";
    auto &end = superseded.ends.emplace_back(std::make_unique<work::RunEndT>());
    end->task = workload::TaskKey("0000000000000001", 0, 0, 0).record();
    end->run = 1;
    end->kind = work::RunEndKind::Superseded;
    this->apply(std::move(superseded));
    CHECK(this->plan().placements.empty());
    this->addWorker("w2");
    const Plan plan = this->plan();
    REQUIRE(plan.placements.size() == 1);
    CHECK(plan.placements[0].worker == "w2");
}

TEST_CASE_METHOD(PlannerFixture, "preemption_amongSeveralJobs_choosesTheYoungestAndSparesTheOldest")
{
    this->configure();
    this->addWorker("w1", "r1-1", 2000);
    this->addWorker("w2", "r1-1", 2000);
    // The IDs sort in the reverse order of age, and each worker runs a task of each job.
    for (const char *id : {"000000000000000c", "000000000000000b"}) {
        work::StepSpecT &step = this->addJob(id, "slow", 2);
        step.isCheckpointing = true;
        step.mostPerWorker = 1;
        this->submit();
        this->place(this->plan());
        this->wallMillis += 100;
    }
    this->addJob("000000000000000d", "urgent", 2);
    this->submit();
    const Plan plan = this->plan();
    REQUIRE(plan.preemptions.size() == 2);
    CHECK(plan.preemptions[0].run.job == "000000000000000b");
    CHECK(plan.preemptions[1].run.job == "000000000000000b");
}

TEST_CASE_METHOD(PlannerFixture, "wideStepOfManyTasks_inAFullCell_evaluatesEachWorkerOnceAndReservedOnesAgain")
{
    constexpr std::uint64_t workers = 50;
    constexpr std::uint32_t tasks = 20;
    this->configure();
    for (std::uint64_t number = 0; number < workers; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->addJob("small", "slow", 4 * workers);
    this->submit();
    this->place(this->plan());
    this->addJob("wide", "urgent", tasks).demand = std::make_unique<work::Demand>(4000, 100, 0);
    this->submit();
    const std::uint64_t before = this->planner.work().capacityForecasts;
    CHECK(this->plan().placements.empty());
    const std::uint64_t forecasts = this->planner.work().capacityForecasts - before;
    CHECK(forecasts >= workers);
    CHECK(forecasts <= workers + tasks);
}

} // namespace paddlepier::planning
