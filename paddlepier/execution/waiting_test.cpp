// Tasks that wait beyond the reporting threshold: the reason that is reported, and that none waits without one once a worker has free capacity.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace paddlepier::execution
{

namespace
{

class WaitingFixture : public DispatcherFixture
{
public:
    /** A cell of two workers of 4 processors. */
    void begin()
    {
        this->addWorker("w0");
        this->addWorker("w1");
        this->electLeader();
        this->runFor(absl::Seconds(1));
    }

    /** The reason that is reported for @p job once it has waited beyond the threshold. */
    std::string reasonOf(const std::string &job)
    {
        this->runUntil([&] { return !this->dispatcher->longWaitReason(job).empty(); }, absl::Seconds(20));
        const std::string text = this->dispatcher->longWaitReason(job);
        return text.substr(text.find(": ") == std::string::npos ? 0 : text.find(": ") + 2);
    }

    void submitWith(const std::string &id, const std::function<void(work::StepSpecT &)> &change, std::uint32_t tasks = 1)
    {
        this->submit(id, tasks, 500, [&change](work::JobSpecT &, work::StepSpecT &step) { change(step); });
    }
};

/** Five workers that restart under their ids; each may run most of the jobs, but not all. */
class FaultsFixture : public WaitingFixture
{
public:
    static constexpr unsigned int workerCount = 5;

    explicit FaultsFixture(std::uint32_t seed)
    {
        this->random.seed(seed);
        this->hasRelay = seed % 2 == 1;
        for (unsigned int number = 0; number < workerCount; ++number) {
            this->addWorker(absl::StrCat("w", number), 4000, "", true);
        }
        this->isPermitted = [](const workload::StepKey &step, const std::string &worker) { return (std::hash<std::string>()(step.job + worker) & 3U) != 0; };
        this->workers.isCrashing = [](const workload::TaskKey &key, std::uint32_t run) { return absl::StartsWith(key.job, "deadly") && run <= 2; };
        this->onStep = [this] {
            for (auto &[id, worker] : this->workers.workers) {
                if (worker.crashedAt + absl::Seconds(1) <= this->now) {
                    this->restartWorker(id);
                }
            }
        };
        this->electLeader();
    }

    /** Submits jobs to both queues with faults between them, and then ends the faults. */
    void injectFaults(unsigned int answerLossPercent, int events)
    {
        this->networkFaults.answerLossPercent = answerLossPercent;
        this->adviceDelay = absl::Milliseconds(this->randomBelow(800));
        for (int event = 0; event < events; ++event) {
            this->queueOfJobs = this->randomBelow(2) == 0 ? "quick" : "advised";
            this->jobs.push_back(absl::StrCat(this->randomBelow(5) == 0 ? "deadly" : "job", event));
            this->addJob(this->jobs.back(), 1 + this->randomBelow(5), 50 + this->randomBelow(2000), 1 + this->randomBelow(2), false, this->randomBelow(5) == 0);
            this->runFor(absl::Milliseconds(this->randomBelow(3000)));
            const std::string id = absl::StrCat("w", this->randomBelow(workerCount));
            this->injectFault(id, this->randomBelow(4));
        }
        this->networkFaults = NetworkFaults();
        this->adviceDelay = absl::ZeroDuration();
        this->runFor(absl::Seconds(2));
        for (unsigned int number = 0; number < workerCount; ++number) {
            const std::string id = absl::StrCat("w", number);
            this->workers.workers[id].isCut = false;
            this->setCapacity(id, 4000);
        }
    }

    /** True once all jobs have ended, except gangs that are larger than the workers that may run them, which are reported as lacking capacity. */
    bool allJobsSettle()
    {
        const auto isSettled = [this](const std::string &job) {
            return this->fitsOnPermittedWorkers(job) ? this->state.findJob(job)->hasEnded()
                                                     : absl::EndsWith(this->dispatcher->longWaitReason(job), ": no-room");
        };
        return this->runUntil([&] { return std::all_of(this->jobs.begin(), this->jobs.end(), isSettled); }, absl::Seconds(60));
    }

private:
    bool fitsOnPermittedWorkers(const std::string &id) const
    {
        const workload::Job &job = *this->state.findJob(id);
        const work::StepSpecT &step = job.stepSpec(0);
        std::uint32_t free = 0;
        for (const auto &[worker, registration] : this->registrations) {
            const bool mayRunHere = job.queue().advice == nullptr || this->isPermitted({id, 0, 0}, worker);
            free += mayRunHere ? registration.capacity->milliProcessors() : 0;
        }
        return !step.isGang || step.count * step.demand->milliProcessors() <= free;
    }

    unsigned int randomBelow(unsigned int bound)
    {
        return static_cast<unsigned int>(this->random() % bound);
    }

    void injectFault(const std::string &id, unsigned int kind)
    {
        if (kind == 0) {
            this->electLeader();
        } else if (kind == 1) {
            this->workers.crashSilently(this->now, id);
        } else if (kind == 2) {
            this->setCapacity(id, 1000 + 1000 * this->randomBelow(4));
        } else {
            this->workers.workers[id].isCut = !this->workers.workers[id].isCut;
        }
    }

    std::vector<std::string> jobs;
};

} // namespace

TEST_CASE_METHOD(WaitingFixture, "taskThatWaitsBeyondTheThreshold_onHealthyWorkers_reportsItsReason")
{
    this->begin();
    this->submitWith("large", [](work::StepSpecT &step) { step.demand = std::make_unique<work::Demand>(5000, 100, 0); });
    this->submitWith("label", [](work::StepSpecT &step) { step.requiredLabel = "gpu"; });
    this->submitWith(
        "gang", [](work::StepSpecT &step) { step.isGang = true; }, 9);
    this->queueOfJobs = "advised";
    this->isPermitted = [](const workload::StepKey &step, const std::string &) { return step.job != "forbidden"; };
    this->submitWith("forbidden", [](work::StepSpecT &) {});
    CHECK(this->reasonOf("large") == "too-large");
    CHECK(this->reasonOf("label") == "no-worker");
    CHECK(this->reasonOf("gang") == "no-room");
    CHECK(this->reasonOf("forbidden") == "not-permitted");
    this->adviceDelay = absl::Seconds(60);
    this->submitWith("unanswered", [](work::StepSpecT &) {});
    CHECK(this->reasonOf("unanswered") == "advice-awaited");
}

TEST_CASE_METHOD(WaitingFixture, "taskThatWaitsBeyondTheThreshold_withoutCapacityOrResponsiveWorkers_reportsItsReason")
{
    this->begin();
    this->addJob("others", 8, 60'000);
    this->runFor(absl::Milliseconds(200));
    this->addJob("full", 1, 500);
    CHECK(this->reasonOf("full") == "no-room");
    this->workers.workers["w0"].isCut = true;
    this->workers.workers["w1"].isCut = true;
    this->addJob("silent", 1, 500);
    CHECK(this->reasonOf("silent") == "workers-unusable");
}

TEST_CASE_METHOD(WaitingFixture, "taskThatWorkersRefuse_reportsItsBackoff")
{
    this->begin();
    this->workers.isRefused = [](const workload::TaskKey &key) { return key.job == "refused"; };
    this->addJob("refused", 1, 500);
    this->runFor(absl::Seconds(60));
    CHECK(this->reasonOf("refused") == "paused");
}

TEST_CASE_METHOD(WaitingFixture, "taskThatIsFinallyPlaced_reportsNoReasonAnyMore")
{
    this->begin();
    this->submitWith("label", [](work::StepSpecT &step) { step.requiredLabel = "gpu"; });
    CHECK(this->reasonOf("label") == "no-worker");
    this->registrations.at("w1").labels = {"gpu"};
    this->announce("w1");
    CHECK(this->runUntil([this] { return this->isCompleted("label"); }, absl::Seconds(3)));
    this->runFor(absl::Seconds(3));
    CHECK(this->dispatcher->longWaitReason("label").empty());
}

TEST_CASE("tasks_afterAnyFaults_waitNoLongerThanTheirReasonsLast", "[proof][fuzz]")
{
    const bool holds = rc::check("after the faults have ended, each task that a live worker permits and has capacity for is placed", [] {
        FaultsFixture fixture(*rc::gen::arbitrary<std::uint32_t>());
        const auto answerLossPercent = *rc::gen::inRange(0U, 25U);
        fixture.injectFaults(answerLossPercent, *rc::gen::inRange(2, 10));
        RC_ASSERT(fixture.allJobsSettle());
        RC_ASSERT(fixture.workers.violations == std::vector<std::string>());
    });
    CHECK(holds);
}

TEST_CASE("gang_largerThanTheWorkersThatMayRunIt_afterFaults_reportsLackOfCapacity")
{
    FaultsFixture fixture(1158);
    fixture.injectFaults(9, 3);
    CHECK(fixture.allJobsSettle());
    CHECK(fixture.workers.violations.empty());
}

} // namespace paddlepier::execution
