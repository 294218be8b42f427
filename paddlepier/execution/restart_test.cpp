// Workers that restart under the same id.
//
// Guards against a leader that mistakes the new incarnation for the earlier one: tasks that have ended are started again 0.4 s later, and
// jobs of several steps never get beyond their first step although capacity is free.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace paddlepier::execution
{

namespace
{

class RestartFixture : public DispatcherFixture
{
public:
    /** A cell of one worker on which @p ends tasks have ended. */
    void addWorkerWithHistory(std::uint32_t ends)
    {
        this->addWorker("w0");
        this->electLeader();
        this->runFor(absl::Seconds(1));
        this->addJob("before", ends, 50);
        REQUIRE(this->runUntil([this] { return this->isCompleted("before"); }));
        this->runFor(absl::Seconds(1));
    }

    /** The worker crashes, is unresponsive for @p downtime, and restarts under its id. */
    void restart(const std::string &id, Duration downtime = absl::Seconds(1))
    {
        this->workers.workers[id].isCut = true;
        this->runFor(downtime);
        this->restartWorker(id);
        this->runFor(absl::Milliseconds(700));
    }
};

} // namespace

TEST_CASE_METHOD(RestartFixture, "worker_restartedUnderItsId_runsNoTaskAgainThatHasEnded")
{
    this->addWorkerWithHistory(40);
    this->restart("w0");
    this->addJob("after", 10, 300);
    CHECK(this->runUntil([this] { return this->isCompleted("after"); }, absl::Seconds(10)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(RestartFixture, "worker_restartedUnderItsId_leavesNoJobAtItsFirstStep")
{
    this->addWorkerWithHistory(40);
    this->restart("w0");
    this->addJob("steps", 1, 200, 2);
    CHECK(this->runUntil([this] { return this->isCompleted("steps"); }, absl::Seconds(5)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(RestartFixture, "worker_restartedTwice_runsEachTaskOnce")
{
    this->addWorkerWithHistory(40);
    for (const char *job : {"first", "second"}) {
        this->restart("w0");
        this->addJob(job, 6, 300);
        CHECK(this->runUntil([&] { return this->isCompleted(job); }, absl::Seconds(5)));
    }
    CHECK(this->workers.starts == 40 + 12);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(RestartFixture, "startsThatReachTheNextIncarnation_beforeItIsAnnounced_becomeItsRunsAndRunOnce")
{
    this->addWorkerWithHistory(40);
    this->workers.workers["w0"].isCut = true;
    this->runFor(absl::Milliseconds(300));
    this->workers.restart(this->now, "w0");
    // The leader hasn't been notified yet and keeps placing work on the ended incarnation.
    this->addJob("short", 2, 100);
    this->addJob("long", 2, 4000);
    this->runFor(absl::Milliseconds(1200));
    this->announce("w0");
    CHECK(this->runUntil([this] { return this->isCompleted("short") && this->isCompleted("long"); }, absl::Seconds(10)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(RestartFixture, "nextIncarnation_afterAStartReachedIt_keepsTheRunAcrossItsAnnouncement")
{
    this->addWorkerWithHistory(3);
    const workload::Incarnation before = this->incarnationOf("w0");
    this->addJob("long", 1, 4000);
    REQUIRE(this->runUntil([this] { return !this->workers.workers["w0"].runs.empty(); }, absl::Seconds(1)));
    // As if the start had reached the next incarnation only.
    const auto runs = this->workers.workers["w0"].runs;
    this->workers.workers["w0"].isCut = true;
    this->runFor(absl::Milliseconds(300));
    this->workers.restart(this->now, "w0");
    this->workers.workers["w0"].runs = runs;
    this->workers.workers["w0"].leaseEnd = FakeWorkers::clock(this->workers.workers["w0"], this->now) + 9000;
    this->announce("w0");
    this->runFor(absl::Seconds(1));
    CHECK(this->state.findWorker(before) == nullptr);
    CHECK(this->state.findJob("long")->task({"long", 0, 0, 0}).worker == this->incarnationOf("w0"));
    CHECK(this->state.findWorker(this->incarnationOf("w0"))->reservedMilliProcessors == 1000);
    CHECK(this->runUntil([this] { return this->isCompleted("long"); }, absl::Seconds(10)));
    CHECK(this->workers.starts == 4);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(RestartFixture, "worker_restartedUnderItsId_countsAsOneLossForItsRuns")
{
    this->addWorker("w0", 4000, "", true);
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->addJob("a", 1, 60'000);
    const workload::TaskKey task("a", 0, 0, 0);
    for (std::size_t losses = 1; losses <= 2; ++losses) {
        REQUIRE(this->runUntil([&] { return !this->workers.workers["w0"].runs.empty(); }, absl::Seconds(2)));
        const std::string lost = this->incarnationOf("w0").text();
        this->runFor(absl::Milliseconds(200));
        this->restart("w0");
        this->runFor(absl::Milliseconds(500));
        CHECK(this->state.findJob("a")->task(task).lostWorkers.size() == losses);
        CHECK(this->state.findJob("a")->task(task).lostWorkers.back() == lost);
    }
    CHECK(this->state.workers().size() == 1);
}

TEST_CASE_METHOD(RestartFixture, "ordersToTheNextIncarnation_haveAHigherFencingToken")
{
    this->addWorkerWithHistory(3);
    const std::uint64_t before = this->workers.workers["w0"].fence;
    this->restart("w0");
    CHECK(this->workers.workers["w0"].fence > before);
    this->electLeader();
    this->runFor(absl::Seconds(1));
    CHECK(this->workers.workers["w0"].fence == fencingToken(2, 0));
}

TEST_CASE_METHOD(RestartFixture, "poll_afterOneWithoutAnAnswer_acknowledgesNothing")
{
    this->addWorkerWithHistory(3);
    std::vector<std::uint64_t> acknowledged;
    this->onCall = [&](const WorkerCall &call) {
        const auto *poll = std::get_if<PollOrder>(&call.order);
        if (poll != nullptr) {
            acknowledged.push_back(poll->lastSequence);
        }
    };
    this->runFor(absl::Milliseconds(100));
    REQUIRE(acknowledged.back() == 3);
    this->workers.workers["w0"].isCut = true;
    // It runs nothing, and may hold a poll back for two seconds.
    this->runFor(absl::Seconds(3));
    CHECK(acknowledged.back() == 0);
    this->workers.workers["w0"].isCut = false;
    this->runFor(absl::Seconds(2));
    CHECK(acknowledged.back() == 3);
    acknowledged.clear();
    this->electLeader();
    this->runFor(absl::Milliseconds(10));
    REQUIRE(!acknowledged.empty());
    CHECK(acknowledged.front() == 0);
}

TEST_CASE_METHOD(RestartFixture, "listWithoutABirthTime_ofAnIncarnationThatHasReportedIt_isNoAnswer")
{
    this->addWorker("w0", 4000, "", true);
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->addJob("a", 1, 500);
    REQUIRE(this->runUntil([this] { return !this->workers.workers["w0"].runs.empty(); }, absl::Seconds(1)));
    this->workers.workers["w0"].born = 0;
    this->runFor(absl::Seconds(3));
    CHECK_FALSE(this->isCompleted("a"));
    this->workers.workers["w0"].born = this->incarnationOf("w0").born;
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(3)));
    CHECK(this->workers.starts == 1);
}

TEST_CASE("runs_onWorkersThatRestartUnderTheirIds_neverOverlapNorRunAgain", "[proof][fuzz]")
{
    const bool holds = rc::check("no rule is broken, and all jobs end soon after the faults have ended", [] {
        constexpr unsigned int workers = 4;
        RestartFixture fixture;
        fixture.random.seed(*rc::gen::arbitrary<std::uint32_t>());
        for (unsigned int number = 0; number < workers; ++number) {
            fixture.addWorker(absl::StrCat("w", number), 4000, "", number % 2 == 0);
        }
        fixture.electLeader();
        fixture.networkFaults.answerLossPercent = *rc::gen::inRange(0U, 20U);
        fixture.networkFaults.delayPercent = *rc::gen::inRange(0U, 20U);
        std::vector<work::RegisterWorkerT> earlier;
        const int events = *rc::gen::inRange(2, 12);
        for (int event = 0; event < events; ++event) {
            fixture.addJob(absl::StrCat("job", event), 1 + fixture.random() % 8, 50 + fixture.random() % 2000, 1 + fixture.random() % 2);
            fixture.runFor(absl::Milliseconds(fixture.random() % 3000));
            const std::string id = absl::StrCat("w", fixture.random() % workers);
            earlier.push_back(fixture.state.findLatestWorker(id)->registration);
            fixture.workers.workers[id].isCut = true;
            fixture.runFor(absl::Milliseconds(300 + fixture.random() % 2000));
            fixture.workers.restart(fixture.now, id);
            if (fixture.random() % 3 == 0) {
                fixture.electLeader();
            }
            fixture.runFor(absl::Milliseconds(fixture.random() % 1500));
            fixture.announce(id);
            if (fixture.random() % 2 == 0) {
                fixture.apply(earlier[fixture.random() % earlier.size()]); // a delayed heartbeat
            }
        }
        fixture.networkFaults = NetworkFaults();
        const bool haveAllEnded = fixture.runUntil(
            [&] {
                for (int job = 0; job < events; ++job) {
                    if (!fixture.state.findJob(absl::StrCat("job", job))->hasEnded()) {
                        return false;
                    }
                }
                return true;
            },
            absl::Seconds(40));
        RC_ASSERT(fixture.workers.violations == std::vector<std::string>());
        RC_ASSERT(haveAllEnded);
    });
    CHECK(holds);
}

} // namespace paddlepier::execution
