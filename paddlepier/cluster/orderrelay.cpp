// Sends orders to workers, directly or through another core instance.

#include "paddlepier/cluster/orderrelay.h"

#include "paddlepier/base/log.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace paddlepier::cluster
{

namespace
{

/** Added to the worker's time for the detour over another core: some ten round trips of the slowest link. */
constexpr Duration relaySlack = absl::Milliseconds(150);

/** A healthy worker answers over another core within some 20 ms. This is ten times that, and leaves time to a job with one second of slack. */
constexpr Duration hedgeDelay = absl::Milliseconds(250);

/**
 * Bound on concurrent hedges: what the loss of one relay of five holds up within the hedge delay at 1,500 starts a second. A leader that is
 * slow itself, and therefore sees all answers late, adds no more than that to its own load.
 */
constexpr std::size_t maxHedgesInFlight = 100;

/**
 * Pause between instances whose watches are ended as unresponsive. Each end causes polls of hundreds of workers. If many instances look
 * unresponsive because this process is slow, ending all watches at once would slow it down further.
 */
constexpr Duration watchEndInterval = absl::Milliseconds(100);

/** A second copy of such an order has no effect, whenever it arrives. */
bool isIdempotent(const execution::Order &order)
{
    return std::holds_alternative<execution::StartOrder>(order) || std::holds_alternative<execution::StopOrder>(order);
}

Duration watchOf(const execution::WorkerCall &call)
{
    const auto *poll = std::get_if<execution::PollOrder>(&call.order);
    return poll == nullptr ? absl::ZeroDuration() : poll->watch;
}

/** True if no later answer to a copy of the order can change the result. */
bool isConclusive(execution::AnswerKind kind)
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

OrderRelay::OrderRelay(RelayHooks relayHooks)
    : hooks(std::move(relayHooks))
{
}

void OrderRelay::markAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation)
{
    if (!this->relays.markAlive(now, instance, dataCentre, incarnation)) {
        this->endWatchesOf(instance);
    }
}

void OrderRelay::tick(Timestamp processedUntil)
{
    if (processedUntil < this->nextWatchEnd) {
        return;
    }
    const auto isLost = [this, processedUntil](const auto &entry) { return !entry.second.empty() && !this->relays.isAlive(processedUntil, entry.first); };
    const auto lost = std::find_if(this->watches.begin(), this->watches.end(), isLost);
    if (lost != this->watches.end()) {
        this->nextWatchEnd = processedUntil + watchEndInterval;
        this->endWatchesOf(std::string(lost->first));
    }
}

void OrderRelay::abandonWatches()
{
    this->watches.clear();
}

void OrderRelay::endWatchesOf(const std::string &relay)
{
    const auto found = this->watches.find(relay);
    if (found == this->watches.end()) {
        return;
    }
    const std::set<OrderPtr> ended = std::move(found->second);
    this->watches.erase(found);
    log::info("cluster", "watches.lost", {{"instance", relay}, {"workers", ended.size()}});
    for (const OrderPtr &pending : ended) {
        this->completeAttempt(pending, pending->primary, {});
    }
}

void OrderRelay::send(const RelayTarget &target, const execution::WorkerCall &call, const Done &done)
{
    const Timestamp now = this->hooks.now();
    const std::string relay = this->relays.choose(now, target.workerCount, call.worker.id, target.dataCentre);
    const OrderPtr pending = std::make_shared<PendingOrder>(PendingOrder{call, relay, now, done, {true}, {}});
    if (relay.empty()) {
        this->hooks.sendDirect(call, [this, pending](const execution::WorkerAnswer &answer) { this->completeAttempt(pending, pending->primary, answer); });
    } else {
        const Duration watch = watchOf(call);
        if (watch > absl::ZeroDuration()) {
            this->watches[relay].insert(pending);
        }
        this->hooks.sendVia(
            relay, call, now + call.timeout + watch + relaySlack, [this, pending](const RelayResult &relayed) { this->handleRelayResult(pending, relayed); });
    }
    if (!isIdempotent(call.order)) {
        return;
    }
    this->hooks.runAt(now + hedgeDelay, [this, pending] {
        if (pending->isDone || !pending->primary.isPending) {
            return;
        }
        this->suspectRelay(*pending);
        if (this->hedgesInFlight < maxHedgesInFlight && pending->call.conditions.hold(this->hooks.now())) {
            this->sendHedge(pending);
        }
    });
}

void OrderRelay::handleRelayResult(const OrderPtr &pending, const RelayResult &relayed)
{
    if (relayed.outcome == RelayOutcome::TimedOut) {
        this->suspectRelay(*pending);
    } else {
        this->lastAnsweredAt[pending->relay] = this->hooks.now();
    }
    if (relayed.outcome == RelayOutcome::Declined) {
        this->relays.recordFailure(this->hooks.now(), pending->relay);
        pending->primary = {};
        if (pending->isDone || pending->hedge.isPending) {
            return;
        }
        if (pending->call.conditions.hold(this->hooks.now())) {
            this->sendHedge(pending);
        } else {
            execution::WorkerAnswer notSent;
            notSent.kind = execution::AnswerKind::NotSent;
            this->completeAttempt(pending, pending->primary, notSent);
        }
        return;
    }
    const execution::AnswerKind kind = relayed.answer.kind;
    // A worker that refuses a connection can be reached, and another relay would need a new connection too.
    const execution::CallEnd end = relayed.answer.end;
    const bool isPathFault = end != execution::CallEnd::ConnectionRefused && end != execution::CallEnd::NotSent;
    if (isPathFault && (kind == execution::AnswerKind::NoAnswer || kind == execution::AnswerKind::NotSent)) {
        this->relays.recordUnreachable(pending->call.worker.id);
    }
    this->completeAttempt(pending, pending->primary, relayed.answer);
}

void OrderRelay::suspectRelay(const PendingOrder &order)
{
    const auto answered = this->lastAnsweredAt.find(order.relay);
    const bool isUnresponsive = answered == this->lastAnsweredAt.end() || answered->second < order.sentAt;
    if (order.relay.empty() || !isUnresponsive) {
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
    log::info("cluster",
              "order.hedged",
              {{"worker", pending->call.worker.text()},
               {"fence", pending->call.fence},
               {"relay", pending->relay},
               {"ageMillis", absl::ToInt64Milliseconds(this->hooks.now() - pending->sentAt)}});
    this->hooks.sendDirect(pending->call, [this, pending](const execution::WorkerAnswer &answer) { this->handleHedgeAnswer(pending, answer); });
}

void OrderRelay::handleHedgeAnswer(const OrderPtr &pending, const execution::WorkerAnswer &answer)
{
    --this->hedgesInFlight;
    this->completeAttempt(pending, pending->hedge, answer);
}

void OrderRelay::completeAttempt(const OrderPtr &pending, Attempt &attempt, const execution::WorkerAnswer &answer)
{
    attempt = {false, answer.kind};
    if (const auto watched = this->watches.find(pending->relay); watched != this->watches.end()) {
        watched->second.erase(pending);
    }
    if (pending->isDone || (!isConclusive(answer.kind) && (pending->primary.isPending || pending->hedge.isPending))) {
        return;
    }
    pending->isDone = true;
    execution::WorkerAnswer finalAnswer = answer;
    finalAnswer.kind = isConclusive(answer.kind) ? answer.kind : combinedResult(*pending);
    pending->done(finalAnswer);
}

execution::AnswerKind OrderRelay::combinedResult(const PendingOrder &order)
{
    const execution::AnswerKind primary = order.primary.result;
    const execution::AnswerKind hedge = order.hedge.result;
    if (primary == execution::AnswerKind::NoAnswer || hedge == execution::AnswerKind::NoAnswer) {
        return execution::AnswerKind::NoAnswer;
    }
    return hedge == execution::AnswerKind::NotSent ? primary : hedge;
}

} // namespace paddlepier::cluster
