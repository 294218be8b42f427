// Incarnations that are removed from the ledger and join it again, while orders and proposals of the time before are under way.
//
// Guards against a leader that applies such an answer to the worker's new view: a worker that is fenced off by it gets no more orders in this term.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace paddlepier::execution
{

namespace
{

class RejoinFixture : public DispatcherFixture
{
public:
    RejoinFixture()
    {
        this->onCall = [this](const WorkerCall &call) { this->lastCall = call.id; };
        this->addWorker("w0");
        this->electLeader();
        this->runFor(absl::Seconds(1));
    }

    /** Removes the worker from the ledger, as a vanished one, and has the same incarnation join again. */
    void rejoin()
    {
        work::RemoveWorkerT command;
        command.id = "w0";
        this->apply(std::move(command));
        this->runFor(absl::Milliseconds(20));
        this->announce("w0");
        this->runFor(absl::Milliseconds(200));
    }

    std::uint64_t lastCall = 0;
};

} // namespace

TEST_CASE_METHOD(RejoinFixture, "fencedAnswer_toAnOrderBeforeTheRejoin_isIgnored")
{
    this->answerDelay = absl::Seconds(30);
    this->runFor(absl::Milliseconds(100));
    const std::uint64_t earlierCall = this->lastCall;
    this->answerDelay = absl::Milliseconds(10);
    this->rejoin();
    WorkerAnswer fenced;
    fenced.kind = AnswerKind::Fenced;
    this->dispatcher->handleAnswer(this->now, earlierCall, fenced);
    this->addJob("a", 1, 200);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(2)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(RejoinFixture, "startsWithoutAnswer_ofRemovedWorkers_dontSuspendPlacing")
{
    const std::vector<std::string> large{"large0", "large1", "large2", "large3"};
    for (const std::string &id : large) {
        this->addWorker(id, 90'000);
    }
    this->runFor(absl::Seconds(1));
    this->answerDelay = absl::Seconds(30);
    this->addJob("many", 340, 60'000);
    this->runFor(absl::Seconds(2));
    this->answerDelay = absl::Milliseconds(10);
    for (const std::string &id : large) {
        work::RemoveWorkerT command;
        command.id = id;
        this->apply(std::move(command));
    }
    this->runFor(absl::Milliseconds(20));
    const auto earlierStarts = this->workers.starts;
    REQUIRE(earlierStarts >= 300);
    this->rejoin();
    this->addJob("a", 1, 200);
    CHECK(this->runUntil([this, earlierStarts] { return this->workers.starts > earlierStarts; }, absl::Seconds(4)));
}

TEST_CASE_METHOD(RejoinFixture, "worker_thatRejoinsInTheStepOfItsRemoval_getsOrders")
{
    // Answers arrive in every step, also between the commit of the removal and the dispatcher's next step.
    constexpr std::uint32_t otherWorkers = 40;
    for (std::uint32_t number = 1; number <= otherWorkers; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->runFor(absl::Seconds(1));
    this->workers.workers["w0"].hasEnded = true;
    this->onAnswer = [this](std::uint64_t) {
        if (this->workers.workers["w0"].hasEnded && this->state.findWorker({"w0"}) == nullptr) {
            this->workers.workers["w0"].hasEnded = false;
            this->announce("w0");
        }
    };
    REQUIRE(this->runUntil([this] { return !this->workers.workers["w0"].hasEnded; }, absl::Seconds(5)));
    this->runFor(absl::Milliseconds(500));
    this->addJob("a", 4 * (otherWorkers + 1), 500);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Milliseconds(900)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "stopInFlight_whileItsRunMovesToALaterIncarnation_isSentAgain")
{
    this->addWorker("w0", 4000, "", true);
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->workers.restart(this->now, "w0");
    this->answerDelay = absl::Milliseconds(200);
    this->delayOf = [](const WorkerCall &call) { return std::holds_alternative<StopOrder>(call.order) ? absl::Seconds(60) : absl::ZeroDuration(); };
    this->addJob("a", 1, 60'000);
    REQUIRE(this->runUntil([this] { return !this->workers.workers["w0"].runs.empty(); }, absl::Milliseconds(500)));
    work::CancelJobT cancel;
    cancel.id = "a";
    this->apply(std::move(cancel));
    this->dispatcher->markChanged();
    this->runFor(absl::Milliseconds(50));
    this->announce("w0");
    this->runFor(absl::Milliseconds(500));
    this->answerDelay = absl::Milliseconds(10);
    this->delayOf = [](const WorkerCall &) { return absl::ZeroDuration(); };
    CHECK(this->runUntil([this] { return this->workers.workers["w0"].runs.empty(); }, absl::Seconds(5)));
    CHECK(this->workers.violations.empty());
}

} // namespace paddlepier::execution
