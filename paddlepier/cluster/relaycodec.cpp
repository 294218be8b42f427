// Encodes orders to workers, and their answers, as messages between core instances.

#include "paddlepier/cluster/relaycodec.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace paddlepier::cluster
{

namespace
{

using workload::TaskKey;

constexpr std::uint8_t lastAnswerKind = static_cast<std::uint8_t>(execution::AnswerKind::NotSent);
constexpr std::uint8_t lastCallEnd = static_cast<std::uint8_t>(execution::CallEnd::TimedOut);

TaskKey keyOf(const std::unique_ptr<work::TaskKeyT> &record)
{
    if (!record) {
        throw InvalidArgumentError("relayed order or answer: task is missing");
    }
    return TaskKey(*record);
}

struct OrderEncoder {
    work::CarriedOrderUnion &encoded;

    void operator()(const execution::PollOrder &order)
    {
        work::PollCarriedT poll;
        poll.lastSequence = order.lastSequence;
        poll.waitMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(order.wait));
        poll.watchMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(order.watch));
        this->encoded.Set(poll);
    }

    void operator()(const execution::StartOrder &order)
    {
        work::StartCarriedT start;
        start.task = order.task.record();
        start.run = order.run;
        start.payload = order.payload;
        start.checkpoint = order.checkpoint;
        start.ticket = order.ticket;
        this->encoded.Set(std::move(start));
    }

    void operator()(const execution::StopOrder &order)
    {
        work::StopCarriedT stop;
        stop.task = order.task.record();
        stop.run = order.run;
        this->encoded.Set(std::move(stop));
    }

    void operator()(const execution::PaceOrder &order)
    {
        work::PaceCarriedT pace;
        pace.task = order.task.record();
        pace.run = order.run;
        pace.percent = order.percent;
        this->encoded.Set(std::move(pace));
    }
};

execution::Order toOrder(const work::CarriedOrderUnion &encoded)
{
    if (const auto *poll = encoded.AsPollCarried()) {
        return execution::PollOrder{poll->lastSequence, absl::Milliseconds(poll->waitMillis), absl::Milliseconds(poll->watchMillis)};
    }
    if (const auto *start = encoded.AsStartCarried()) {
        return execution::StartOrder{keyOf(start->task), start->run, start->payload, start->checkpoint, start->ticket};
    }
    if (const auto *stop = encoded.AsStopCarried()) {
        return execution::StopOrder{keyOf(stop->task), stop->run};
    }
    if (const auto *pace = encoded.AsPaceCarried()) {
        return execution::PaceOrder{keyOf(pace->task), pace->run, pace->percent};
    }
    throw InvalidArgumentError("relayed call: order is missing");
}

} // namespace

work::CarryCallT encodeRelayCall(const execution::WorkerCall &call)
{
    work::CarryCallT encoded;
    encoded.worker = call.worker.id;
    encoded.born = call.worker.born;
    encoded.address = call.address;
    encoded.fence = call.fence;
    encoded.leaseEndOnWorkerClock = call.leaseEndOnWorkerClock;
    encoded.timeoutMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(call.timeout));
    if (call.conditions.sendBy < absl::InfiniteFuture()) {
        const std::int64_t remaining = absl::ToInt64Milliseconds(call.conditions.sendBy - controlNow());
        encoded.sendWithinMillis = static_cast<std::uint32_t>(std::max<std::int64_t>(1, remaining));
    }
    std::visit(OrderEncoder{encoded.order}, call.order);
    return encoded;
}

execution::WorkerCall decodeRelayCall(const work::CarryCallT &call)
{
    execution::WorkerCall decoded;
    decoded.worker = {call.worker, call.born};
    decoded.address = call.address;
    decoded.fence = call.fence;
    decoded.leaseEndOnWorkerClock = call.leaseEndOnWorkerClock;
    decoded.timeout = absl::Milliseconds(call.timeoutMillis);
    decoded.order = toOrder(call.order);
    if (call.sendWithinMillis > 0) {
        decoded.conditions.sendBy = controlNow() + absl::Milliseconds(call.sendWithinMillis);
    }
    return decoded;
}

work::CarryReplyT encodeRelayReply(const execution::WorkerAnswer &answer)
{
    work::CarryReplyT encoded;
    encoded.kind = static_cast<std::uint8_t>(answer.kind);
    encoded.end = static_cast<std::uint8_t>(answer.end);
    encoded.born = answer.born;
    encoded.hasClock = answer.hasClock;
    encoded.clockMillis = answer.clockMillis;
    for (const execution::ListedRun &run : answer.running) {
        auto &listed = encoded.running.emplace_back(std::make_unique<work::CarriedRunT>());
        listed->task = run.task.record();
        listed->run = run.run;
        listed->checkpoint = run.checkpoint;
        listed->percent = run.percent;
        listed->load = run.load;
    }
    for (const execution::ListedEnd &end : answer.ended) {
        auto &listed = encoded.ended.emplace_back(std::make_unique<work::RunEndT>());
        listed->task = end.task.record();
        listed->run = end.run;
        listed->kind = end.kind;
        listed->checkpoint = end.checkpoint;
        listed->sequence = end.sequence;
    }
    return encoded;
}

execution::WorkerAnswer decodeRelayReply(const work::CarryReplyT &reply)
{
    if (reply.kind > lastAnswerKind) {
        throw InvalidArgumentError(absl::StrCat("relayed answer: unknown kind ", reply.kind));
    }
    execution::WorkerAnswer decoded;
    decoded.kind = static_cast<execution::AnswerKind>(reply.kind);
    decoded.end = reply.end > lastCallEnd ? execution::CallEnd::Unknown : static_cast<execution::CallEnd>(reply.end);
    decoded.born = reply.born;
    decoded.hasClock = reply.hasClock;
    decoded.clockMillis = reply.clockMillis;
    for (const auto &run : reply.running) {
        decoded.running.push_back({keyOf(run->task), run->run, run->checkpoint, run->percent, run->load});
    }
    for (const auto &end : reply.ended) {
        decoded.ended.push_back({end->sequence, keyOf(end->task), end->run, end->kind, end->checkpoint});
    }
    return decoded;
}

} // namespace paddlepier::cluster
