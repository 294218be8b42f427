// Orders relayed by instances that fail, are slow or stop, in virtual time. Without a hedge an order that is lost with its
// relay costs a quick job its whole slack; without a bound on hedges a slow leader would overload itself. A refusal must
// not end an order whose other copy may still be executed, and watches must end with their relay.

#include "paddlepier/cluster/orderrelay.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace paddlepier::cluster
{

namespace
{

using execution::AnswerKind;

class OrderRelayFixture
{
public:
    OrderRelayFixture()
        : orderRelay(this->makeHooks())
    {
        this->permit->extendTo(absl::InfiniteFuture());
        this->orderRelay.markAlive(this->now, "north-1", "north");
    }

    RelayHooks makeHooks()
    {
        RelayHooks hooks;
        hooks.sendDirect = [this](const execution::WorkerCall &, const OrderRelay::Done &done) { this->direct.push_back(done); };
        hooks.sendVia =
            [this](const std::string &instance, const execution::WorkerCall &, Timestamp deadline, const std::function<void(const RelayResult &)> &done) {
                this->relayNames.push_back(instance);
                this->viaRelay.push_back(done);
                this->timers.emplace(deadline, [this, number = this->viaRelay.size() - 1] { this->endRelayed(number, {RelayOutcome::TimedOut, {}}); });
            };
        hooks.runAt = [this](Timestamp at, const std::function<void()> &action) { this->timers.emplace(at, action); };
        hooks.now = [this] { return this->now; };
        return hooks;
    }

    void order(execution::Order order = execution::StartOrder{{"a", 0, 0, 0}, 1, "", "", ""},
               const std::string &worker = "w",
               const std::string &dataCentre = "north")
    {
        execution::WorkerCall call;
        call.worker = {worker};
        call.timeout = absl::Milliseconds(900);
        call.order = std::move(order);
        call.conditions = this->conditions;
        this->orderRelay.send({this->workerCount, dataCentre}, call, [this](const execution::WorkerAnswer &answer) { this->answers.push_back(answer.kind); });
    }

    void advance(Duration time)
    {
        const Timestamp end = this->now + time;
        while (!this->timers.empty() && this->timers.begin()->first <= end) {
            this->now = this->timers.begin()->first;
            const auto action = std::move(this->timers.begin()->second);
            this->timers.erase(this->timers.begin());
            action();
        }
        this->now = end;
    }

    void endRelayed(std::size_t number, const RelayResult &relayed)
    {
        if (const auto done = std::exchange(this->viaRelay.at(number), nullptr)) {
            done(relayed);
        }
    }

    void answerRelayed(std::size_t number, AnswerKind kind)
    {
        this->endRelayed(number, {RelayOutcome::Answered, answerOf(kind)});
    }

    static execution::WorkerAnswer answerOf(AnswerKind kind)
    {
        execution::WorkerAnswer answer;
        answer.kind = kind;
        return answer;
    }

    std::size_t workerCount = 350;
    /** The permit of the leader's term. */
    std::shared_ptr<execution::SendPermit> permit = std::make_shared<execution::SendPermit>();
    execution::SendConditions conditions{this->permit, {}};
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::multimap<Timestamp, std::function<void()>> timers;
    std::deque<OrderRelay::Done> direct;
    std::deque<std::function<void(const RelayResult &)>> viaRelay;
    /** The instances that the orders in `viaRelay` were sent through. */
    std::vector<std::string> relayNames;
    std::vector<AnswerKind> answers;
    OrderRelay orderRelay;
};

} // namespace

TEST_CASE_METHOD(OrderRelayFixture, "order_answeredInTime_isNotHedged")
{
    this->order();
    REQUIRE(this->viaRelay.size() == 1);
    this->advance(absl::Milliseconds(20));
    this->answerRelayed(0, AnswerKind::Accepted);
    this->advance(absl::Seconds(2));
    CHECK(this->direct.empty());
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
}

TEST_CASE_METHOD(OrderRelayFixture, "start_relayLost_isHedgedWithinAThirdOfASecond")
{
    this->order();
    this->advance(absl::Milliseconds(300));
    REQUIRE(this->direct.size() == 1);
    this->direct[0](answerOf(AnswerKind::Accepted));
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
    // The next order doesn't use that relay, and a later result of the first one changes nothing.
    this->order();
    CHECK(this->direct.size() == 2);
    CHECK(this->viaRelay.size() == 1);
    this->advance(absl::Seconds(2));
    CHECK(this->answers.size() == 1);
}

TEST_CASE_METHOD(OrderRelayFixture, "relay_answeringOtherOrders_isNotExcludedForUnresponsiveWorker")
{
    this->order();
    this->advance(absl::Milliseconds(100));
    this->order();
    this->answerRelayed(1, AnswerKind::Accepted);
    this->advance(absl::Milliseconds(200));
    CHECK(this->direct.size() == 1);
    // The first order has no answer, but the relay delivered the second.
    this->order();
    CHECK(this->viaRelay.size() == 3);
}

TEST_CASE_METHOD(OrderRelayFixture, "relay_answeringNothing_isExcludedWithinAThirdOfASecond")
{
    this->order();
    this->advance(absl::Milliseconds(100));
    this->order();
    this->advance(absl::Milliseconds(200));
    const std::size_t relayed = this->viaRelay.size();
    this->order();
    this->order(execution::PollOrder{});
    CHECK(this->viaRelay.size() == relayed);
}

TEST_CASE_METHOD(OrderRelayFixture, "refusal_otherAttemptPending_doesNotEndOrder")
{
    this->order();
    this->advance(absl::Milliseconds(300));
    this->direct.at(0)(answerOf(AnswerKind::BadTicket));
    CHECK(this->answers.empty());
    SECTION("the relay doesn't respond: the order may still be executed")
    {
        this->advance(absl::Seconds(2));
        CHECK(this->answers == std::vector{AnswerKind::NoAnswer});
    }
    SECTION("the relay has delivered it to the worker")
    {
        this->answerRelayed(0, AnswerKind::Accepted);
        CHECK(this->answers == std::vector{AnswerKind::Accepted});
    }
    SECTION("the worker refuses the second copy too")
    {
        this->answerRelayed(0, AnswerKind::NoRoom);
        CHECK(this->answers == std::vector{AnswerKind::BadTicket});
    }
    SECTION("the relay is stopping and hasn't sent it")
    {
        this->endRelayed(0, {RelayOutcome::Declined, {}});
        REQUIRE(this->direct.size() == 2);
        this->direct[1](answerOf(AnswerKind::BadTicket));
        CHECK(this->answers == std::vector{AnswerKind::BadTicket});
    }
}

TEST_CASE_METHOD(OrderRelayFixture, "refusalFromRelay_hedgePending_waitsForHedge")
{
    this->order();
    this->advance(absl::Milliseconds(300));
    this->answerRelayed(0, AnswerKind::Unhealthy);
    CHECK(this->answers.empty());
    this->direct.at(0)(answerOf(AnswerKind::Accepted));
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
}

TEST_CASE_METHOD(OrderRelayFixture, "start_unansweredInSmallCell_isHedged")
{
    this->workerCount = 40;
    this->order();
    CHECK(this->viaRelay.empty());
    REQUIRE(this->direct.size() == 1);
    this->advance(absl::Milliseconds(300));
    REQUIRE(this->direct.size() == 2);
    this->direct[1](answerOf(AnswerKind::Accepted));
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
    this->direct[0](answerOf(AnswerKind::NoAnswer));
    CHECK(this->answers.size() == 1);
}

TEST_CASE_METHOD(OrderRelayFixture, "pollAndPace_relaySlow_areNotHedged")
{
    this->order(execution::PollOrder{});
    this->order(execution::PaceOrder{});
    this->advance(absl::Milliseconds(1000));
    CHECK(this->direct.empty());
    this->advance(absl::Milliseconds(100));
    CHECK(this->answers == std::vector{AnswerKind::NoAnswer, AnswerKind::NoAnswer});
}

TEST_CASE_METHOD(OrderRelayFixture, "orders_allAnswersLate_areHedgedUpToBound")
{
    for (int number = 0; number < 1000; ++number) {
        this->order();
    }
    this->advance(absl::Milliseconds(300));
    CHECK(this->direct.size() == 100);
}

TEST_CASE_METHOD(OrderRelayFixture, "watch_relayNotReportingPresence_endsWithinASecond")
{
    this->order(execution::PollOrder{0, absl::Seconds(2), absl::Seconds(10)});
    this->advance(absl::Milliseconds(800));
    this->orderRelay.tick(this->now);
    CHECK(this->answers.empty());
    this->advance(absl::Milliseconds(200));
    this->orderRelay.tick(this->now);
    CHECK(this->answers == std::vector{AnswerKind::NoAnswer});
    // A later result changes nothing.
    this->answerRelayed(0, AnswerKind::Accepted);
    this->advance(absl::Seconds(20));
    CHECK(this->answers.size() == 1);
}

// Guards against TWICE: a worker that has restarted under its id executes the order of a deposed leader.
TEST_CASE_METHOD(OrderRelayFixture, "start_withoutAnAnswerAtTheEndOfItsTerm_isNotHedgedInTheNext")
{
    this->workerCount = GENERATE(std::size_t{12}, std::size_t{350});
    this->order();
    const std::size_t sent = this->direct.size();
    this->advance(absl::Milliseconds(100));
    this->permit->revoke();
    this->advance(absl::Seconds(2));
    CHECK(this->direct.size() == sent);
}

TEST_CASE_METHOD(OrderRelayFixture, "start_withoutAnAnswerWhileTheLeaseHasExpired_isNotHedged")
{
    this->workerCount = GENERATE(std::size_t{12}, std::size_t{350});
    this->order();
    const std::size_t sent = this->direct.size();
    this->permit->extendTo(this->now);
    this->advance(absl::Seconds(2));
    CHECK(this->direct.size() == sent);
}

TEST_CASE_METHOD(OrderRelayFixture, "start_thatIsNotWantedAnyMore_isNotHedged")
{
    auto token = std::make_shared<const execution::StartToken>();
    this->conditions.start = token;
    this->order();
    this->advance(absl::Milliseconds(100));
    token.reset(); // The run is listed, and may have ended, though its start has got no answer.
    this->advance(absl::Seconds(2));
    CHECK(this->direct.empty());
}

TEST_CASE_METHOD(OrderRelayFixture, "start_declinedAfterItsTerm_wasNotSent")
{
    this->order();
    this->permit->revoke();
    this->endRelayed(0, {RelayOutcome::Declined, {}});
    CHECK(this->direct.empty());
    CHECK(this->answers == std::vector{AnswerKind::NotSent});
}

TEST_CASE_METHOD(OrderRelayFixture, "watch_relayRestarted_ends")
{
    this->order(execution::PollOrder{0, absl::Seconds(2), absl::Seconds(10)});
    this->orderRelay.markAlive(this->now, "north-1", "north");
    CHECK(this->answers.empty());
    constexpr std::uint64_t other = 2;
    this->orderRelay.markAlive(this->now, "north-1", "north", other);
    CHECK(this->answers == std::vector{AnswerKind::NoAnswer});
}

TEST_CASE_METHOD(OrderRelayFixture, "watch_answeredByRelay_hasEnded")
{
    this->order(execution::PollOrder{0, absl::Seconds(2), absl::Seconds(10)});
    this->advance(absl::Seconds(4));
    this->orderRelay.markAlive(this->now, "north-1", "north");
    this->answerRelayed(0, AnswerKind::Accepted);
    this->advance(absl::Seconds(2));
    this->orderRelay.tick(this->now);
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
}

TEST_CASE_METHOD(OrderRelayFixture, "watches_manyRelaysUnresponsive_endOneRelayAtATime")
{
    constexpr int instances = 8;
    for (int number = 0; number < instances; ++number) {
        this->orderRelay.markAlive(this->now, absl::StrCat("south-", number), "south");
    }
    constexpr std::size_t orders = 200;
    for (std::size_t number = 0; number < orders; ++number) {
        this->order(execution::PollOrder{0, absl::Seconds(2), absl::Seconds(10)}, absl::StrCat("w", number), "south");
    }
    this->advance(absl::Seconds(1));
    this->orderRelay.tick(this->now);
    this->orderRelay.tick(this->now + absl::Milliseconds(20));
    const std::size_t first = this->answers.size();
    CHECK(first > 0);
    CHECK(first < orders / 3);
    // The others report their presence at last: their watches continue.
    for (int number = 0; number < instances; ++number) {
        this->orderRelay.markAlive(this->now, absl::StrCat("south-", number), "south");
    }
    this->advance(absl::Milliseconds(200));
    this->orderRelay.tick(this->now);
    CHECK(this->answers.size() == first);
}

// Guards against orders that move to another instance, which would need a new connection, from one whose connection to the worker works.
TEST_CASE_METHOD(OrderRelayFixture, "relay_ofWorkerThatRefusesConnections_isKept")
{
    for (int instance = 2; instance <= 5; ++instance) {
        this->orderRelay.markAlive(this->now, absl::StrCat("north-", instance), "north");
    }
    const auto relayAfter = [this](execution::CallEnd end) {
        this->order();
        RelayResult relayed{RelayOutcome::Answered, answerOf(AnswerKind::NoAnswer)};
        relayed.answer.end = end;
        this->endRelayed(this->viaRelay.size() - 1, relayed);
        this->order();
        std::string next = this->relayNames.back();
        this->answerRelayed(this->viaRelay.size() - 1, AnswerKind::Accepted);
        return next;
    };
    this->order();
    const std::string first = this->relayNames.back();
    this->answerRelayed(0, AnswerKind::Accepted);
    CHECK(relayAfter(execution::CallEnd::ConnectionRefused) == first);
    CHECK(relayAfter(execution::CallEnd::NotSent) == first);
    std::set<std::string> used;
    for (int attempt = 0; attempt < 8; ++attempt) {
        used.insert(relayAfter(execution::CallEnd::NotConnected));
    }
    CHECK(used.size() > 1);
}

} // namespace paddlepier::cluster
