// Orders to workers and their answers as messages between core instances.

#include "paddlepier/cluster/relaycodec.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

namespace paddlepier::cluster
{

namespace
{

using workload::TaskKey;

constexpr std::uint8_t lastAnswerKind = static_cast<std::uint8_t>(execution::AnswerKind::NotSent);

TaskKey keyOf(const std::unique_ptr<work::TaskKeyT> &record)
{
    if (!record) {
        throw InvalidArgumentError("a carried order or answer names no task");
    }
    return TaskKey(*record);
}

struct OrderEncoder {
    work::CarriedOrderUnion &made;

    void operator()(const execution::PollOrder &order)
    {
        work::PollCarriedT poll;
        poll.lastSequence = order.lastSequence;
        poll.waitMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(order.wait));
        poll.watchMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(order.watch));
        this->made.Set(poll);
    }

    void operator()(const execution::StartOrder &order)
    {
        work::StartCarriedT start;
        start.task = order.task.record();
        start.run = order.run;
        start.payload = order.payload;
        start.checkpoint = order.checkpoint;
        start.ticket = order.ticket;
        this->made.Set(std::move(start));
    }

    void operator()(const execution::StopOrder &order)
    {
        work::StopCarriedT stop;
        stop.task = order.task.record();
        stop.run = order.run;
        this->made.Set(std::move(stop));
    }

    void operator()(const execution::PaceOrder &order)
    {
        work::PaceCarriedT pace;
        pace.task = order.task.record();
        pace.run = order.run;
        pace.percent = order.percent;
        this->made.Set(std::move(pace));
    }
};

execution::Order toOrder(const work::CarriedOrderUnion &carried)
{
    if (const auto *poll = carried.AsPollCarried()) {
        return execution::PollOrder{poll->lastSequence, absl::Milliseconds(poll->waitMillis), absl::Milliseconds(poll->watchMillis)};
    }
    if (const auto *start = carried.AsStartCarried()) {
        return execution::StartOrder{keyOf(start->task), start->run, start->payload, start->checkpoint, start->ticket};
    }
    if (const auto *stop = carried.AsStopCarried()) {
        return execution::StopOrder{keyOf(stop->task), stop->run};
    }
    if (const auto *pace = carried.AsPaceCarried()) {
        return execution::PaceOrder{keyOf(pace->task), pace->run, pace->percent};
    }
    throw InvalidArgumentError("a carried call has no order");
}

} // namespace

work::CarryCallT toCarryCall(const execution::WorkerCall &call)
{
    work::CarryCallT made;
    made.worker = call.worker.id;
    made.born = call.worker.born;
    made.address = call.address;
    made.fence = call.fence;
    made.leaseEndOnWorkerClock = call.leaseEndOnWorkerClock;
    made.timeoutMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(call.timeout));
    std::visit(OrderEncoder{made.order}, call.order);
    return made;
}

execution::WorkerCall fromCarryCall(const work::CarryCallT &call)
{
    execution::WorkerCall made;
    made.worker = {call.worker, call.born};
    made.address = call.address;
    made.fence = call.fence;
    made.leaseEndOnWorkerClock = call.leaseEndOnWorkerClock;
    made.timeout = absl::Milliseconds(call.timeoutMillis);
    made.order = toOrder(call.order);
    return made;
}

work::CarryReplyT toCarryReply(const execution::WorkerAnswer &answer)
{
    work::CarryReplyT made;
    made.kind = static_cast<std::uint8_t>(answer.kind);
    made.born = answer.born;
    made.hasClock = answer.hasClock;
    made.clockMillis = answer.clockMillis;
    for (const execution::ListedRun &run : answer.running) {
        auto &carried = made.running.emplace_back(std::make_unique<work::CarriedRunT>());
        carried->task = run.task.record();
        carried->run = run.run;
        carried->checkpoint = run.checkpoint;
        carried->percent = run.percent;
        carried->load = run.load;
    }
    for (const execution::ListedEnd &end : answer.ended) {
        auto &carried = made.ended.emplace_back(std::make_unique<work::RunEndT>());
        carried->task = end.task.record();
        carried->run = end.run;
        carried->kind = end.kind;
        carried->checkpoint = end.checkpoint;
        carried->sequence = end.sequence;
    }
    return made;
}

execution::WorkerAnswer fromCarryReply(const work::CarryReplyT &reply)
{
    if (reply.kind > lastAnswerKind) {
        throw InvalidArgumentError(absl::StrCat("no kind of answer has the number ", reply.kind));
    }
    execution::WorkerAnswer made;
    made.kind = static_cast<execution::AnswerKind>(reply.kind);
    made.born = reply.born;
    made.hasClock = reply.hasClock;
    made.clockMillis = reply.clockMillis;
    for (const auto &run : reply.running) {
        made.running.push_back({keyOf(run->task), run->run, run->checkpoint, run->percent, run->load});
    }
    for (const auto &end : reply.ended) {
        made.ended.push_back({end->sequence, keyOf(end->task), end->run, end->kind, end->checkpoint});
    }
    return made;
}

} // namespace paddlepier::cluster
