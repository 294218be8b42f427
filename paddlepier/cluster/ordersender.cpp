// Sends the orders of this process to workers.

#include "paddlepier/cluster/ordersender.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace paddlepier::cluster
{

namespace
{

/** Bound on the incarnations that are remembered, several times the workers of the largest cell. */
constexpr std::size_t maxIncarnations = 4096;

/** Incarnations that have answered no poll for this long are forgotten once there are too many. */
constexpr Duration forgetAfter = absl::Seconds(30);

} // namespace

OrderSender::OrderSender(WorkerPort workerPort, Post postWork, std::function<Timestamp()> currentTime)
    : port(std::move(workerPort))
    , post(std::move(postWork))
    , now(std::move(currentTime))
{
}

void OrderSender::send(execution::WorkerCall call, Done done)
{
    const Timestamp sentAt = this->now();
    auto *poll = std::get_if<execution::PollOrder>(&call.order);
    if (poll != nullptr) {
        const auto answered = this->answeredPolls.find(call.worker);
        poll->acknowledgedOverConnectionsBy = answered == this->answeredPolls.end() ? absl::InfinitePast() : answered->second;
    }
    const auto completed = [this, worker = call.worker, isPoll = poll != nullptr, sentAt, done = std::move(done)](const execution::WorkerAnswer &answer) {
        this->post([this, worker, isPoll, sentAt, done, answer, answeredAt = this->now()] {
            if (isPoll && answer.kind == execution::AnswerKind::Accepted && answer.born == worker.born) {
                this->recordListing(worker, sentAt);
            }
            done(answeredAt, answer);
        });
    };
    this->port.call(call, completed);
}

void OrderSender::recordListing(const workload::Incarnation &worker, Timestamp pollSentAt)
{
    Timestamp &newest = this->answeredPolls.try_emplace(worker, pollSentAt).first->second;
    newest = std::max(newest, pollSentAt);
    if (this->answeredPolls.size() > maxIncarnations) {
        std::erase_if(this->answeredPolls, [oldest = pollSentAt - forgetAfter](const auto &entry) { return entry.second < oldest; });
    }
}

} // namespace paddlepier::cluster
