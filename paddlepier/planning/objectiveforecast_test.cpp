// Whether a job can still meet its objective.

#include "paddlepier/planning/objectiveforecast.h"

#include <catch2/catch.hpp>

namespace paddlepier::planning
{

namespace
{

class OutlookFixture
{
public:
    OutlookFixture()
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

TEST_CASE_METHOD(OutlookFixture, "outlook_ofAgeingJob_getsLateThenHopeless")
{
    // Objective 2 x 3000 + 500; the longest chain takes 3000.
    CHECK(prospectOf(this->job(), 0, 10'000, 1.0).outlook == Outlook::InTime);
    CHECK(prospectOf(this->job(), 0, 10'000 + 3500, 1.0).outlook == Outlook::InTime);
    CHECK(prospectOf(this->job(), 0, 10'000 + 3501, 1.0).outlook == Outlook::Late);
    CHECK(prospectOf(this->job(), 0, 10'000 + 16'500, 1.0).outlook == Outlook::Late);
    CHECK(prospectOf(this->job(), 0, 10'000 + 16'501, 1.0).outlook == Outlook::Hopeless);
}

TEST_CASE_METHOD(OutlookFixture, "outlook_withAStepDone_countsOnlyWhatIsLeft")
{
    workload::Job job = this->job();
    job.place({job.id(), 0, 0, 0}, 1, {"w1"}, 1000);
    job.endRun({job.id(), 0, 0, 0}, 1, {"w1"}, work::RunEndKind::Done, "", 11'000);
    CHECK(prospectOf(job, 0, 10'000 + 4500, 1.0).outlook == Outlook::InTime);
    CHECK(prospectOf(job, 0, 10'000 + 4501, 1.0).outlook == Outlook::Late);
}

TEST_CASE_METHOD(OutlookFixture, "outlook_whereRunsTakeLongerThanEstimated_isWidened")
{
    CHECK(prospectOf(this->job(), 0, 10'000 + 3501, 2.0).outlook == Outlook::InTime);
}

TEST_CASE_METHOD(OutlookFixture, "outlook_ofScheduledOccurrence_beginsWhenItIsDue")
{
    this->spec.repetitions = 2;
    this->spec.firstDueMillis = 50'000;
    this->spec.intervalMillis = 1000;
    CHECK(prospectOf(this->job(), 0, 53'500, 1.0).outlook == Outlook::InTime);
    CHECK(prospectOf(this->job(), 0, 53'501, 1.0).outlook == Outlook::Late);
    CHECK(prospectOf(this->job(), 1, 54'500, 1.0).outlook == Outlook::InTime);
}

} // namespace paddlepier::planning
