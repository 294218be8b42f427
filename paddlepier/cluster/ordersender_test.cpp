// Over which connections ends may be acknowledged. Guards against TWICE: the next incarnation of a worker under the same id discards an end by the
// acknowledgement of its predecessor's, and its task is started again.

#include "paddlepier/cluster/ordersender.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

namespace paddlepier::cluster
{

namespace
{

using execution::AnswerKind;

class OrderSenderFixture
{
public:
    OrderSenderFixture()
        : sender(
            WorkerPort{[this](const execution::WorkerCall &call, std::function<void(execution::WorkerAnswer)> done) {
                this->sent.push_back(std::get<execution::PollOrder>(call.order).acknowledgedOverConnectionsBy);
                this->pending.push_back(std::move(done));
            }},
            [](const std::function<void()> &work) { work(); },
            [this] { return this->now; })
    {
    }

    void poll(std::uint64_t born)
    {
        execution::WorkerCall call;
        call.worker = {"w", born};
        call.order = execution::PollOrder{7, absl::Seconds(2)};
        this->sender.send(call, [this](Timestamp answeredAt, const execution::WorkerAnswer &) { this->answeredAt.push_back(answeredAt); });
    }

    void answer(std::uint64_t born, AnswerKind kind = AnswerKind::Accepted)
    {
        execution::WorkerAnswer answer;
        answer.kind = kind;
        answer.born = born;
        std::exchange(this->pending.back(), nullptr)(answer);
    }

    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    /** For each poll: the time by which a connection must have been established that may carry its acknowledgement. */
    std::vector<Timestamp> sent;
    std::vector<std::function<void(execution::WorkerAnswer)>> pending;
    std::vector<Timestamp> answeredAt;
    OrderSender sender;
};

} // namespace

TEST_CASE_METHOD(OrderSenderFixture, "firstPoll_acknowledgesOverNoConnection")
{
    this->poll(5);
    CHECK(this->sent.back() == absl::InfinitePast());
}

TEST_CASE_METHOD(OrderSenderFixture, "poll_afterOneThatTheIncarnationAnswered_acknowledgesOverConnectionsFromBeforeThat")
{
    const Timestamp firstSentAt = this->now;
    this->poll(5);
    this->now += absl::Milliseconds(500);
    this->answer(5);
    CHECK(this->answeredAt == std::vector{this->now});
    this->poll(5);
    CHECK(this->sent.back() == firstSentAt);
}

TEST_CASE_METHOD(OrderSenderFixture, "poll_afterAnAnswerOfAnotherIncarnation_acknowledgesOverNoConnection")
{
    const bool isRefused = GENERATE(false, true);
    this->poll(5);
    isRefused ? this->answer(5, AnswerKind::Fenced) : this->answer(6);
    this->poll(5);
    CHECK(this->sent.back() == absl::InfinitePast());
    this->poll(6);
    CHECK(this->sent.back() == absl::InfinitePast());
}

} // namespace paddlepier::cluster
