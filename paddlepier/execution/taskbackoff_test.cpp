// Tasks that are refused or fail on every worker: they are retried ever more rarely, and their workers stay available to other tasks.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

TEST_CASE_METHOD(DispatcherFixture, "startThatAllWorkersRefuseAsInvalid_isRetriedEverMoreRarely")
{
    for (const char *id : {"w1", "w2", "w3"}) {
        this->addWorker(id);
    }
    std::size_t refused = 0;
    this->workers.isRefused = [&refused](const workload::TaskKey &task) {
        refused += task.job == "bad" ? 1 : 0;
        return task.job == "bad";
    };
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->addJob("bad", 1, 500);
    this->addJob("good", 6, 500);
    CHECK(this->runUntil([this] { return this->isCompleted("good"); }, absl::Seconds(3)));
    this->runFor(absl::Seconds(30));
    CHECK(refused >= 4);
    CHECK(refused <= 12);
    this->workers.isRefused = nullptr;
    CHECK(this->runUntil([this] { return this->isCompleted("bad"); }, absl::Seconds(15)));
}

TEST_CASE_METHOD(DispatcherFixture, "taskThatStallsEverywhere_doesNotBlockItsWorkers")
{
    for (int number = 0; number < 4; ++number) {
        this->addWorker(absl::StrCat("w", number));
        this->workers.workers[absl::StrCat("w", number)].isStalling = true;
    }
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->addJob("hangs", 1, 5000);
    std::set<std::uint32_t> runs;
    this->onCall = [&runs](const WorkerCall &call) {
        if (const auto *start = std::get_if<StartOrder>(&call.order)) {
            runs.insert(start->run);
        }
    };
    REQUIRE(this->runUntil([&runs] { return runs.size() >= 6; }, absl::Seconds(30)));
    for (auto &[id, worker] : this->workers.workers) {
        worker.isStalling = false;
    }
    // If all workers were suspected, each would get one run at a time.
    this->addJob("good", 12, 300);
    CHECK(this->runUntil([this] { return this->isCompleted("good"); }, absl::Milliseconds(700)));
}

TEST_CASE_METHOD(DispatcherFixture, "lastingTaskThatFailsEverywhere_doesNotBlockItsWorkers")
{
    for (int number = 0; number < 4; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->workers.isFailing = [](const workload::TaskKey &task, std::uint32_t) { return task.job == "watch"; };
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->submit("watch", 2, 250, [](work::JobSpecT &, work::StepSpecT &step) { step.isLasting = true; });
    this->runFor(absl::Seconds(10));
    this->addJob("good", 12, 300);
    CHECK(this->runUntil([this] { return this->isCompleted("good"); }, absl::Milliseconds(700)));
}

} // namespace paddlepier::execution
