// Workers that are to get no more starts while some are under way: draining ones, and those that don't offer any more what a step requires.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <string>

namespace paddlepier::execution
{

namespace
{

/** How long after the confirmation a worker that drains may still be started something, for the shortest bound of any deployment. */
constexpr Duration drainBound = absl::Seconds(2);

/** Time from the confirmation to the departure. */
constexpr Duration stay = absl::Seconds(6);

class DrainFixture : public DispatcherFixture
{
public:
    static constexpr unsigned int workerCount = 4;

    DrainFixture()
    {
        for (unsigned int number = 0; number < workerCount; ++number) {
            const std::string id = absl::StrCat("w", number);
            this->addWorker(id);
            this->registrations.at(id).labels = {"a", "r1"};
            this->apply(this->registrations.at(id));
        }
        this->electLeader();
        this->runFor(absl::Seconds(1));
        this->onCall = [this](const WorkerCall &call) {
            const bool isStart = std::holds_alternative<StartOrder>(call.order);
            const auto barred = this->barredSince.find(call.worker.id);
            this->lateStarts += isStart && barred != this->barredSince.end() && barred->second < this->now ? 1 : 0;
            if (isStart && this->onStart) {
                this->onStart(call);
            }
        };
        this->workers.observer = [this](const FakeWorkers::Event &event) {
            const auto barred = this->barredSince.find(event.worker);
            const bool isLate = barred != this->barredSince.end() && barred->second + drainBound < this->now;
            this->startedLate += event.kind == FakeWorkers::EventKind::Started && isLate ? 1 : 0;
            this->stoppedRuns += event.kind == FakeWorkers::EventKind::Ended && event.end == work::RunEndKind::Stopped ? 1 : 0;
        };
    }

    void drain(const std::string &id)
    {
        work::RegisterWorkerT &registration = this->registrations.at(id);
        registration.isDraining = true;
        this->announce(id);
        this->dispatcher->recordAnnouncement(this->now, this->incarnationOf(id), registration.sequence, stay);
        this->barredSince[id] = this->now;
    }

    /** The worker executes and answers nothing until restoreAll(), though its announcements arrive. */
    void hang(const std::string &id)
    {
        this->workers.workers[id].isCut = true;
    }

    void restoreAll()
    {
        for (auto &[id, worker] : this->workers.workers) {
            worker.isCut = false;
        }
    }

    std::string workerOf(const workload::TaskKey &key) const
    {
        return this->state.findJob(key.job)->task(key).worker.id;
    }

    /** When each worker was barred from further starts. */
    std::map<std::string, Timestamp> barredSince;
    std::function<void(const WorkerCall &)> onStart;
    /** Starts sent to barred workers. */
    std::size_t lateStarts = 0;
    /** Starts that barred workers have executed after the bound. */
    std::size_t startedLate = 0;
    std::size_t stoppedRuns = 0;
};

} // namespace

// Guards against a start that is sent again to a worker long after its drain was confirmed, since only placements looked at the drain.
TEST_CASE_METHOD(DrainFixture, "unansweredStart_onWorkerThatDrainsMeanwhile_isNotSentAgain")
{
    const auto hangMillis = GENERATE(300, 1000, 2000, 4000, 9000);
    const auto drains = GENERATE(1U, 3U);
    CAPTURE(hangMillis, drains);
    for (unsigned int number = 0; number < drains; ++number) {
        this->hang(absl::StrCat("w", number));
    }
    this->addJob("a", 12, 500);
    REQUIRE(this->runUntil([this] { return this->state.findJob("a")->activeRunCount() == 12; }, absl::Seconds(1)));
    this->runFor(absl::Milliseconds(50));
    for (unsigned int number = 0; number < drains; ++number) {
        this->drain(absl::StrCat("w", number));
    }
    this->runFor(absl::Milliseconds(hangMillis));
    this->restoreAll();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(20)));
    CHECK(this->lateStarts == 0);
    CHECK(this->startedLate == 0);
    CHECK(this->workers.violations.empty());
}

// Guards against a start that is held for a silent worker and sent once the worker answers, although it has begun to drain.
TEST_CASE_METHOD(DrainFixture, "startHeldForSilentWorker_thatDrainsBeforeItAnswers_isStopped")
{
    this->onStart = [this](const WorkerCall &call) {
        if (call.worker.id == "w0") {
            this->hang("w0");
        }
    };
    this->addJob("a", 16, 500);
    REQUIRE(this->runUntil([this] { return this->workers.workers["w0"].isCut; }, absl::Seconds(1)));
    this->runFor(absl::Seconds(2));
    this->drain("w0");
    this->runFor(absl::Seconds(1));
    this->restoreAll();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(10)));
    CHECK(this->lateStarts == 0);
    CHECK(this->workers.violations.empty());
}

// Guards against a start that is committed with the drain of its worker, or right before it, and sent after it.
TEST_CASE_METHOD(DrainFixture, "placementInFlight_whenItsWorkerDrains_goesElsewhereAtOnce")
{
    const auto delaySteps = GENERATE(1, 2, 3);
    CAPTURE(delaySteps);
    this->addJob("a", 12, 300);
    this->runFor(absl::Milliseconds(10 * delaySteps));
    this->drain("w0");
    const Timestamp drained = this->now;
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(2)));
    CHECK(this->now - drained < absl::Milliseconds(800));
    CHECK(this->lateStarts == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DrainFixture, "runsOnDrainingWorker_goOnUntilTheyEnd")
{
    this->addJob("a", 16, 2000);
    REQUIRE(this->runUntil([this] { return this->workers.starts == 16; }, absl::Seconds(1)));
    this->drain("w0");
    this->drain("w1");
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(3)));
    CHECK(this->workers.starts == 16);
    CHECK(this->stoppedRuns == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DrainFixture, "startOnItsWay_whenItsWorkerDrains_goesOnIfTheWorkerAcceptsIt")
{
    this->answerDelay = absl::Milliseconds(120);
    this->addJob("a", 16, 1500);
    REQUIRE(this->runUntil([this] { return this->workers.starts == 16; }, absl::Seconds(1)));
    this->drain("w0");
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(4)));
    CHECK(this->workers.starts == 16);
    CHECK(this->stoppedRuns == 0);
    CHECK(this->lateStarts == 0);
}

// Guards against starts that have left the leader's queue for another instance, and are sent from there after its conditions have changed.
TEST_CASE_METHOD(DrainFixture, "start_thatWaitsInAnyInstance_isSentWithinTheDrainBound")
{
    std::size_t starts = 0;
    this->onStart = [this, &starts](const WorkerCall &call) {
        ++starts;
        CHECK(call.conditions.sendBy < this->now + drainBound);
    };
    this->addJob("a", 4, 300);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(2)));
    CHECK(starts == 4);
}

TEST_CASE_METHOD(DrainFixture, "startThatWaitsInThisProcess_whenItsWorkerDrains_isWithdrawn")
{
    SendConditions conditions;
    this->onStart = [this, &conditions](const WorkerCall &call) {
        if (call.worker.id == "w0" && !conditions.start) {
            conditions = call.conditions;
            this->hang("w0");
        }
    };
    this->addJob("a", 16, 300);
    REQUIRE(this->runUntil([&conditions] { return conditions.start.has_value(); }, absl::Seconds(1)));
    CHECK(conditions.hold(this->now));
    this->drain("w0");
    this->runFor(absl::Milliseconds(20));
    CHECK_FALSE(conditions.hold(this->now));
}

TEST_CASE_METHOD(DrainFixture, "newLeader_afterADrain_sendsNoStartOfTheEarlierOne")
{
    this->hang("w0");
    this->addJob("a", 16, 500);
    this->runFor(absl::Milliseconds(200));
    this->drain("w0");
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->restoreAll();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(20)));
    CHECK(this->lateStarts == 0);
    CHECK(this->startedLate == 0);
}

// Guards against a start on a worker that has lost the required label, or whose service has become a spare one, since the task was placed.
TEST_CASE_METHOD(DrainFixture, "unansweredStart_onWorkerThatBecomesIneligible_isNotSentAgain")
{
    const auto change = GENERATE(0, 1, 2);
    CAPTURE(change);
    this->hang("w0");
    this->submit("a", 16, 500, [](work::JobSpecT &, work::StepSpecT &step) { step.requiredLabel = "a"; });
    REQUIRE(this->runUntil([this] { return this->state.findJob("a")->activeRunCount() == 16; }, absl::Seconds(1)));
    this->runFor(absl::Milliseconds(50));
    if (change == 0) {
        this->registrations.at("w0").labels = {"b", "r1"};
        this->announce("w0");
        this->barredSince["w0"] = this->now;
    } else if (change == 1) {
        this->registrations.at("w0").service = "other";
        this->announce("w0");
        this->barredSince["w0"] = this->now;
    } else {
        work::ChangeConfigurationT configuration = this->state.configuration();
        ++configuration.version;
        configuration.services.front()->isSpare = true;
        this->apply(std::move(configuration));
        this->dispatcher->markChanged();
        this->barredSince["w0"] = this->now;
    }
    this->runFor(absl::Seconds(3));
    this->restoreAll();
    this->runFor(absl::Seconds(3));
    CHECK(this->lateStarts == 0);
    CHECK(this->startedLate == 0);
    // Nothing but the starts that were under way is lost.
    CHECK(this->stoppedRuns == 0);
    CHECK((change == 2 || this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(10))));
}

} // namespace paddlepier::execution
