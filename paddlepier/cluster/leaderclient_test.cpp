// Calls to a leader that changes, doesn't respond or doesn't exist. A caller may treat a call as not executed only if
// every attempt was refused: one unanswered attempt may have been accepted by a leader whose answer was lost.

#include "paddlepier/cluster/leaderclient.h"

#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace paddlepier::cluster
{

namespace
{

class LeaderClientFixture
{
public:
    struct Sent {
        std::string to;
        std::uint64_t id;
    };

    LeaderClientFixture()
        : client(
            [this](const std::string &to, wire::PeerFrameT frame) {
                this->sent.push_back({to, frame.body.AsCallRequest()->id});
            },
            100)
    {
        this->client.addCore("a:1");
        this->client.addCore("b:1");
        this->client.addCore("c:1");
    }

    void call(Duration timeout = absl::Seconds(2), WorkMethod method = WorkMethod::Announce)
    {
        this->client.call(this->now, method, "", timeout, [this](const CallResult &result) { this->results.push_back(result); });
    }

    void reply(const Sent &request, ErrorCode error, const std::string &leader = "")
    {
        wire::CallReplyT answer;
        answer.id = request.id;
        answer.error = error;
        answer.leader = leader;
        answer.body = wire::toBytes(wire::pack(work::WorkReplyT()));
        this->client.receiveReply(this->now, request.to, answer);
    }

    void advance(Duration time)
    {
        for (const Timestamp end = this->now + time; this->now < end; this->now += absl::Milliseconds(20)) {
            this->client.tick(this->now);
        }
    }

    std::vector<Sent> sent;
    std::vector<CallResult> results;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    LeaderClient client;
};

} // namespace

TEST_CASE_METHOD(LeaderClientFixture, "call_toFollower_followsLeaderHint")
{
    this->call();
    REQUIRE(this->sent.size() == 1);
    this->reply(this->sent[0], ErrorCode::NotLeader, "c:1");
    this->advance(absl::Milliseconds(40));
    REQUIRE(this->sent.size() == 2);
    CHECK(this->sent[1].to == "c:1");
    this->reply(this->sent[1], ErrorCode::None);
    REQUIRE(this->results.size() == 1);
    CHECK(this->results[0].error == ErrorCode::None);
    this->call();
    CHECK(this->sent.back().to == "c:1");
}

TEST_CASE_METHOD(LeaderClientFixture, "call_unanswered_triesAllCoresAndEndsWithTimeout")
{
    this->call(absl::Seconds(2));
    this->advance(absl::Milliseconds(2100));
    std::set<std::string> targets;
    for (const Sent &request : this->sent) {
        targets.insert(request.to);
    }
    CHECK(targets.size() == 3);
    REQUIRE(this->results.size() == 1);
    CHECK(this->results[0].error == ErrorCode::Timeout);
}

TEST_CASE_METHOD(LeaderClientFixture, "call_refusedByAll_endsWithNotLeader")
{
    this->call(absl::Milliseconds(600));
    std::size_t answered = 0;
    while (this->results.empty()) {
        while (answered < this->sent.size()) {
            this->reply(this->sent[answered++], ErrorCode::NotLeader);
        }
        this->advance(absl::Milliseconds(20));
    }
    CHECK(this->results[0].error == ErrorCode::NotLeader);
}

TEST_CASE_METHOD(LeaderClientFixture, "call_oneAttemptUnansweredOthersRefused_endsWithTimeout")
{
    this->call(absl::Seconds(1));
    // Longer than the answer timeout, after which the call is sent to another core.
    this->advance(absl::Milliseconds(400));
    REQUIRE(this->sent.size() == 2);
    this->reply(this->sent[1], ErrorCode::NotLeader);
    this->advance(absl::Seconds(1));
    REQUIRE(this->results.size() == 1);
    CHECK(this->results[0].error == ErrorCode::Timeout);
}

TEST_CASE_METHOD(LeaderClientFixture, "presence_noKnownLeader_isSentToAllCores")
{
    this->call(absl::Seconds(1), WorkMethod::Presence);
    CHECK(this->sent.size() == 3);
}

TEST_CASE_METHOD(LeaderClientFixture, "call_lateWhileLeaderAnswersOthers_keepsLeader")
{
    this->call();
    this->reply({"b:1", this->sent[0].id}, ErrorCode::None);
    this->call(absl::Seconds(2));
    for (int round = 0; round < 5; ++round) {
        this->advance(absl::Milliseconds(200));
        this->call();
        this->reply(this->sent.back(), ErrorCode::None);
    }
    for (const Sent &request : this->sent) {
        CHECK((request.id == this->sent[0].id || request.to == "b:1"));
    }
}

TEST_CASE_METHOD(LeaderClientFixture, "lateAnswer_afterDeadline_isIgnored")
{
    this->call(absl::Milliseconds(200));
    this->advance(absl::Milliseconds(300));
    REQUIRE(this->results.size() == 1);
    this->reply(this->sent[0], ErrorCode::None);
    CHECK(this->results.size() == 1);
}

TEST_CASE_METHOD(LeaderClientFixture, "pendingCall_newLeaderFound_isRetriedThereAtOnce")
{
    this->call(absl::Seconds(2));
    this->advance(absl::Milliseconds(40));
    REQUIRE(this->sent.size() == 1);
    // Another call finds the leader while the first one waits for an instance that is down. It is a Presence call, which goes to all cores.
    this->call(absl::Seconds(2), WorkMethod::Presence);
    const auto leaderRequest = std::find_if(this->sent.begin() + 1, this->sent.end(), [this](const Sent &entry) { return entry.to != this->sent[0].to; });
    REQUIRE(leaderRequest != this->sent.end());
    const Sent found = *leaderRequest;
    this->reply(found, ErrorCode::None);
    const std::size_t before = this->sent.size();
    this->advance(absl::Milliseconds(40));
    REQUIRE(this->sent.size() == before + 1);
    CHECK(this->sent.back().to == found.to);
    CHECK(this->sent.back().id == this->sent[0].id);
}

} // namespace paddlepier::cluster
