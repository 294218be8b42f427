// The beginning of a term: the runs of earlier leaders, and the bounds on polls and starts.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <set>

namespace paddlepier::execution
{

namespace
{

class NewTermFixture : public DispatcherFixture
{
public:
    NewTermFixture()
    {
        this->onCall = [this](const WorkerCall &call) {
            if (const auto *stop = std::get_if<StopOrder>(&call.order)) {
                ++this->stops;
                this->stoppedRuns.insert(stop->run);
            }
            if (const auto *poll = std::get_if<PollOrder>(&call.order)) {
                this->polls.insert(call.id);
                // A worker that hasn't answered yet is polled without a wait.
                this->firstPolls += poll->wait == absl::ZeroDuration() ? 1 : 0;
                this->polledFirst.insert(poll->wait == absl::ZeroDuration() ? call.worker.id : "");
                this->pollTimeouts.push_back(call.timeout);
            }
            if (std::holds_alternative<StartOrder>(call.order)) {
                this->starts.insert(call.id);
                this->maxStartsInFlight = std::max(this->maxStartsInFlight, this->starts.size());
            }
        };
        this->onAnswer = [this](std::uint64_t call) {
            this->polls.erase(call);
            this->starts.erase(call);
        };
    }

    /** A leader whose starts are all lost places the tasks of job `a` on `w1`, and is followed by another leader. */
    void adoptRunsThatNeverStarted(std::uint32_t tasks, bool mayRunCopies = false)
    {
        this->addWorker("w1");
        this->electLeader();
        this->runFor(absl::Seconds(1));
        this->networkFaults.requestLossPercent = 100;
        this->addJob("a", tasks, 1000, 1, mayRunCopies);
        REQUIRE(this->runUntil([this, tasks] { return this->state.findWorker({"w1"})->runs.size() == tasks; }, absl::Seconds(1)));
        this->networkFaults.requestLossPercent = 0;
        this->electLeader();
    }

    std::size_t stops = 0;
    std::set<std::uint32_t> stoppedRuns;
    std::set<std::uint64_t> polls;
    std::set<std::uint64_t> starts;
    std::size_t firstPolls = 0;
    std::set<std::string> polledFirst;
    std::size_t maxStartsInFlight = 0;
    std::vector<Duration> pollTimeouts;
};

} // namespace

TEST_CASE_METHOD(NewTermFixture, "adoptedRun_thatNeverStarted_isPlacedAgainWithoutAStop")
{
    this->adoptRunsThatNeverStarted(4);
    CHECK(this->runUntil([this] { return this->workers.starts == 4; }, absl::Milliseconds(300)));
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(3)));
    CHECK(this->stops == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(NewTermFixture, "adoptedRun_whoseStartArrivesLate_doesNotStart")
{
    this->addWorker("w1");
    this->addWorker("w2");
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->networkFaults.delayPercent = 100;
    this->addJob("a", 4, 1000);
    this->runFor(absl::Milliseconds(60));
    this->networkFaults.delayPercent = 0;
    this->electLeader();
    // The delayed starts are executed after two to twelve seconds.
    this->runFor(absl::Seconds(14));
    CHECK(this->isCompleted("a"));
    CHECK(this->workers.starts == 4);
    CHECK(this->stops == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(NewTermFixture, "adoptedRun_onAWorkerThatIsCutOff_keepsItsTaskAndCapacity")
{
    this->adoptRunsThatNeverStarted(4);
    this->workers.workers["w1"].isCut = true;
    this->addWorker("w2");
    this->runFor(absl::Seconds(8));
    CHECK(this->state.findWorker({"w1"})->runs.size() == 4);
    CHECK(this->workers.starts == 0);
}

TEST_CASE_METHOD(NewTermFixture, "adoptedRun_whoseEndIsBeyondAFullList_isNotRunAgain")
{
    this->addWorker("w1");
    this->electLeader();
    this->addJob("a", 1, 200);
    REQUIRE(this->runUntil([this] { return this->workers.workers["w1"].runs.size() == 1; }, absl::Seconds(1)));
    this->dispatcher.reset();
    FakeWorkers::Worker &worker = this->workers.workers["w1"];
    for (std::uint32_t number = 0; number < 500; ++number) {
        worker.ended.push_back({++worker.lastSequence, workload::TaskKey("forgotten", 0, 0, number), 1, work::RunEndKind::Stopped, ""});
    }
    this->runFor(absl::Milliseconds(300));
    REQUIRE(worker.ended.size() == 501);
    this->electLeader();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(1)));
    CHECK(this->workers.starts == 1);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(NewTermFixture, "supersededRun_ofAnEarlierTermThatNeverStarted_endsWithoutAStop")
{
    this->addWorker("w2");
    this->addWorker("w3");
    this->adoptRunsThatNeverStarted(4, true);
    this->workers.workers["w1"].isCut = true;
    this->runFor(absl::Seconds(1));
    REQUIRE(this->state.findWorker({"w1"})->superseded.size() == 4);
    this->electLeader();
    this->workers.workers["w1"].isCut = false;
    CHECK(this->runUntil([this] { return this->state.findWorker({"w1"})->superseded.empty(); }, absl::Seconds(1)));
    CHECK(this->stops == 0);
    CHECK(this->state.findWorker({"w1"})->freeMilliProcessors() == 4000);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(NewTermFixture, "supersededRun_afterAnEarlierOneOfItsTaskWasSettled_isStoppedToo")
{
    this->addWorker("w1");
    // Two without capacity, so that the late worker isn't half of the workers.
    this->addWorker("w2", 0);
    this->addWorker("w3", 0);
    this->electLeader();
    this->runFor(absl::Milliseconds(1200));
    this->addJob("a", 1, 3000, 1, true);
    const std::map<workload::TaskKey, workload::SupersededRun> &superseded = this->state.findWorker({"w1"})->superseded;
    for (const std::uint32_t run : {1U, 2U}) {
        this->networkFaults.delayPercent = 100;
        REQUIRE(this->runUntil([&] { return !superseded.empty(); }, absl::Seconds(2)));
        REQUIRE(superseded.begin()->second.run == run);
        this->networkFaults.delayPercent = 0;
        REQUIRE(this->runUntil([&] { return superseded.empty(); }, absl::Seconds(2)));
        // Its start may still arrive unless a stop arrives first.
        CHECK(this->stoppedRuns.contains(run));
    }
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(NewTermFixture, "firstPolls_ofManyWorkers_areBoundedPerStep")
{
    for (int number = 0; number < 150; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->electLeader();
    std::size_t maxPerStep = 0;
    for (int step = 0; step < 50; ++step) {
        const std::size_t before = this->firstPolls;
        this->runFor(absl::Milliseconds(10));
        maxPerStep = std::max(maxPerStep, this->firstPolls - before);
    }
    CHECK(this->firstPolls == 150);
    CHECK(maxPerStep <= 32);
}

TEST_CASE_METHOD(NewTermFixture, "firstPolls_overSeveralShortTerms_reachAllWorkers")
{
    for (int number = 0; number < 150; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    for (int term = 0; term < 30; ++term) {
        this->electLeader();
        this->runFor(absl::Milliseconds(10));
    }
    CHECK(this->firstPolls < std::size_t{30} * 150);
    this->polledFirst.erase("");
    CHECK(this->polledFirst.size() == 150);
}

TEST_CASE_METHOD(NewTermFixture, "firstPolls_whereMostWorkersAreCutOff_reachTheOthersInTime")
{
    for (int number = 0; number < 150; ++number) {
        this->addWorker(absl::StrCat("w", number));
        this->workers.workers[absl::StrCat("w", number)].isCut = number % 3 != 0;
    }
    this->electLeader();
    const auto areReached = [this] {
        return std::all_of(this->workers.workers.begin(), this->workers.workers.end(), [](const auto &entry) {
            return entry.second.isCut || entry.second.fence == fencingToken(1, 0);
        });
    };
    CHECK(this->runUntil(areReached, absl::Seconds(2)));
}

TEST_CASE_METHOD(NewTermFixture, "polls_whileMostWorkersOweAnAnswer_haveALongerTimeout")
{
    for (const char *id : {"w1", "w2", "w3"}) {
        this->addWorker(id);
    }
    this->electLeader();
    // Workers with runs are polled often.
    this->addJob("a", 12, 60'000);
    this->runFor(absl::Seconds(4));
    const Duration typicalTimeout = this->pollTimeouts.back();
    for (auto &[id, worker] : this->workers.workers) {
        worker.isCut = true;
    }
    this->runFor(absl::Seconds(2));
    CHECK(this->pollTimeouts.back() > typicalTimeout);
}

TEST_CASE_METHOD(NewTermFixture, "polls_whileAnswersAreHandledLate_haveALongerTimeout")
{
    for (const char *id : {"w1", "w2", "w3"}) {
        this->addWorker(id);
    }
    this->electLeader();
    this->runFor(absl::Seconds(1));
    const Duration typicalTimeout = this->pollTimeouts.back();
    this->answerDelay = absl::Milliseconds(200);
    this->addJob("a", 12, 500);
    this->runFor(absl::Seconds(2));
    CHECK(this->pollTimeouts.back() > typicalTimeout);
}

TEST_CASE_METHOD(NewTermFixture, "gang_atTheBoundOfStarts_isNotSplit")
{
    for (int number = 0; number < 100; ++number) {
        this->addWorker(absl::StrCat("w", number), 8000);
    }
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->addJob("a", 290, 500);
    this->addJob("gang", 60, 500, 1, false, true);
    CHECK(this->runUntil([this] { return this->isCompleted("a") && this->isCompleted("gang"); }, absl::Seconds(5)));
    // Every member is started once: a gang that is split would break.
    CHECK(this->workers.starts == 350);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(NewTermFixture, "starts_whileNoneIsAnswered_areBounded")
{
    for (int number = 0; number < 100; ++number) {
        this->addWorker(absl::StrCat("w", number), 16'000);
    }
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->networkFaults.requestLossPercent = 100;
    this->addJob("a", 1500, 1000);
    this->runFor(absl::Milliseconds(700));
    CHECK(this->maxStartsInFlight > 0);
    CHECK(this->maxStartsInFlight <= 300);
    this->networkFaults.requestLossPercent = 0;
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(NewTermFixture, "answer_ofAWorkerJustRemovedFromTheLedger_isIgnored")
{
    this->addWorker("w1");
    this->electLeader();
    this->runFor(absl::Seconds(1));
    REQUIRE_FALSE(this->polls.empty());
    work::RemoveWorkerT command;
    command.id = "w1";
    this->apply(std::move(command));
    this->runFor(absl::Seconds(1));
    CHECK(this->polls.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "runsOfLostWorkers_whenHalfAreCutOff_moveAfterOneLease")
{
    constexpr std::size_t workerCount = 20;
    for (std::size_t number = 0; number < workerCount; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->addJob("a", workerCount, 60'000);
    REQUIRE(this->runUntil([&] { return this->workers.starts == workerCount; }, absl::Seconds(2)));
    this->runFor(absl::Seconds(1));
    std::size_t lost = 0;
    std::size_t dead = 0;
    for (auto &[id, worker] : this->workers.workers) {
        if (dead < workerCount / 2) {
            ++dead;
            worker.isCut = true;
            lost += worker.runs.size();
        }
    }
    CHECK(this->runUntil([&] { return this->workers.starts >= workerCount + lost; }, absl::Seconds(12)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "fillingRun_throttledByAnEarlierLeader_isReleasedByTheNext")
{
    this->addWorker("w1");
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->submit("f", 1, 60'000, [](work::JobSpecT &, work::StepSpecT &step) { step.isFilling = true; });
    REQUIRE(this->runUntil([this] { return this->workers.starts == 1; }, absl::Seconds(2)));
    // The last speed limit that the earlier leader has ordered.
    std::uint32_t paceAtWorker = 0;
    this->onCall = [&paceAtWorker](const WorkerCall &call) {
        if (const auto *pace = std::get_if<PaceOrder>(&call.order)) {
            paceAtWorker = pace->percent;
        }
    };
    this->electLeader();
    this->runFor(absl::Seconds(5));
    CHECK(paceAtWorker == 100);
}

} // namespace paddlepier::execution
