// Gangs whose members can't all start, and workers that are gone, in virtual time.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

class GangFixture : public DispatcherFixture
{
public:
    GangFixture()
    {
        for (const char *id : {"w1", "w2", "w3"}) {
            this->addWorker(id, 1000);
        }
        this->workers.observer = [this](const FakeWorkers::Event &event) {
            const bool isEnd = event.kind == FakeWorkers::EventKind::Ended;
            this->incompleteEnds += isEnd && event.end == work::RunEndKind::GangIncomplete ? 1 : 0;
        };
        this->electLeader();
    }

    /** Calls @p action for the first start of a run on @p id before it arrives. */
    void atFirstStartOn(const std::string &id, const std::function<void(const StartOrder &)> &action)
    {
        this->onCall = [this, id, action](const WorkerCall &call) {
            const auto *start = std::get_if<StartOrder>(&call.order);
            if (start != nullptr && call.worker.id == id && !std::exchange(this->isHandled, true)) {
                action(*start);
            }
        };
    }

    bool isHandled = false;
    int incompleteEnds = 0;
};

/** A gang of three on workers of unequal speed; its fast members complete their own work long before the gang ends. */
class UnevenGangFixture : public GangFixture
{
public:
    UnevenGangFixture()
    {
        this->workers.workers["w3"].speed = 0.1;
        this->workers.observer = [this](const FakeWorkers::Event &event) {
            const bool isEnd = event.kind == FakeWorkers::EventKind::Ended;
            this->unfinishedEnds += isEnd && event.end != work::RunEndKind::Done ? 1 : 0;
        };
        this->onCall = [this](const WorkerCall &call) {
            const auto *stop = std::get_if<StopOrder>(&call.order);
            this->stops += stop == nullptr ? 0 : 1;
        };
        this->addJob("a", 3, 800, 1, false, true);
    }

    std::uint32_t failuresOf(const std::string &worker) const
    {
        return this->dispatcher->findView(this->incarnationOf(worker))->consecutiveFailures;
    }

    const Timestamp startOfTest = this->now;
    int unfinishedEnds = 0;
    int stops = 0;
};

class GoneWorkerFixture : public DispatcherFixture
{
public:
    GoneWorkerFixture()
    {
        this->addWorker("w1");
        this->addWorker("gone");
        this->electLeader();
        this->runFor(absl::Seconds(1));
        this->onCall = [this](const WorkerCall &call) { this->callsToGone += call.worker.id == "gone" ? 1 : 0; };
    }

    int callsIn(Duration time)
    {
        const int before = this->callsToGone;
        this->runFor(time);
        return this->callsToGone - before;
    }

    int callsToGone = 0;
};

} // namespace

TEST_CASE_METHOD(GangFixture, "gang_withAMemberThatIsRefused_leavesNoMemberWaiting")
{
    // As if that run had already been stopped there.
    this->atFirstStartOn("w3", [this](const StartOrder &start) { this->workers.workers["w3"].highestRuns[start.task] = start.run; });
    this->addJob("a", 3, 400, 1, false, true);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(4)));
    CHECK(this->incompleteEnds == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(GangFixture, "gang_withAMemberOnAnUnresponsiveWorker_leavesNoMemberWaiting")
{
    this->atFirstStartOn("w3", [this](const StartOrder &) { this->workers.workers["w3"].isCut = true; });
    this->addJob("a", 3, 400, 1, false, true);
    this->runFor(absl::Seconds(4));
    CHECK(this->incompleteEnds == 0);
    CHECK(this->workers.workers["w1"].runs.empty());
    this->workers.workers["w3"].isCut = false;
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }));
    CHECK(this->incompleteEnds == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(GangFixture, "gang_acrossAChangeOfLeader_restartsCompletely")
{
    // The leader is lost before it has sent one of the starts.
    this->atFirstStartOn("w3", [this](const StartOrder &) { this->workers.workers["w3"].isCut = true; });
    this->addJob("a", 3, 400, 1, false, true);
    REQUIRE(this->runUntil([this] { return this->workers.workers["w1"].runs.size() == 1 && this->isHandled; }, absl::Seconds(1)));
    this->workers.workers["w3"].isCut = false;
    this->electLeader();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(4)));
    CHECK(this->incompleteEnds == 0);
    CHECK(this->workers.violations.empty());
}

// Guards against gangs that are stopped because their fast members, complete at 100 per cent, wait for a slow one.
TEST_CASE_METHOD(UnevenGangFixture, "gangMember_doneBeforeASlowOne_waitsForItWithoutBeingStopped")
{
    REQUIRE(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(10)));
    CHECK(this->now - this->startOfTest > absl::Seconds(7.5));
    CHECK(this->unfinishedEnds == 0);
    CHECK(this->stops == 0);
    CHECK(this->workers.violations.empty());
}

// Guards against a gang that occupies its workers for ever since one member stalls while the others are complete.
TEST_CASE_METHOD(UnevenGangFixture, "gang_whoseLastMemberStalls_isRestartedAndOnlyThatWorkerIsSuspected")
{
    this->workers.workers["w3"].isStalling = true;
    REQUIRE(this->runUntil([this] { return this->stops > 0; }, absl::Seconds(10)));
    CHECK(this->failuresOf("w1") == 0);
    CHECK(this->failuresOf("w2") == 0);
    CHECK(this->failuresOf("w3") == 1);
    this->workers.workers["w3"].isStalling = false;
    this->workers.workers["w3"].speed = 1;
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(15)));
    CHECK(this->workers.violations.empty());
}

// Guards against a gang that occupies its workers for ever since all members are complete but its end never comes.
TEST_CASE_METHOD(UnevenGangFixture, "gang_completeWithoutAnEnd_isRestartedAndNoWorkerIsSuspected")
{
    this->workers.isGangEndLost = true;
    REQUIRE(this->runUntil([this] { return this->stops > 0; }, absl::Seconds(16)));
    for (const char *id : {"w1", "w2", "w3"}) {
        CHECK(this->failuresOf(id) == 0);
    }
    this->workers.isGangEndLost = false;
    this->workers.workers["w3"].speed = 1;
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(15)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(GoneWorkerFixture, "worker_thatHasLeft_isPolledRarely")
{
    this->dispatcher->recordAnnouncement(this->now, {"gone"}, 7, absl::Milliseconds(500));
    this->runFor(absl::Milliseconds(500));
    this->workers.workers["gone"].isCut = true;
    this->runFor(absl::Seconds(3));
    CHECK(this->callsIn(absl::Seconds(10)) <= 5);
}

TEST_CASE_METHOD(GoneWorkerFixture, "worker_unresponsiveForTenSeconds_isPolledRarelyUntilItAnnouncesItself")
{
    this->workers.workers["gone"].isCut = true;
    CHECK(this->callsIn(absl::Seconds(5)) > 5);
    this->runFor(absl::Seconds(7));
    CHECK(this->callsIn(absl::Seconds(5)) <= 3);
    this->workers.workers["gone"].isCut = false;
    this->dispatcher->recordAnnouncement(this->now, {"gone"}, 9, absl::InfiniteDuration());
    CHECK(this->callsIn(absl::Milliseconds(600)) >= 1);
}

} // namespace paddlepier::execution
