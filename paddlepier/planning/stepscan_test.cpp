// Plans over a large backlog: their cost is bounded, and no step is kept from being placed by earlier ones that can't use the free capacity.

#include "paddlepier/planning/fakecell.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace paddlepier::planning
{

namespace
{

/** Ten idle workers of 4 processors, and a backlog of steps that none of them can run. */
class ScanFixture
{
public:
    static constexpr std::size_t backlog = 1000;
    static constexpr std::uint32_t totalProcessors = 40;

    ScanFixture()
    {
        for (std::uint32_t number = 0; number < totalProcessors / 4; ++number) {
            work::RegisterWorkerT registration;
            registration.id = absl::StrCat("w", number);
            registration.zone = "d0";
            registration.service = "pool";
            registration.labels = {"a", "r0-0"};
            registration.capacity = std::make_unique<work::Demand>(4000, 10'000, 0);
            this->cell.views.try_emplace({registration.id}, this->cell.now, absl::Seconds(10)).first->second.recordAnswer(this->cell.now, 1000);
            this->cell.apply(std::move(registration));
        }
    }

    /** Submits a job of tasks of one processor and a hundred seconds. */
    template<typename Change>
    void submit(const std::string &id, const std::string &queue, std::uint32_t tasks, Change change)
    {
        work::SubmitJobT command;
        command.id = id;
        command.queue = queue;
        command.spec = std::make_unique<work::JobSpecT>();
        auto &step = command.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = tasks;
        step->estimatedMillis = 100'000;
        step->demand = std::make_unique<work::Demand>(1000, 100, 0);
        change(*step);
        this->cell.apply(std::move(command));
    }

    template<typename Change>
    void submitBacklog(std::uint32_t tasks, Change change)
    {
        for (std::size_t number = 0; number < backlog; ++number) {
            this->submit(absl::StrCat("blocked-", number), "plain", tasks, change);
        }
    }

    void cancelBacklog()
    {
        for (std::size_t number = 0; number < backlog; ++number) {
            work::CancelJobT command;
            command.id = absl::StrCat("blocked-", number);
            this->cell.apply(std::move(command));
        }
    }

    /** The first of the given number of plans that places a task. */
    std::optional<int> firstPlacement(int plans)
    {
        for (int number = 0; number < plans; ++number) {
            if (!this->cell.plan().placements.empty()) {
                return number;
            }
        }
        return std::nullopt;
    }

    std::size_t requestsOf(int plans)
    {
        std::size_t requests = 0;
        for (int number = 0; number < plans; ++number) {
            requests += this->cell.plan().adviceRequests.size();
        }
        return requests;
    }

    std::uint64_t examinedByAPlan()
    {
        const std::uint64_t before = this->cell.planner.work().stepsExamined;
        this->cell.plan();
        return this->cell.planner.work().stepsExamined - before;
    }

    static void requireMissingLabel(work::StepSpecT &step)
    {
        step.requiredLabel = "missing";
        // Without an objective, it is in time forever.
        step.isLasting = true;
    }

    FakeCell cell{1, 0};
};

/** A full cell with the given number of waiting tasks. */
class FullCell : public FakeCell
{
public:
    explicit FullCell(std::uint64_t waitingTasks)
        : FakeCell(7, workers)
    {
        this->fill(std::size_t{14} * workers);
        std::uint64_t waiting = 0;
        while (waiting < waitingTasks) {
            this->addWaitingSteps(stepsAtOnce);
            waiting = 0;
            for (const std::string &id : this->state.waitingJobs()) {
                waiting += this->state.findJob(id)->waitingTasks();
            }
        }
    }

    /** The most steps that one of several plans examines. */
    std::uint64_t mostExamined()
    {
        constexpr int plans = 10;
        std::uint64_t most = 0;
        for (int number = 0; number < plans; ++number) {
            const std::uint64_t before = this->planner.work().stepsExamined;
            this->execute(this->plan());
            most = std::max(most, this->planner.work().stepsExamined - before);
            this->endRuns(0.002);
            this->advance(absl::Milliseconds(6));
        }
        return most;
    }

private:
    static constexpr std::uint32_t workers = 350;
    static constexpr std::size_t stepsAtOnce = 100;
};

} // namespace

// Guards against plans whose cost grows with the backlog: with 1,500 waiting steps they took most of the leader's time.
TEST_CASE("plan_withTwentyThousandWaitingTasks_examinesABoundedNumberOfSteps")
{
    constexpr std::uint64_t maxExamined = 900;
    CHECK(FullCell(20'000).mostExamined() <= maxExamined);
    CHECK(FullCell(40'000).mostExamined() <= maxExamined);
}

// Guards against head-of-line blocking by the limit of examined steps.
TEST_CASE_METHOD(ScanFixture, "step_behindABacklogThatCannotUseTheFreeCapacity_isPlaced")
{
    constexpr int maxPlans = 110;
    SECTION("steps that no free worker may run")
    {
        this->submitBacklog(4, requireMissingLabel);
    }
    SECTION("gangs that fit nowhere")
    {
        this->submitBacklog(totalProcessors + 1, [](work::StepSpecT &step) { step.isGang = true; });
    }
    this->cell.advance(absl::Milliseconds(10));
    this->submit("last", "plain", 1, [](work::StepSpecT &) {});
    CHECK(this->examinedByAPlan() <= 110);
    CHECK(this->firstPlacement(maxPlans).has_value());
}

// Guards against advice that is requested in vain, and against jobs that never get any because they are unattainable.
TEST_CASE_METHOD(ScanFixture, "unattainableJob_besideABacklogInTime_requestsAdviceOnlyAfterwards")
{
    constexpr int plans = 110;
    this->submit("old", "long", 1, [](work::StepSpecT &step) { step.estimatedMillis = 1000; });
    this->cell.advance(absl::Minutes(1));
    this->submitBacklog(4, requireMissingLabel);
    CHECK(this->requestsOf(plans) == 0);
    this->cancelBacklog();
    CHECK(this->requestsOf(1) == 1);
}

// Guards against a reason that names an answer, although no advice was requested.
TEST_CASE_METHOD(ScanFixture, "unattainableJob_besideABacklogInTime_reportsThatItsAdviceIsWithheld")
{
    this->submit("old", "long", 1, [](work::StepSpecT &step) { step.estimatedMillis = 1000; });
    this->cell.advance(absl::Minutes(1));
    this->submitBacklog(4, requireMissingLabel);
    this->cell.plan();
    this->cell.planner.findLongWaits(this->cell.now, this->cell.wallMillis);
    this->cell.advance(longWaitThreshold);
    this->cell.plan();
    for (std::size_t call = 0; call < backlog && this->cell.planner.longWaitOf("old") == nullptr; ++call) {
        this->cell.planner.findLongWaits(this->cell.now, this->cell.wallMillis);
    }
    REQUIRE(this->cell.planner.longWaitOf("old") != nullptr);
    CHECK(std::string(nameOf(this->cell.planner.longWaitOf("old")->reason)) == "advice-withheld");
}

} // namespace paddlepier::planning
