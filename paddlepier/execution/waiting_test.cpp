// Tasks that wait for long: which reason is told, and that none waits without one once a worker has room for it.

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
        this->newLeader();
        this->runFor(absl::Seconds(1));
    }

    /** The reason that is told for @p job once it has waited for long. */
    std::string reasonOf(const std::string &job)
    {
        this->runUntil([&] { return !this->dispatcher->waitOf(job).empty(); }, absl::Seconds(20));
        const std::string text = this->dispatcher->waitOf(job);
        return text.substr(text.find(": ") == std::string::npos ? 0 : text.find(": ") + 2);
    }

    void submitWith(const std::string &id, const std::function<void(work::StepSpecT &)> &change, std::uint32_t tasks = 1)
    {
        this->submit(id, tasks, 500, [&change](work::JobSpecT &, work::StepSpecT &step) { change(step); });
    }
};

} // namespace

TEST_CASE_METHOD(WaitingFixture, "taskThatWaitsForLong_onSoundWorkers_isToldWhy")
{
    this->begin();
    this->submitWith("large", [](work::StepSpecT &step) { step.demand = std::make_unique<work::Demand>(5000, 100, 0); });
    this->submitWith("label", [](work::StepSpecT &step) { step.requiredLabel = "gpu"; });
    this->submitWith(
        "gang", [](work::StepSpecT &step) { step.isGang = true; }, 9);
    this->queueOfJobs = "advised";
    this->permits = [](const workload::StepKey &step, const std::string &) { return step.job != "forbidden"; };
    this->submitWith("forbidden", [](work::StepSpecT &) {});
    CHECK(this->reasonOf("large") == "too-large");
    CHECK(this->reasonOf("label") == "no-worker");
    CHECK(this->reasonOf("gang") == "no-room");
    CHECK(this->reasonOf("forbidden") == "not-permitted");
    this->adviceDelay = absl::Seconds(60);
    this->submitWith("unanswered", [](work::StepSpecT &) {});
    CHECK(this->reasonOf("unanswered") == "advice-awaited");
}

TEST_CASE_METHOD(WaitingFixture, "taskThatWaitsForLong_whileOthersHaveTheRoomOrNobodyAnswers_isToldWhy")
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

TEST_CASE_METHOD(WaitingFixture, "taskThatWorkersRefuse_isToldToBePaused")
{
    this->begin();
    this->workers.refuses = [](const workload::TaskKey &key) { return key.job == "refused"; };
    this->addJob("refused", 1, 500);
    this->runFor(absl::Seconds(60));
    CHECK(this->reasonOf("refused") == "paused");
}

TEST_CASE_METHOD(WaitingFixture, "taskThatIsPlacedAtLast_isToldNoReasonAnyMore")
{
    this->begin();
    this->submitWith("label", [](work::StepSpecT &step) { step.requiredLabel = "gpu"; });
    CHECK(this->reasonOf("label") == "no-worker");
    this->registrations.at("w1").labels = {"gpu"};
    this->announce("w1");
    CHECK(this->runUntil([this] { return this->isCompleted("label"); }, absl::Seconds(3)));
    this->runFor(absl::Seconds(3));
    CHECK(this->dispatcher->waitOf("label").empty());
}

TEST_CASE("tasks_afterAnyFaults_waitNoLongerThanTheirReasonsLast", "[proof][fuzz]")
{
    const bool holds = rc::check("once the faults are over, what a live worker permits and has room for is placed", [] {
        constexpr unsigned int workers = 5;
        WaitingFixture fixture;
        fixture.random.seed(*rc::gen::arbitrary<std::uint32_t>());
        const auto roll = [&fixture](unsigned int sides) { return static_cast<unsigned int>(fixture.random() % sides); };
        for (unsigned int number = 0; number < workers; ++number) {
            fixture.addWorker(absl::StrCat("w", number), 4000, "", true);
        }
        fixture.permits = [](const workload::StepKey &step, const std::string &worker) { return (std::hash<std::string>()(step.job + worker) & 3U) != 0; };
        fixture.workers.crashes = [](const workload::TaskKey &key, std::uint32_t run) { return absl::StartsWith(key.job, "deadly") && run <= 2; };
        fixture.onStep = [&fixture] {
            for (auto &[id, worker] : fixture.workers.workers) {
                if (worker.crashedAt + absl::Seconds(1) <= fixture.now) {
                    fixture.restartWorker(id);
                }
            }
        };
        fixture.newLeader();
        fixture.weather.lostAfter = *rc::gen::inRange(0U, 25U);
        fixture.adviceDelay = absl::Milliseconds(roll(800));
        std::vector<std::string> jobs;
        const int events = *rc::gen::inRange(2, 10);
        for (int event = 0; event < events; ++event) {
            fixture.queueOfJobs = roll(2) == 0 ? "quick" : "advised";
            jobs.push_back(absl::StrCat(roll(5) == 0 ? "deadly" : "job", event));
            fixture.addJob(jobs.back(), 1 + roll(5), 50 + roll(2000), 1 + roll(2), false, roll(5) == 0);
            fixture.runFor(absl::Milliseconds(roll(3000)));
            const std::string id = absl::StrCat("w", roll(workers));
            const unsigned int kind = roll(4);
            if (kind == 0) {
                fixture.newLeader();
            } else if (kind == 1) {
                fixture.workers.crashSilently(fixture.now, id);
            } else if (kind == 2) {
                fixture.setRoom(id, 1000 + 1000 * roll(4));
            } else {
                fixture.workers.workers[id].isCut = !fixture.workers.workers[id].isCut;
            }
        }
        fixture.weather = Weather();
        fixture.adviceDelay = absl::ZeroDuration();
        fixture.runFor(absl::Seconds(2));
        for (unsigned int number = 0; number < workers; ++number) {
            const std::string id = absl::StrCat("w", number);
            fixture.workers.workers[id].isCut = false;
            fixture.setRoom(id, 4000);
        }
        const auto isOver = [&] { return std::all_of(jobs.begin(), jobs.end(), [&](const auto &job) { return fixture.state.findJob(job)->hasEnded(); }); };
        RC_ASSERT(fixture.runUntil(isOver, absl::Seconds(60)));
        RC_ASSERT(fixture.workers.problems == std::vector<std::string>());
    });
    CHECK(holds);
}

} // namespace paddlepier::execution
