// The order in which waiting steps are planned if capacity is scarce.

#include "paddlepier/planning/steporder.h"
#include "paddlepier/workload/applycommand.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

namespace paddlepier::planning
{

namespace
{

class StepOrderFixture
{
public:
    StepOrderFixture()
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        for (const auto &[name, priority] : {std::pair("first", 0U), std::pair("slow", 2U)}) {
            auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
            queue->name = name;
            queue->priority = priority;
            queue->stretch = 3;
        }
        this->apply(std::move(configuration));
        work::RegisterWorkerT registration;
        registration.id = "w";
        registration.capacity = std::make_unique<work::Demand>(100'000, 100'000, 0);
        this->apply(std::move(registration));
    }

    template<typename Table>
    void apply(Table table)
    {
        workload::applyCommand(this->state, this->wallMillis, std::move(table));
    }

    /** Submits a job of two steps of one second each; its objective is six seconds. */
    void submit(const std::string &id, std::int64_t atMillis, const std::string &queue = "slow")
    {
        this->wallMillis = atMillis;
        work::SubmitJobT command;
        command.id = id;
        command.queue = queue;
        command.spec = std::make_unique<work::JobSpecT>();
        for (std::uint32_t number = 0; number < 2; ++number) {
            auto &step = command.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
            step->count = 2;
            step->estimatedMillis = 1000;
            step->demand = std::make_unique<work::Demand>(1000, 100, 0);
        }
        command.spec->steps[1]->after = {0};
        this->apply(std::move(command));
    }

    /** Places the first task of the job, and ends its run with @p kind if one is given. */
    void start(const std::string &job, std::optional<work::RunEndKind> kind = std::nullopt)
    {
        work::PlaceRunsT command;
        auto &placement = command.placements.emplace_back(std::make_unique<work::PlacementT>());
        placement->task = workload::TaskKey(job, 0, 0, 0).record();
        placement->run = 1;
        placement->worker = "w";
        this->apply(std::move(command));
        if (kind) {
            work::RecordEndsT ends;
            ends.worker = "w";
            auto &end = ends.ends.emplace_back(std::make_unique<work::RunEndT>());
            end->task = workload::TaskKey(job, 0, 0, 0).record();
            end->run = 1;
            end->kind = *kind;
            this->apply(std::move(ends));
        }
    }

    std::vector<std::string> order(std::int64_t atMillis)
    {
        std::vector<std::string> jobs;
        for (const PendingStep &pending : this->stepOrder.collect(atMillis)) {
            jobs.push_back(pending.key.job);
        }
        return jobs;
    }

    std::int64_t wallMillis = 0;
    workload::Workload state;
    const std::map<std::string, double> typicalRatios;
    const ObjectiveForecaster forecaster{this->typicalRatios};
    StepOrder stepOrder{this->state, this->forecaster};
};

} // namespace

TEST_CASE_METHOD(StepOrderFixture, "startedJob_youngerThanOthers_precedesJobsNotStarted")
{
    this->submit("older", 1000);
    this->submit("begun", 1100);
    this->submit("preempted", 1200);
    this->start("begun");
    this->start("preempted", work::RunEndKind::Stopped);
    CHECK(this->order(1300) == std::vector<std::string>{"begun", "preempted", "older"});
}

TEST_CASE_METHOD(StepOrderFixture, "job_withTooLittleSlackToStart_followsThoseWithEnough")
{
    this->submit("old", 1000);
    this->submit("young", 3000);
    // Of its six seconds, 3.5 are left for two seconds of work.
    CHECK(this->order(3500) == std::vector<std::string>{"old", "young"});
    // Now 3.3 are left, which is too little: the tasks aren't all placed at the same time.
    CHECK(this->order(3700) == std::vector<std::string>{"young", "old"});
    this->start("old");
    CHECK(this->order(3700) == std::vector<std::string>{"old", "young"});
}

TEST_CASE_METHOD(StepOrderFixture, "jobOfAnUrgentQueue_besideAStartedJob_comesFirst")
{
    this->submit("begun", 1000);
    this->start("begun");
    this->submit("urgent", 1100, "first");
    CHECK(this->order(1200).front() == "urgent");
}

TEST_CASE_METHOD(StepOrderFixture, "order_afterChangesAndTime_equalsOneBuiltFromScratch")
{
    const auto orderBuiltFromScratch = [this](std::int64_t atMillis) {
        StepOrder rebuilt(this->state, this->forecaster);
        std::vector<std::string> jobs;
        for (const PendingStep &pending : rebuilt.collect(atMillis)) {
            jobs.push_back(pending.key.job);
        }
        return jobs;
    };
    for (int number = 0; number < 60; ++number) {
        const std::string id = "job-" + std::to_string(number * 37 % 60);
        this->submit(id, 1000 + 150 * number, number % 4 == 0 ? "first" : "slow");
        if (number % 3 == 0) {
            this->start(id, number % 2 == 0 ? std::optional(work::RunEndKind::Stopped) : std::nullopt);
        }
        if (number % 7 == 6) {
            work::CancelJobT command;
            command.id = id;
            this->apply(std::move(command));
        }
        REQUIRE(this->order(this->wallMillis) == orderBuiltFromScratch(this->wallMillis));
    }
    // From here on only time changes the order, until all jobs are unattainable.
    for (std::int64_t millis = this->wallMillis; millis < 40'000; millis += 170) {
        REQUIRE(this->order(millis) == orderBuiltFromScratch(millis));
    }
}

TEST_CASE_METHOD(StepOrderFixture, "changedJob_amongManyWaiting_isTheOnlyOneReordered")
{
    for (int number = 0; number < 500; ++number) {
        this->submit("job-" + std::to_string(number), 1000);
    }
    this->order(1000);
    const std::uint64_t before = this->stepOrder.reorderedJobs();
    this->start("job-77");
    this->order(1010);
    CHECK(this->stepOrder.reorderedJobs() - before == 1);
    this->order(1020);
    CHECK(this->stepOrder.reorderedJobs() - before == 1);
}

} // namespace paddlepier::planning
