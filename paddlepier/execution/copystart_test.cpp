// Starts of one run of a task that are still in transit when another run of it ends as done.
//
// Guards against a copy that starts after the task was done: the end of run 1 had been acknowledged to its worker when the start of run 2,
// which had been in transit over lossy links, was executed 1.03 s later.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

const workload::TaskKey task("a", 0, 0, 0);

class CopyStartFixture : public DispatcherFixture
{
public:
    CopyStartFixture()
    {
        this->delayOf = [this](const WorkerCall &call) {
            const auto *start = std::get_if<StartOrder>(&call.order);
            const bool isDelayed = call.worker.id == this->slowWorker && !std::holds_alternative<PollOrder>(call.order);
            this->slowStarts += isDelayed && start != nullptr ? 1 : 0;
            return isDelayed ? this->delay : absl::ZeroDuration();
        };
        this->workers.observer = [this](const FakeWorkers::Event &event) {
            if (event.kind == FakeWorkers::EventKind::Acknowledged && event.task == task && event.end == work::RunEndKind::Done) {
                this->isAcknowledged = true;
            }
        };
    }

    /** Run 1 of a task of @p millis runs on `w1`, and the start of its copy on `w2` is in transit for four seconds. */
    void delayStartOfCopy(std::uint32_t millis)
    {
        this->addWorker("w1");
        this->electLeader();
        this->addJob("a", 1, millis, 1, true);
        REQUIRE(this->runUntil([this] { return this->workers.workers["w1"].runs.contains(task); }, absl::Seconds(1)));
        this->addWorker("w2");
        // Without capacity, so that the cut-off worker isn't half of the workers.
        this->addWorker("w3", 0);
        this->dispatcher->markChanged();
        this->runFor(absl::Milliseconds(200));
        this->slowWorker = "w2";
        this->workers.workers["w1"].isCut = true;
        REQUIRE(this->runUntil([this] { return this->slowStarts == 1; }, absl::Seconds(2)));
        this->workers.workers["w1"].isCut = false;
    }

    bool isRecorded() const
    {
        return this->state.findJob("a")->task(task).isDone;
    }

    /** The worker whose orders, other than polls, arrive late. */
    std::string slowWorker;
    Duration delay = absl::Seconds(4);
    std::size_t slowStarts = 0;
    bool isAcknowledged = false;
};

} // namespace

TEST_CASE_METHOD(CopyStartFixture, "startOfACopy_inTransitWhenTheFirstRunEnds_isNotExecutedAfterTheAcknowledgement")
{
    this->delayStartOfCopy(2000);
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Seconds(3)));
    REQUIRE(this->runUntil([this] { return this->workers.starts == 2; }, absl::Seconds(5)));
    CHECK_FALSE(this->isAcknowledged);
    this->slowWorker.clear();
    CHECK(this->runUntil([this] { return this->isAcknowledged; }, absl::Seconds(3)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopyStartFixture, "completedJob_whileAStartIsInTransit_isReportedAsOneThatMayStillStart")
{
    this->delayStartOfCopy(2000);
    REQUIRE(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(3)));
    CHECK(this->dispatcher->mayStillStart("a"));
    this->slowWorker.clear();
    CHECK(this->runUntil([this] { return !this->dispatcher->mayStillStart("a"); }, absl::Seconds(2)));
    this->runFor(absl::Seconds(5));
    CHECK(this->workers.starts == 1);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopyStartFixture, "startOfASupersededRun_inTransitWhenTheCopyEnds_isNotExecutedAfterTheAcknowledgement")
{
    this->addWorker("w1");
    this->addWorker("w2", 0);
    this->addWorker("w3", 0);
    this->electLeader();
    this->runFor(absl::Milliseconds(1200));
    this->slowWorker = "w1";
    this->addJob("a", 1, 500, 1, true);
    REQUIRE(this->runUntil([this] { return this->slowStarts == 1; }, absl::Seconds(1)));
    this->workers.workers["w2"].capacity = 4000;
    this->setCapacity("w2", 4000);
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Seconds(3)));
    REQUIRE(this->runUntil([this] { return this->workers.starts == 2; }, absl::Seconds(5)));
    CHECK_FALSE(this->isAcknowledged);
    this->slowWorker.clear();
    CHECK(this->runUntil([this] { return this->isAcknowledged; }, absl::Seconds(3)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopyStartFixture, "startOfASupersededRun_onAWorkerThatDoesNotAnswer_isStoppedAtOnce")
{
    this->addWorker("w1");
    this->addWorker("w2", 0);
    this->addWorker("w3", 0);
    this->electLeader();
    this->runFor(absl::Milliseconds(1200));
    this->slowWorker = "w1";
    this->addJob("a", 1, 500, 1, true);
    REQUIRE(this->runUntil([this] { return this->slowStarts == 1; }, absl::Seconds(1)));
    this->workers.workers["w1"].isCut = true;
    this->workers.workers["w2"].capacity = 4000;
    this->setCapacity("w2", 4000);
    std::size_t earlyStops = 0;
    std::size_t stops = 0;
    this->onCall = [&](const WorkerCall &call) {
        if (std::holds_alternative<StopOrder>(call.order) && call.worker.id == "w1") {
            ++(this->isRecorded() ? stops : earlyStops);
        }
    };
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Seconds(3)));
    REQUIRE(earlyStops == 0);
    CHECK(this->runUntil([&stops] { return stops == 1; }, absl::Milliseconds(60)));
}

TEST_CASE_METHOD(CopyStartFixture, "startOfACopy_sentByAnEarlierLeader_isNotExecutedAfterTheAcknowledgement")
{
    this->delayStartOfCopy(2000);
    this->workers.workers["w2"].isCut = true;
    this->electLeader();
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Seconds(3)));
    this->runFor(absl::Milliseconds(1500));
    CHECK_FALSE(this->isAcknowledged);
    // The earlier leader's start arrives now, before any order of this one.
    this->workers.workers["w2"].isCut = false;
    this->slowWorker.clear();
    CHECK(this->runUntil([this] { return this->isAcknowledged; }, absl::Seconds(4)));
    this->runFor(absl::Seconds(4));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopyStartFixture, "endOfATask_recordedByAnEarlierLeader_isNotAcknowledgedWhileACopyMayStart")
{
    this->delayStartOfCopy(2000);
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Seconds(3)));
    this->workers.workers["w2"].isCut = true;
    this->electLeader();
    this->runFor(absl::Seconds(1));
    CHECK_FALSE(this->isAcknowledged);
    this->workers.workers["w2"].isCut = false;
    CHECK(this->runUntil([this] { return this->isAcknowledged; }, absl::Seconds(2)));
    this->runFor(absl::Seconds(5));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopyStartFixture, "startOfACopy_whileItsAnswerIsDue_isStoppedAtOnce")
{
    // The run ends before the start of its copy times out.
    this->delayStartOfCopy(1000);
    std::size_t stops = 0;
    this->onCall = [&stops](const WorkerCall &call) { stops += std::holds_alternative<StopOrder>(call.order) && call.worker.id == "w2" ? 1 : 0; };
    this->slowWorker.clear();
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Milliseconds(800)));
    CHECK(this->runUntil([this] { return this->isAcknowledged; }, absl::Milliseconds(150)));
    CHECK(stops == 1);
    this->runFor(absl::Seconds(5));
    CHECK(this->workers.starts == 1);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(CopyStartFixture, "laterEnds_whileAnAcknowledgementIsHeldBack_areRecorded")
{
    this->delayStartOfCopy(2000);
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Seconds(3)));
    std::size_t polls = 0;
    this->onCall = [&polls](const WorkerCall &call) { polls += std::holds_alternative<PollOrder>(call.order) && call.worker.id == "w1" ? 1 : 0; };
    this->setCapacity("w2", 0);
    this->addJob("b", 4, 100, 3);
    CHECK(this->runUntil([this] { return this->isCompleted("b"); }, absl::Milliseconds(700)));
    CHECK_FALSE(this->isAcknowledged);
    // The one that is held back, and those of job b: all are listed still.
    CHECK(this->workers.workers["w1"].ended.size() == 13);
    // A list that isn't empty is answered at once.
    polls = 0;
    this->runFor(absl::Milliseconds(500));
    CHECK_FALSE(this->isAcknowledged);
    CHECK(polls <= 20);
}

TEST_CASE_METHOD(CopyStartFixture, "acknowledgement_whileTheWorkerOfTheCopyIsCutOff_isHeldBackForOneLease")
{
    this->delayStartOfCopy(2000);
    this->workers.workers["w2"].isCut = true;
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Seconds(3)));
    this->runFor(absl::Seconds(5));
    CHECK_FALSE(this->isAcknowledged);
    CHECK(this->runUntil([this] { return this->isAcknowledged; }, absl::Seconds(6)));
}

TEST_CASE_METHOD(CopyStartFixture, "acknowledgement_whileASupersededRunHasStarted_isNotHeldBack")
{
    this->addWorker("w1");
    this->electLeader();
    this->addJob("a", 1, 2000, 1, true);
    REQUIRE(this->runUntil([this] { return this->workers.workers["w1"].runs.contains(task); }, absl::Seconds(1)));
    this->addWorker("w2");
    this->addWorker("w3");
    this->dispatcher->markChanged();
    this->runFor(absl::Milliseconds(200));
    // The run ends with its lease; it can't start again.
    this->workers.workers["w1"].isCut = true;
    REQUIRE(this->runUntil([this] { return this->isRecorded(); }, absl::Seconds(5)));
    CHECK(this->runUntil([this] { return this->isAcknowledged; }, absl::Milliseconds(100)));
    CHECK(this->workers.violations.empty());
}

} // namespace paddlepier::execution
