// Workers that answer polls and take no orders, as when all of their connections but that of the polls are used up: runs and stops must end
// nevertheless, in bounded time.

#include "paddlepier/execution/dispatcherfixture.h"

#include <catch2/catch.hpp>

#include <set>

namespace paddlepier::execution
{

namespace
{

/** The longest lease, on a slow clock, after the time for which a stop is tried, and the placement elsewhere. */
constexpr Duration settleTimeout = absl::Seconds(18);

class OrderSilenceFixture : public DispatcherFixture
{
public:
    OrderSilenceFixture()
    {
        this->addWorker("w0");
        this->electLeader();
        this->runFor(absl::Seconds(1));
        this->delayOf = [this](const WorkerCall &call) {
            const bool isLost = this->withoutOrders.contains(call.worker.id) && !std::holds_alternative<PollOrder>(call.order);
            return isLost ? absl::Hours(1) : absl::ZeroDuration();
        };
        this->workers.observer = [this](const FakeWorkers::Event &event) { this->startsOnSilent += this->isStartOnSilent(event) ? 1 : 0; };
    }

    bool isStartOnSilent(const FakeWorkers::Event &event) const
    {
        return event.kind == FakeWorkers::EventKind::Started && this->withoutOrders.contains(event.worker);
    }

    std::set<std::string> withoutOrders;
    std::size_t startsOnSilent = 0;
};

} // namespace

// Guards against a task that stays placed for good where neither its start nor the stop that would settle it arrives.
TEST_CASE_METHOD(OrderSilenceFixture, "start_onWorkerThatAnswersOnlyPolls_isSettledAndRunsElsewhere")
{
    this->withoutOrders = {"w0"};
    this->addJob("a", 2, 500);
    this->runFor(absl::Seconds(1));
    this->addWorker("w1");
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, settleTimeout));
    CHECK(this->startsOnSilent == 0);
    CHECK(this->workers.violations.empty());
}

// Guards against a cancelled task that runs on for as long as its worker answers polls, since each poll extends its lease.
TEST_CASE_METHOD(OrderSilenceFixture, "stop_ofRunOnWorkerThatAnswersOnlyPolls_endsWithTheLease")
{
    this->submit("watch", 1, 400, [](work::JobSpecT &, work::StepSpecT &step) { step.isLasting = true; });
    REQUIRE(this->runUntil([this] { return !this->workers.workers["w0"].runs.empty(); }, absl::Seconds(2)));
    this->withoutOrders = {"w0"};
    work::CancelJobT cancel;
    cancel.id = "watch";
    this->apply(std::move(cancel));
    this->dispatcher->markChanged();
    CHECK(this->runUntil([this] { return this->workers.workers["w0"].runs.empty(); }, settleTimeout));
    CHECK(this->runUntil([this] { return this->state.findJob("watch")->isFullyEnded(); }, absl::Seconds(2)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(OrderSilenceFixture, "worker_whoseOrdersArriveAgain_isUsedAgain")
{
    this->withoutOrders = {"w0"};
    this->addJob("a", 1, 500);
    this->runFor(absl::Seconds(8));
    this->withoutOrders.clear();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, settleTimeout));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(OrderSilenceFixture, "runs_onWorkerThatLosesSomeOrders_keepTheirLease")
{
    this->addJob("long", 1, 25'000);
    REQUIRE(this->runUntil([this] { return !this->workers.workers["w0"].runs.empty(); }, absl::Seconds(2)));
    this->networkFaults.answerLossPercent = 30;
    this->addJob("short", 6, 500);
    CHECK(this->runUntil([this] { return this->isCompleted("long") && this->isCompleted("short"); }, absl::Seconds(40)));
    CHECK(this->state.findJob("long")->task({"long", 0, 0, 0}).lastRun == 1);
    CHECK(this->workers.violations.empty());
}

} // namespace paddlepier::execution
