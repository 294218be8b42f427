// Tasks whose starts come to nothing, on workers that aren't to blame.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

TEST_CASE_METHOD(DispatcherFixture, "startThatAllWorkersRefuseAsInvalid_isTriedEverMoreSeldom")
{
    for (const char *id : {"w1", "w2", "w3"}) {
        this->addWorker(id);
    }
    std::size_t refused = 0;
    this->workers.refuses = [&refused](const workload::TaskKey &task) {
        refused += task.job == "bad" ? 1 : 0;
        return task.job == "bad";
    };
    this->newLeader();
    this->runFor(absl::Seconds(1));
    this->addJob("bad", 1, 500);
    this->addJob("good", 6, 500);
    CHECK(this->runUntil([this] { return this->isCompleted("good"); }, absl::Seconds(3)));
    this->runFor(absl::Seconds(30));
    CHECK(refused >= 4);
    CHECK(refused <= 12);
    this->workers.refuses = nullptr;
    CHECK(this->runUntil([this] { return this->isCompleted("bad"); }, absl::Seconds(15)));
}

TEST_CASE_METHOD(DispatcherFixture, "taskThatStandsStillEverywhere_leavesItsWorkersTheirWork")
{
    for (int number = 0; number < 4; ++number) {
        this->addWorker(absl::StrCat("w", number));
        this->workers.workers[absl::StrCat("w", number)].stalls = true;
    }
    this->newLeader();
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
        worker.stalls = false;
    }
    // Were all of them under suspicion, one run at a time would go to each.
    this->addJob("good", 12, 300);
    CHECK(this->runUntil([this] { return this->isCompleted("good"); }, absl::Milliseconds(700)));
}

TEST_CASE_METHOD(DispatcherFixture, "lastingTaskThatFailsEverywhere_leavesItsWorkersTheirWork")
{
    for (int number = 0; number < 4; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->workers.fails = [](const workload::TaskKey &task, std::uint32_t) { return task.job == "watch"; };
    this->newLeader();
    this->runFor(absl::Seconds(1));
    this->submit("watch", 2, 250, [](work::JobSpecT &, work::StepSpecT &step) { step.isLasting = true; });
    this->runFor(absl::Seconds(10));
    this->addJob("good", 12, 300);
    CHECK(this->runUntil([this] { return this->isCompleted("good"); }, absl::Milliseconds(700)));
}

} // namespace paddlepier::execution
