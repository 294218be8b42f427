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

OrderCarrying::OrderCarrying(CarryingWays carryingWays)
    : ways(std::move(carryingWays))
{
}

void OrderCarrying::noteAlive(Timestamp now, const std::string &instance, const std::string &dataCentre, std::uint64_t incarnation)
{
    if (!this->carriers.noteAlive(now, instance, dataCentre, incarnation)) {
        this->endWatchesOf(instance);
    }
}

void OrderCarrying::tick(Timestamp seenUntil)
{
    if (seenUntil < this->nextWatchEnd) {
        return;
    }
    const auto isLost = [this, seenUntil](const auto &entry) { return !entry.second.empty() && !this->carriers.isAlive(seenUntil, entry.first); };
    const auto lost = std::find_if(this->watches.begin(), this->watches.end(), isLost);
    if (lost != this->watches.end()) {
        this->nextWatchEnd = seenUntil + watchEndInterval;
        this->endWatchesOf(std::string(lost->first));
    }
}

void OrderCarrying::forgetWatches()
{
    this->watches.clear();
}

void OrderCarrying::endWatchesOf(const std::string &carrier)
{
    const auto found = this->watches.find(carrier);
    if (found == this->watches.end()) {
        return;
    }
    const std::set<Pending> ended = std::move(found->second);
    this->watches.erase(found);
    log::info("cluster", "watches.lost", {{"instance", carrier}, {"workers", ended.size()}});
    for (const Pending &pending : ended) {
        this->close(pending, pending->first, {});
    }
}

void OrderCarrying::carry(const CarryingPlace &place, const execution::WorkerCall &call, const Done &done)
{
    const Timestamp now = this->ways.now();
    const std::string carrier = this->carriers.choose(now, place.workerCount, call.worker.id, place.dataCentre);
    const Pending pending = std::make_shared<OnItsWay>(OnItsWay{call, carrier, now, done, {true}, {}});
    if (carrier.empty()) {
        this->ways.direct(call, [this, pending](const execution::WorkerAnswer &answer) { this->close(pending, pending->first, answer); });
    } else {
        const Duration watch = watchOf(call);
        if (watch > absl::ZeroDuration()) {
            this->watches[carrier].insert(pending);
        }
        this->ways.through(
            carrier, call, now + call.timeout + watch + carrySlack, [this, pending](const Carried &carried) { this->takeCarried(pending, carried); });
    }
    if (!mayArriveTwice(call.order)) {
        return;
    }
    this->ways.later(now + overtakingAfter, [this, pending] {
        if (pending->isOver || !pending->first.isOpen) {
            return;
        }
        this->doubtCarrier(*pending);
        if (this->overtaking < mostOvertaking) {
            this->sendAgain(pending);
        }
    });
}

void OrderCarrying::takeCarried(const Pending &pending, const Carried &carried)
{
    if (carried.outcome == CarriedOutcome::Silent) {
        this->doubtCarrier(*pending);
    } else {
        this->answeredAt[pending->carrier] = this->ways.now();
    }
    if (carried.outcome == CarriedOutcome::Declined) {
        this->carriers.noteFailure(this->ways.now(), pending->carrier);
        pending->first = {};
        if (!pending->isOver && !pending->second.isOpen) {
            this->sendAgain(pending);
        }
        return;
    }
    const execution::AnswerKind kind = carried.answer.kind;
    if (kind == execution::AnswerKind::NoAnswer || kind == execution::AnswerKind::NotSent) {
        this->carriers.noteUnreached(pending->call.worker.id);
    }
    this->close(pending, pending->first, carried.answer);
}

void OrderCarrying::doubtCarrier(const OnItsWay &order)
{
    const auto answered = this->answeredAt.find(order.carrier);
    const bool isSilent = answered == this->answeredAt.end() || answered->second < order.sentAt;
    if (order.carrier.empty() || !isSilent) {
        return;
    }
    if (this->carriers.noteFailure(this->ways.now(), order.carrier)) {
        log::info("cluster", "carrier.silent", {{"instance", order.carrier}, {"worker", order.call.worker.text()}});
        this->endWatchesOf(order.carrier);
    }
}

void OrderCarrying::sendAgain(const Pending &pending)
{
    pending->second.isOpen = true;
    ++this->overtaking;
    this->ways.direct(pending->call, [this, pending](const execution::WorkerAnswer &answer) { this->takeSecond(pending, answer); });
}

void OrderCarrying::takeSecond(const Pending &pending, const execution::WorkerAnswer &answer)
{
    --this->overtaking;
    this->close(pending, pending->second, answer);
}

void OrderCarrying::close(const Pending &pending, Way &way, const execution::WorkerAnswer &answer)
{
    way = {false, answer.kind};
    if (const auto watched = this->watches.find(pending->carrier); watched != this->watches.end()) {
        watched->second.erase(pending);
    }
    if (pending->isOver || (!settles(answer.kind) && (pending->first.isOpen || pending->second.isOpen))) {
        return;
    }
    pending->isOver = true;
    execution::WorkerAnswer whole = answer;
    whole.kind = settles(answer.kind) ? answer.kind : combined(*pending);
    pending->done(whole);
}

execution::AnswerKind OrderCarrying::combined(const OnItsWay &order)
{
    const execution::AnswerKind first = order.first.result;
    const execution::AnswerKind second = order.second.result;
    if (first == execution::AnswerKind::NoAnswer || second == execution::AnswerKind::NoAnswer) {
        return execution::AnswerKind::NoAnswer;
    }
    return second == execution::AnswerKind::NotSent ? first : second;
}

} // namespace paddlepier::cluster
