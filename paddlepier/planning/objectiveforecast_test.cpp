// Forecasts of whether a job can still meet its objective.

#include "paddlepier/planning/objectiveforecast.h"

#include <catch2/catch.hpp>

namespace paddlepier::planning
{

namespace
{

class ObjectiveForecastFixture
{
public:
    ObjectiveForecastFixture()
    {
        this->queue.stretch = 2;
        this->queue.targetLatencyMillis = 500;
        for (const std::uint32_t millis : {1000U, 2000U, 500U}) {
            auto &step = this->spec.steps.emplace_back(std::make_unique<work::StepSpecT>());
            step->count = 1;
            step->estimatedMillis = millis;
            step->demand = std::make_unique<work::Demand>();
        }
        this->spec.steps[1]->after = {0};
    }

    workload::Job job() const
    {
        return {"00000000000000aa", this->queue, this->spec, 10'000};
    }

    work::QueueSpecT queue;
    work::JobSpecT spec;
};

} // namespace

TEST_CASE_METHOD(ObjectiveForecastFixture, "status_ofAnAgeingJob_becomesLateThenUnattainable")
{
    // The objective is 2 x 3000 + 500 ms; the longest chain takes 3000 ms.
    CHECK(forecastObjective(this->job(), 0, 10'000, 1.0).status == ObjectiveStatus::InTime);
    CHECK(forecastObjective(this->job(), 0, 10'000 + 3500, 1.0).status == ObjectiveStatus::InTime);
    CHECK(forecastObjective(this->job(), 0, 10'000 + 3501, 1.0).status == ObjectiveStatus::Late);
    CHECK(forecastObjective(this->job(), 0, 10'000 + 16'500, 1.0).status == ObjectiveStatus::Late);
    CHECK(forecastObjective(this->job(), 0, 10'000 + 16'501, 1.0).status == ObjectiveStatus::Unattainable);
}

// Guards against gangs that are placed as if all workers were equally fast.
TEST_CASE_METHOD(ObjectiveForecastFixture, "predictedDuration_onAWorkerOfHalfTheSpeed_isTwiceAsLong")
{
    execution::WorkerView worker(absl::UnixEpoch(), absl::Seconds(10));
    CHECK(predictedDuration(*this->spec.steps[0], 1.5, worker) == absl::Milliseconds(1500));
    worker.slowness = 2;
    CHECK(predictedDuration(*this->spec.steps[0], 1.5, worker) == absl::Milliseconds(3000));
    this->spec.steps[0]->isLasting = true;
    CHECK(predictedDuration(*this->spec.steps[0], 1.5, worker) == absl::InfiniteDuration());
}

TEST_CASE_METHOD(ObjectiveForecastFixture, "forecast_withAFinishedStep_countsOnlyRemainingSteps")
{
    workload::Job job = this->job();
    job.place({job.id(), 0, 0, 0}, 1, {"w1"}, 1000);
    job.endRun({job.id(), 0, 0, 0}, 1, {"w1"}, work::RunEndKind::Done, "", 11'000);
    CHECK(forecastObjective(job, 0, 10'000 + 4500, 1.0).status == ObjectiveStatus::InTime);
    CHECK(forecastObjective(job, 0, 10'000 + 4501, 1.0).status == ObjectiveStatus::Late);
}

TEST_CASE_METHOD(ObjectiveForecastFixture, "objective_whenRunsTakeLongerThanEstimated_isExtended")
{
    CHECK(forecastObjective(this->job(), 0, 10'000 + 3501, 2.0).status == ObjectiveStatus::InTime);
}

TEST_CASE_METHOD(ObjectiveForecastFixture, "age_ofAScheduledOccurrence_startsWhenItIsDue")
{
    this->spec.repetitions = 2;
    this->spec.firstDueMillis = 50'000;
    this->spec.intervalMillis = 1000;
    CHECK(forecastObjective(this->job(), 0, 53'500, 1.0).status == ObjectiveStatus::InTime);
    CHECK(forecastObjective(this->job(), 0, 53'501, 1.0).status == ObjectiveStatus::Late);
    CHECK(forecastObjective(this->job(), 1, 54'500, 1.0).status == ObjectiveStatus::InTime);
}

} // namespace paddlepier::planning
