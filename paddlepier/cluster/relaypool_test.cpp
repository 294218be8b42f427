// Which instance carries orders to which worker, and orders on their way over another instance.

#include "paddlepier/cluster/relaypool.h"

#include "paddlepier/base/error.h"
#include "paddlepier/cluster/relaycodec.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>
#include <set>

namespace paddlepier::cluster
{

namespace
{

constexpr std::size_t manyWorkers = 350;

class CarriersFixture
{
public:
    CarriersFixture()
    {
        this->showAll();
    }

    void showAll()
    {
        for (const char *zone : {"north", "south"}) {
            for (const char *number : {"1", "2"}) {
                this->carriers.noteAlive(this->now, absl::StrCat(zone, "-", number), zone);
            }
        }
    }

    std::map<std::string, int> shares(const std::string &dataCentre) const
    {
        std::map<std::string, int> found;
        for (int worker = 0; worker < 100; ++worker) {
            ++found[this->carriers.choose(this->now, manyWorkers, absl::StrCat("w", worker), dataCentre)];
        }
        return found;
    }

    Carriers carriers;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE_METHOD(CarriersFixture, "choose_inASmallCell_isTheLeaderItself")
{
    CHECK(this->carriers.choose(this->now, 48, "w1", "north").empty());
}

TEST_CASE_METHOD(CarriersFixture, "choose_inALargeCell_sharesADataCentreOutOverItsOwnInstances")
{
    const std::map<std::string, int> shares = this->shares("north");
    REQUIRE(shares.size() == 2);
    CHECK(shares.at("north-1") > 25);
    CHECK(shares.at("north-2") > 25);
}

TEST_CASE_METHOD(CarriersFixture, "choose_withoutAnInstanceInTheDataCentre_isOneOfAnother")
{
    CHECK(this->shares("west").size() == 4);
}

TEST_CASE_METHOD(CarriersFixture, "choose_afterAnOrderWithoutAnswer_avoidsThatInstanceForAWhile")
{
    this->carriers.noteFailure(this->now, "north-1");
    CHECK(this->shares("north").size() == 1);
    this->now += absl::Seconds(3);
    this->showAll();
    CHECK(this->shares("north").size() == 2);
}

TEST_CASE_METHOD(CarriersFixture, "choose_afterAWorkerWasNotReached_takesOtherWaysInTurn")
{
    std::set<std::string> ways;
    for (int round = 0; round < 12; ++round) {
        ways.insert(this->carriers.choose(this->now, manyWorkers, "w1", "north"));
        this->carriers.noteUnreached("w1");
    }
    CHECK(ways.size() >= 3);
    CHECK(this->shares("north").size() >= 2);
}

TEST_CASE_METHOD(CarriersFixture, "choose_whenNobodyShowsItself_isTheLeaderItself")
{
    this->now += absl::Seconds(2);
    CHECK(this->carriers.choose(this->now, manyWorkers, "w1", "north").empty());
}

TEST_CASE("carriedCall_ofEachKind_comesBackAsItWas")
{
    const workload::TaskKey task("a", 1, 2, 3);
    execution::WorkerCall call;
    call.worker = {"w", 1234};
    call.address = "127.0.0.1:1";
    call.fence = 7;
    call.leaseEndOnWorkerClock = 12345;
    call.timeout = absl::Milliseconds(750);
    for (const execution::Order &order : std::vector<execution::Order>{execution::PollOrder{9, absl::Milliseconds(500), absl::Seconds(10)},
                                                                       execution::StartOrder{task, 2, "what", "saved", "ticket"},
                                                                       execution::StopOrder{task, 2},
                                                                       execution::PaceOrder{task, 2, 40}}) {
        call.order = order;
        const execution::WorkerCall back = fromCarryCall(wire::unpack<work::CarryCallT>(wire::pack(toCarryCall(call))));
        CHECK(back.worker == call.worker);
        CHECK(back.address == call.address);
        CHECK(back.fence == call.fence);
        CHECK(back.leaseEndOnWorkerClock == call.leaseEndOnWorkerClock);
        CHECK(back.timeout == call.timeout);
        REQUIRE(back.order.index() == order.index());
        if (const auto *start = std::get_if<execution::StartOrder>(&back.order)) {
            CHECK(start->task == task);
            CHECK(start->payload == "what");
            CHECK(start->checkpoint == "saved");
            CHECK(start->ticket == "ticket");
        } else if (const auto *poll = std::get_if<execution::PollOrder>(&back.order)) {
            CHECK(poll->lastSequence == 9);
            CHECK(poll->wait == absl::Milliseconds(500));
            CHECK(poll->watch == absl::Seconds(10));
        } else if (const auto *pace = std::get_if<execution::PaceOrder>(&back.order)) {
            CHECK(pace->percent == 40);
        }
    }
}

TEST_CASE("carriedAnswer_withRunsAndEnds_comesBackAsItWas")
{
    execution::WorkerAnswer answer;
    answer.kind = execution::AnswerKind::Accepted;
    answer.hasClock = true;
    answer.clockMillis = 99;
    answer.running.push_back({workload::TaskKey("a", 0, 1, 2), 3, "saved", 50, 700});
    answer.ended.push_back({8, workload::TaskKey("b", 0, 0, 0), 1, work::RunEndKind::Done, ""});
    const execution::WorkerAnswer back = fromCarryReply(wire::unpack<work::CarryReplyT>(wire::pack(toCarryReply(answer))));
    CHECK(back.kind == answer.kind);
    CHECK(back.clockMillis == 99);
    REQUIRE(back.running.size() == 1);
    CHECK(back.running[0].task == answer.running[0].task);
    CHECK(back.running[0].percent == 50);
    CHECK(back.running[0].load == 700);
    REQUIRE(back.ended.size() == 1);
    CHECK(back.ended[0].sequence == 8);
    CHECK(back.ended[0].kind == work::RunEndKind::Done);
}

TEST_CASE("carriedCall_withoutOrderOrAnswerOfNoKind_isRefused")
{
    CHECK_THROWS_AS(fromCarryCall(work::CarryCallT()), InvalidArgumentError);
    work::CarryReplyT reply;
    reply.kind = 200;
    CHECK_THROWS_AS(fromCarryReply(reply), InvalidArgumentError);
}

} // namespace paddlepier::cluster
