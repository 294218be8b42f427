// Brings orders to workers, by the leader itself or through another core instance.

#include "paddlepier/cluster/orderrelay.h"

#include "paddlepier/base/log.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace paddlepier::cluster
{

namespace
{

/** Beyond the time that a worker has: the way over another core, some ten round trips of the slowest link. */
constexpr Duration carrySlack = absl::Milliseconds(150);

/** A sound worker answers over another core within some 20 ms: ten times that, and time left for a job that has a second to spare. */
constexpr Duration overtakingAfter = absl::Milliseconds(250);

/**
 * Orders under way both ways at once: what a lost carrier of five holds up in that time at 1,500 starts a second. A leader that is slow
 * itself, so that all answers come late, adds no more than that to its own work.
 */
constexpr std::size_t mostOvertaking = 100;

/**
 * Pause between instances whose watches end for their silence. Each end has hundreds of workers polled anew: where many instances look
 * silent because this process is slow, all of that at once would make it slower.
 */
constexpr Duration watchEndInterval = absl::Milliseconds(100);

/** A second one of the same order changes nothing, whenever it arrives. */
bool mayArriveTwice(const execution::Order &order)
{
    return std::holds_alternative<execution::StartOrder>(order) || std::holds_alternative<execution::StopOrder>(order);
}

Duration watchOf(const execution::WorkerCall &call)
{
    const auto *poll = std::get_if<execution::PollOrder>(&call.order);
    return poll == nullptr ? absl::ZeroDuration() : poll->watch;
}

/** Nothing that arrives after this answer changes what it says. */
bool settles(execution::AnswerKind kind)
{
    switch (kind) {
    case execution::AnswerKind::Accepted:
    case execution::AnswerKind::OldRun:
    case execution::AnswerKind::Fenced:
    case execution::AnswerKind::OtherLife:
        return true;
    case execution::AnswerKind::LeaseOver:
    case execution::AnswerKind::NoRoom:
    case execution::AnswerKind::BadTicket:
    case execution::AnswerKind::Unhealthy:
    case execution::AnswerKind::Invalid:
    case execution::AnswerKind::NoAnswer:
    case execution::AnswerKind::NotSent:
        break;
    }
    return false;
}

} // namespace

OrderRelay::OrderRelay(RelayHooks carryingWays)
    : hooks(std::move(carryingWays))
{
}

void OrderRelay::markAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation)
{
    if (!this->relays.markAlive(now, instance, dataCentre, incarnation)) {
        this->endWatchesOf(instance);
    }
}

void OrderRelay::tick(Timestamp seenUntil)
{
    if (seenUntil < this->nextWatchEnd) {
        return;
    }
    const auto isLost = [this, seenUntil](const auto &entry) { return !entry.second.empty() && !this->relays.isAlive(seenUntil, entry.first); };
    const auto lost = std::find_if(this->watches.begin(), this->watches.end(), isLost);
    if (lost != this->watches.end()) {
        this->nextWatchEnd = seenUntil + watchEndInterval;
        this->endWatchesOf(std::string(lost->first));
    }
}

void OrderRelay::abandonWatches()
{
    this->watches.clear();
}

void OrderRelay::endWatchesOf(const std::string &carrier)
{
    const auto found = this->watches.find(carrier);
    if (found == this->watches.end()) {
        return;
    }
    const std::set<OrderPtr> ended = std::move(found->second);
    this->watches.erase(found);
    log::info("cluster", "watches.lost", {{"instance", carrier}, {"workers", ended.size()}});
    for (const OrderPtr &pending : ended) {
        this->completeAttempt(pending, pending->primary, {});
    }
}

void OrderRelay::send(const RelayTarget &place, const execution::WorkerCall &call, const Done &done)
{
    const Timestamp now = this->hooks.now();
    const std::string carrier = this->relays.choose(now, place.workerCount, call.worker.id, place.dataCentre);
    const OrderPtr pending = std::make_shared<PendingOrder>(PendingOrder{call, carrier, now, done, {true}, {}});
    if (carrier.empty()) {
        this->hooks.sendDirect(call, [this, pending](const execution::WorkerAnswer &answer) { this->completeAttempt(pending, pending->primary, answer); });
    } else {
        const Duration watch = watchOf(call);
        if (watch > absl::ZeroDuration()) {
            this->watches[carrier].insert(pending);
        }
        this->hooks.sendVia(
            carrier, call, now + call.timeout + watch + carrySlack, [this, pending](const RelayResult &carried) { this->handleRelayResult(pending, carried); });
    }
    if (!mayArriveTwice(call.order)) {
        return;
    }
    this->hooks.runAt(now + overtakingAfter, [this, pending] {
        if (pending->isDone || !pending->primary.isPending) {
            return;
        }
        this->suspectRelay(*pending);
        if (this->hedgesInFlight < mostOvertaking) {
            this->sendHedge(pending);
        }
    });
}

void OrderRelay::handleRelayResult(const OrderPtr &pending, const RelayResult &carried)
{
    if (carried.outcome == RelayOutcome::TimedOut) {
        this->suspectRelay(*pending);
    } else {
        this->lastAnsweredAt[pending->relay] = this->hooks.now();
    }
    if (carried.outcome == RelayOutcome::Declined) {
        this->relays.recordFailure(this->hooks.now(), pending->relay);
        pending->primary = {};
        if (!pending->isDone && !pending->hedge.isPending) {
            this->sendHedge(pending);
        }
        return;
    }
    const execution::AnswerKind kind = carried.answer.kind;
    if (kind == execution::AnswerKind::NoAnswer || kind == execution::AnswerKind::NotSent) {
        this->relays.recordUnreachable(pending->call.worker.id);
    }
    this->completeAttempt(pending, pending->primary, carried.answer);
}

void OrderRelay::suspectRelay(const PendingOrder &order)
{
    const auto answered = this->lastAnsweredAt.find(order.relay);
    const bool isSilent = answered == this->lastAnsweredAt.end() || answered->second < order.sentAt;
    if (order.relay.empty() || !isSilent) {
        return;
    }
    if (this->relays.recordFailure(this->hooks.now(), order.relay)) {
        log::info("cluster", "carrier.silent", {{"instance", order.relay}, {"worker", order.call.worker.text()}});
        this->endWatchesOf(order.relay);
    }
}

void OrderRelay::sendHedge(const OrderPtr &pending)
{
    pending->hedge.isPending = true;
    ++this->hedgesInFlight;
    this->hooks.sendDirect(pending->call, [this, pending](const execution::WorkerAnswer &answer) { this->handleHedgeAnswer(pending, answer); });
}

void OrderRelay::handleHedgeAnswer(const OrderPtr &pending, const execution::WorkerAnswer &answer)
{
    --this->hedgesInFlight;
    this->completeAttempt(pending, pending->hedge, answer);
}

void OrderRelay::completeAttempt(const OrderPtr &pending, Attempt &way, const execution::WorkerAnswer &answer)
{
    way = {false, answer.kind};
    if (const auto watched = this->watches.find(pending->relay); watched != this->watches.end()) {
        watched->second.erase(pending);
    }
    if (pending->isDone || (!settles(answer.kind) && (pending->primary.isPending || pending->hedge.isPending))) {
        return;
    }
    pending->isDone = true;
    execution::WorkerAnswer whole = answer;
    whole.kind = settles(answer.kind) ? answer.kind : combinedResult(*pending);
    pending->done(whole);
}

execution::AnswerKind OrderRelay::combinedResult(const PendingOrder &order)
{
    const execution::AnswerKind first = order.primary.result;
    const execution::AnswerKind second = order.hedge.result;
    if (first == execution::AnswerKind::NoAnswer || second == execution::AnswerKind::NoAnswer) {
        return execution::AnswerKind::NoAnswer;
    }
    return second == execution::AnswerKind::NotSent ? first : second;
}

} // namespace paddlepier::cluster
