// Call routing: a call must reach the leader through redirects and unresponsive replicas, complete exactly once, and fail at
// its deadline when no replica answers.

#include "paddlepier/instance/callrouter.h"

#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace paddlepier;
using namespace paddlepier::instance;

namespace
{

class MockPeers
{
public:
    MAKE_MOCK2(send, void(const std::string &, const wire::PeerFrameT &));
};

constexpr const char *settingsText = R"([instance]
id = "a"
partner = "p"
dataCentre = "d"
[listen]
http = "127.0.0.1:8100"
peer = "127.0.0.1:9100"
[cell]
key = "long-enough"
[[peers]]
id = "b"
partner = "p"
dataCentre = "d"
http = "127.0.0.1:8101"
peer = "127.0.0.1:9101"
[[peers]]
id = "c"
partner = "p"
dataCentre = "d"
http = "127.0.0.1:8102"
peer = "127.0.0.1:9102"
[[ledgers]]
dataCentre = "d"
replicas = ["b", "c"]
)";

class CallRouterFixture
{
protected:
    CallRouterFixture()
        : router(
            this->settings, [this](const std::string &instance, const wire::PeerFrameT &frame) { this->peers.send(instance, frame); }, this->counters, 100)
    {
    }

    void call()
    {
        this->router.call(this->now, "d", rpc::Method::Status, {"p", wire::Role::Viewer}, "body", absl::Seconds(2), [this](const CallResult &result) {
            this->results.push_back(result);
        });
    }

    void reply(const std::string &from, ErrorCode error, const std::string &leader = "")
    {
        wire::CallReplyT answer;
        answer.id = 100;
        answer.error = error;
        answer.leader = leader;
        this->router.receiveReply(this->now, from, answer);
    }

    void advance(Duration duration)
    {
        this->now += duration;
        this->router.tick(this->now);
    }

    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    const Settings settings = parseSettings(settingsText, "test");
    Counters counters;
    MockPeers peers;
    CallRouter router;
    std::vector<CallResult> results;
};

} // namespace

TEST_CASE_METHOD(CallRouterFixture, "call_leaderAnswersTwice_completesOnce")
{
    REQUIRE_CALL(this->peers, send("b", trompeloeil::_));
    this->call();
    this->reply("b", ErrorCode::None);
    this->reply("b", ErrorCode::None);
    REQUIRE(this->results.size() == 1);
    REQUIRE(this->results[0].error == ErrorCode::None);
}

TEST_CASE_METHOD(CallRouterFixture, "call_notLeaderNamesAnother_isSentToNamedLeader")
{
    trompeloeil::sequence order;
    REQUIRE_CALL(this->peers, send("b", trompeloeil::_)).IN_SEQUENCE(order);
    REQUIRE_CALL(this->peers, send("c", trompeloeil::_)).IN_SEQUENCE(order);
    this->call();
    this->reply("b", ErrorCode::NotLeader, "c");
    this->advance(absl::Milliseconds(1));
    this->reply("c", ErrorCode::None);
    REQUIRE(this->results.size() == 1);
}

TEST_CASE_METHOD(CallRouterFixture, "call_unresponsiveReplica_isSentToNextReplica")
{
    trompeloeil::sequence order;
    REQUIRE_CALL(this->peers, send("b", trompeloeil::_)).IN_SEQUENCE(order);
    REQUIRE_CALL(this->peers, send("c", trompeloeil::_)).IN_SEQUENCE(order);
    this->call();
    this->advance(absl::Milliseconds(400));
}

TEST_CASE_METHOD(CallRouterFixture, "call_noReplicaAnswers_failsUnreachableAtDeadline")
{
    ALLOW_CALL(this->peers, send(trompeloeil::_, trompeloeil::_));
    this->call();
    for (int step = 0; step < 10; ++step) {
        this->advance(absl::Milliseconds(250));
    }
    REQUIRE(this->results.size() == 1);
    REQUIRE(this->results[0].error == ErrorCode::DataCentreUnreachable);
    REQUIRE(this->router.pendingCalls() == 0);
}

TEST_CASE_METHOD(CallRouterFixture, "call_unknownDataCentre_failsImmediately")
{
    this->router.call(
        this->now, "nowhere", rpc::Method::Status, {}, "", absl::Seconds(1), [this](const CallResult &result) { this->results.push_back(result); });
    REQUIRE(this->results.at(0).error == ErrorCode::WrongDataCentre);
}
