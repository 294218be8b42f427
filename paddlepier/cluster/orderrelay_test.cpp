// Orders through instances that are lost, slow or stopping, in virtual time.

#include "paddlepier/cluster/orderrelay.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <vector>

namespace paddlepier::cluster
{

namespace
{

using execution::AnswerKind;

class OrderCarryingFixture
{
public:
    OrderCarryingFixture()
        : carrying(this->ways())
    {
        this->carrying.noteAlive(this->now, "north-1", "north");
    }

    CarryingWays ways()
    {
        CarryingWays made;
        made.direct = [this](const execution::WorkerCall &, const OrderCarrying::Done &done) { this->direct.push_back(done); };
        made.through = [this](const std::string &, const execution::WorkerCall &, Timestamp deadline, const std::function<void(const Carried &)> &done) {
            this->through.push_back(done);
            this->timers.emplace(deadline, [this, number = this->through.size() - 1] { this->endCarried(number, {CarriedOutcome::Silent, {}}); });
        };
        made.later = [this](Timestamp at, const std::function<void()> &action) { this->timers.emplace(at, action); };
        made.now = [this] { return this->now; };
        return made;
    }

    void order(execution::Order order = execution::StartOrder{{"a", 0, 0, 0}, 1, "", "", ""},
               const std::string &worker = "w",
               const std::string &dataCentre = "north")
    {
        execution::WorkerCall call;
        call.worker = {worker};
        call.timeout = absl::Milliseconds(900);
        call.order = std::move(order);
        this->carrying.carry({this->workerCount, dataCentre}, call, [this](const execution::WorkerAnswer &answer) { this->answers.push_back(answer.kind); });
    }

    void pass(Duration time)
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

    void endCarried(std::size_t number, const Carried &carried)
    {
        if (const auto done = std::exchange(this->through.at(number), nullptr)) {
            done(carried);
        }
    }

    void answerCarried(std::size_t number, AnswerKind kind)
    {
        this->endCarried(number, {CarriedOutcome::Answered, answerOf(kind)});
    }

    static execution::WorkerAnswer answerOf(AnswerKind kind)
    {
        execution::WorkerAnswer answer;
        answer.kind = kind;
        return answer;
    }

    std::size_t workerCount = 350;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::multimap<Timestamp, std::function<void()>> timers;
    std::deque<OrderCarrying::Done> direct;
    std::deque<std::function<void(const Carried &)>> through;
    std::vector<AnswerKind> answers;
    OrderCarrying carrying;
};

} // namespace

TEST_CASE_METHOD(OrderCarryingFixture, "order_answeredInTime_goesOneWayOnly")
{
    this->order();
    REQUIRE(this->through.size() == 1);
    this->pass(absl::Milliseconds(20));
    this->answerCarried(0, AnswerKind::Accepted);
    this->pass(absl::Seconds(2));
    CHECK(this->direct.empty());
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
}

TEST_CASE_METHOD(OrderCarryingFixture, "start_throughALostInstance_isAnsweredDirectlyWithinAThirdOfASecond")
{
    this->order();
    this->pass(absl::Milliseconds(300));
    REQUIRE(this->direct.size() == 1);
    this->direct[0](answerOf(AnswerKind::Accepted));
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
    // The next order doesn't go that way, and what comes of the first one later changes nothing.
    this->order();
    CHECK(this->direct.size() == 2);
    CHECK(this->through.size() == 1);
    this->pass(absl::Seconds(2));
    CHECK(this->answers.size() == 1);
}

TEST_CASE_METHOD(OrderCarryingFixture, "instance_thatAnswersOthers_isntBlamedForASilentWorker")
{
    this->order();
    this->pass(absl::Milliseconds(100));
    this->order();
    this->answerCarried(1, AnswerKind::Accepted);
    this->pass(absl::Milliseconds(200));
    CHECK(this->direct.size() == 1);
    // The first one is left without an answer, but the second was brought.
    this->order();
    CHECK(this->through.size() == 3);
}

TEST_CASE_METHOD(OrderCarryingFixture, "instance_thatAnswersNothing_isPassedOverWithinAThirdOfASecond")
{
    this->order();
    this->pass(absl::Milliseconds(100));
    this->order();
    this->pass(absl::Milliseconds(200));
    const std::size_t carried = this->through.size();
    this->order();
    this->order(execution::PollOrder{});
    CHECK(this->through.size() == carried);
}

TEST_CASE_METHOD(OrderCarryingFixture, "refusal_whileTheOtherWayIsOpen_isntBelieved")
{
    this->order();
    this->pass(absl::Milliseconds(300));
    this->direct.at(0)(answerOf(AnswerKind::BadTicket));
    CHECK(this->answers.empty());
    SECTION("the carrier stays silent: the order may be carried out yet")
    {
        this->pass(absl::Seconds(2));
        CHECK(this->answers == std::vector{AnswerKind::NoAnswer});
    }
    SECTION("the carrier has brought it to the worker")
    {
        this->answerCarried(0, AnswerKind::Accepted);
        CHECK(this->answers == std::vector{AnswerKind::Accepted});
    }
    SECTION("the worker refuses it a second time")
    {
        this->answerCarried(0, AnswerKind::NoRoom);
        CHECK(this->answers == std::vector{AnswerKind::BadTicket});
    }
    SECTION("the carrier is stopping and has done nothing")
    {
        this->endCarried(0, {CarriedOutcome::Declined, {}});
        REQUIRE(this->direct.size() == 2);
        this->direct[1](answerOf(AnswerKind::BadTicket));
        CHECK(this->answers == std::vector{AnswerKind::BadTicket});
    }
}

TEST_CASE_METHOD(OrderCarryingFixture, "refusalOverTheCarrier_whileItWasSentDirectlyToo_waitsForThatOne")
{
    this->order();
    this->pass(absl::Milliseconds(300));
    this->answerCarried(0, AnswerKind::Unhealthy);
    CHECK(this->answers.empty());
    this->direct.at(0)(answerOf(AnswerKind::Accepted));
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
}

TEST_CASE_METHOD(OrderCarryingFixture, "start_leftUnansweredByItsWorker_isSentAgainInASmallCellToo")
{
    this->workerCount = 40;
    this->order();
    CHECK(this->through.empty());
    REQUIRE(this->direct.size() == 1);
    this->pass(absl::Milliseconds(300));
    REQUIRE(this->direct.size() == 2);
    this->direct[1](answerOf(AnswerKind::Accepted));
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
    this->direct[0](answerOf(AnswerKind::NoAnswer));
    CHECK(this->answers.size() == 1);
}

TEST_CASE_METHOD(OrderCarryingFixture, "pollAndPace_throughASlowInstance_goOneWayOnly")
{
    this->order(execution::PollOrder{});
    this->order(execution::PaceOrder{});
    this->pass(absl::Milliseconds(1000));
    CHECK(this->direct.empty());
    this->pass(absl::Milliseconds(100));
    CHECK(this->answers == std::vector{AnswerKind::NoAnswer, AnswerKind::NoAnswer});
}

TEST_CASE_METHOD(OrderCarryingFixture, "orders_whileAllAnswersAreLate_areDoubledUpToABound")
{
    for (int number = 0; number < 1000; ++number) {
        this->order();
    }
    this->pass(absl::Milliseconds(300));
    CHECK(this->direct.size() == 100);
}

TEST_CASE_METHOD(OrderCarryingFixture, "watch_throughAnInstanceThatShowsItselfNoLonger_endsWithinASecond")
{
    this->order(execution::PollOrder{0, absl::Seconds(2), absl::Seconds(10)});
    this->pass(absl::Milliseconds(800));
    this->carrying.tick(this->now);
    CHECK(this->answers.empty());
    this->pass(absl::Milliseconds(200));
    this->carrying.tick(this->now);
    CHECK(this->answers == std::vector{AnswerKind::NoAnswer});
    // What comes of it later changes nothing.
    this->answerCarried(0, AnswerKind::Accepted);
    this->pass(absl::Seconds(20));
    CHECK(this->answers.size() == 1);
}

TEST_CASE_METHOD(OrderCarryingFixture, "watch_throughAnInstanceThatHasStartedAgain_ends")
{
    this->order(execution::PollOrder{0, absl::Seconds(2), absl::Seconds(10)});
    this->carrying.noteAlive(this->now, "north-1", "north");
    CHECK(this->answers.empty());
    constexpr std::uint64_t other = 2;
    this->carrying.noteAlive(this->now, "north-1", "north", other);
    CHECK(this->answers == std::vector{AnswerKind::NoAnswer});
}

TEST_CASE_METHOD(OrderCarryingFixture, "watch_answeredByItsCarrier_isOver")
{
    this->order(execution::PollOrder{0, absl::Seconds(2), absl::Seconds(10)});
    this->pass(absl::Seconds(4));
    this->carrying.noteAlive(this->now, "north-1", "north");
    this->answerCarried(0, AnswerKind::Accepted);
    this->pass(absl::Seconds(2));
    this->carrying.tick(this->now);
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
}

TEST_CASE_METHOD(OrderCarryingFixture, "watches_ofManyInstancesThatLookSilent_endOneInstanceAfterTheOther")
{
    constexpr int instances = 8;
    for (int number = 0; number < instances; ++number) {
        this->carrying.noteAlive(this->now, absl::StrCat("south-", number), "south");
    }
    constexpr std::size_t orders = 200;
    for (std::size_t number = 0; number < orders; ++number) {
        this->order(execution::PollOrder{0, absl::Seconds(2), absl::Seconds(10)}, absl::StrCat("w", number), "south");
    }
    this->pass(absl::Seconds(1));
    this->carrying.tick(this->now);
    this->carrying.tick(this->now + absl::Milliseconds(20));
    const std::size_t first = this->answers.size();
    CHECK(first > 0);
    CHECK(first < orders / 3);
    // The others show themselves at last: their watches go on.
    for (int number = 0; number < instances; ++number) {
        this->carrying.noteAlive(this->now, absl::StrCat("south-", number), "south");
    }
    this->pass(absl::Milliseconds(200));
    this->carrying.tick(this->now);
    CHECK(this->answers.size() == first);
}

} // namespace paddlepier::cluster
