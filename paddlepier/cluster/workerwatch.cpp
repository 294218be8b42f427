// Executes polls for the leader, and repeats those of idle workers until something changes.

#include "paddlepier/cluster/workerwatch.h"

#include "paddlepier/execution/workerview.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace paddlepier::cluster
{

WorkerWatch::WorkerWatch(WatchHooks watchHooks)
    : hooks(std::move(watchHooks))
{
}

void WorkerWatch::poll(const std::string &leader, const execution::WorkerCall &call, Done done)
{
    const auto watch = std::make_shared<Watch>();
    watch->leader = leader;
    watch->call = call;
    watch->order = std::get<execution::PollOrder>(call.order);
    watch->done = std::move(done);
    watch->expiresAt = this->hooks.now() + watch->order.watch;
    watch->number = this->nextNumber++;
    this->newest[call.worker] = watch->number;
    this->sendPoll(watch);
}

std::size_t WorkerWatch::size() const
{
    return this->newest.size();
}

void WorkerWatch::sendPoll(const std::shared_ptr<Watch> &watch)
{
    this->hooks.call(watch->call,
                     [this, watch](Timestamp answeredAt, const execution::WorkerAnswer &answer) { this->handleAnswer(watch, answeredAt, answer); });
}

void WorkerWatch::handleAnswer(const std::shared_ptr<Watch> &watch, Timestamp answeredAt, const execution::WorkerAnswer &answer)
{
    if (!this->shouldRepeat(*watch, answer)) {
        if (this->isNewest(*watch)) {
            this->newest.erase(watch->call.worker);
        }
        watch->done(answer);
        return;
    }
    if (answer.hasClock) {
        watch->clockMillis = std::max(answer.clockMillis, watch->clockMillis.value_or(answer.clockMillis));
    }
    execution::PollOrder order = watch->order;
    order.lastSequence = this->hooks.now() - answeredAt <= execution::incarnationConfirmedFor ? order.lastSequence : 0;
    watch->call.order = order;
    this->sendPoll(watch);
}

bool WorkerWatch::shouldRepeat(const Watch &watch, const execution::WorkerAnswer &answer) const
{
    // Each incarnation has its own clock. For a worker that doesn't report its start, a clock that went back is the only sign of a new one.
    const bool isClockSetBack = answer.hasClock && answer.clockMillis < watch.clockMillis.value_or(answer.clockMillis);
    const bool isInTime = this->hooks.now() + watch.order.wait <= watch.expiresAt;
    return this->isNewest(watch) && isInTime && !isClockSetBack && execution::reportsNoChange(watch.call, watch.order, answer)
           && this->hooks.isServing(watch.leader);
}

bool WorkerWatch::isNewest(const Watch &watch) const
{
    const auto known = this->newest.find(watch.call.worker);
    return known != this->newest.end() && known->second == watch.number;
}

} // namespace paddlepier::cluster
