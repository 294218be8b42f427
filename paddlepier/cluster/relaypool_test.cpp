// Choice of relays, and encoding of relayed orders and answers. A worker that is unreachable from its relay must be tried
// from others, and an instance that is gone or left an order unanswered must not be chosen.

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

class RelayPoolFixture
{
public:
    RelayPoolFixture()
    {
        this->markAllAlive();
    }

    void markAllAlive()
    {
        for (const char *zone : {"north", "south"}) {
            for (const char *number : {"1", "2"}) {
                this->relays.markAlive(this->now, absl::StrCat(zone, "-", number), zone);
            }
        }
    }

    std::map<std::string, int> shares(const std::string &dataCentre) const
    {
        std::map<std::string, int> found;
        for (int worker = 0; worker < 100; ++worker) {
            ++found[this->relays.choose(this->now, manyWorkers, absl::StrCat("w", worker), dataCentre)];
        }
        return found;
    }

    RelayPool relays;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE_METHOD(RelayPoolFixture, "choose_smallCell_leaderSendsItself")
{
    CHECK(this->relays.choose(this->now, 48, "w1", "north").empty());
}

TEST_CASE_METHOD(RelayPoolFixture, "choose_largeCell_distributesWorkersOverInstancesOfTheirDataCentre")
{
    const std::map<std::string, int> shares = this->shares("north");
    REQUIRE(shares.size() == 2);
    CHECK(shares.at("north-1") > 25);
    CHECK(shares.at("north-2") > 25);
}

TEST_CASE_METHOD(RelayPoolFixture, "choose_noInstanceInDataCentre_usesOthers")
{
    CHECK(this->shares("west").size() == 4);
}

TEST_CASE_METHOD(RelayPoolFixture, "choose_afterUnansweredOrder_avoidsThatInstanceTemporarily")
{
    this->relays.recordFailure(this->now, "north-1");
    CHECK(this->shares("north").size() == 1);
    this->now += absl::Seconds(3);
    this->markAllAlive();
    CHECK(this->shares("north").size() == 2);
}

TEST_CASE_METHOD(RelayPoolFixture, "choose_workerUnreachable_triesOtherRelays")
{
    std::set<std::string> chosen;
    for (int round = 0; round < 12; ++round) {
        chosen.insert(this->relays.choose(this->now, manyWorkers, "w1", "north"));
        this->relays.recordUnreachable("w1");
    }
    CHECK(chosen.size() >= 3);
    CHECK(this->shares("north").size() >= 2);
}

TEST_CASE_METHOD(RelayPoolFixture, "choose_noInstanceReachable_leaderSendsItself")
{
    this->now += absl::Seconds(2);
    CHECK(this->relays.choose(this->now, manyWorkers, "w1", "north").empty());
}

TEST_CASE("relayCall_ofEachOrderKind_roundTrips")
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
        const execution::WorkerCall decoded = decodeRelayCall(wire::unpack<work::CarryCallT>(wire::pack(encodeRelayCall(call))));
        CHECK(decoded.worker == call.worker);
        CHECK(decoded.address == call.address);
        CHECK(decoded.fence == call.fence);
        CHECK(decoded.leaseEndOnWorkerClock == call.leaseEndOnWorkerClock);
        CHECK(decoded.timeout == call.timeout);
        REQUIRE(decoded.order.index() == order.index());
        if (const auto *start = std::get_if<execution::StartOrder>(&decoded.order)) {
            CHECK(start->task == task);
            CHECK(start->payload == "what");
            CHECK(start->checkpoint == "saved");
            CHECK(start->ticket == "ticket");
        } else if (const auto *poll = std::get_if<execution::PollOrder>(&decoded.order)) {
            CHECK(poll->lastSequence == 9);
            CHECK(poll->wait == absl::Milliseconds(500));
            CHECK(poll->watch == absl::Seconds(10));
        } else if (const auto *pace = std::get_if<execution::PaceOrder>(&decoded.order)) {
            CHECK(pace->percent == 40);
        }
    }
}

TEST_CASE("relayReply_withRunsAndEnds_roundTrips")
{
    execution::WorkerAnswer answer;
    answer.kind = execution::AnswerKind::Accepted;
    answer.hasClock = true;
    answer.clockMillis = 99;
    answer.running.push_back({workload::TaskKey("a", 0, 1, 2), 3, "saved", 50, 700});
    answer.ended.push_back({8, workload::TaskKey("b", 0, 0, 0), 1, work::RunEndKind::Done, ""});
    const execution::WorkerAnswer decoded = decodeRelayReply(wire::unpack<work::CarryReplyT>(wire::pack(encodeRelayReply(answer))));
    CHECK(decoded.kind == answer.kind);
    CHECK(decoded.clockMillis == 99);
    REQUIRE(decoded.running.size() == 1);
    CHECK(decoded.running[0].task == answer.running[0].task);
    CHECK(decoded.running[0].percent == 50);
    CHECK(decoded.running[0].load == 700);
    REQUIRE(decoded.ended.size() == 1);
    CHECK(decoded.ended[0].sequence == 8);
    CHECK(decoded.ended[0].kind == work::RunEndKind::Done);
}

TEST_CASE("decodeRelay_missingOrderOrUnknownAnswerKind_throws")
{
    CHECK_THROWS_AS(decodeRelayCall(work::CarryCallT()), InvalidArgumentError);
    work::CarryReplyT reply;
    reply.kind = 200;
    CHECK_THROWS_AS(decodeRelayReply(reply), InvalidArgumentError);
}

} // namespace paddlepier::cluster
