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
