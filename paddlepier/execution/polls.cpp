// Dispatcher: polls of the workers, and the ends that they report.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <algorithm>
#include <iterator>

namespace paddlepier::execution
{

namespace
{

/** How long a worker may hold a poll back while no run ends; bounds how late an unresponsive worker is detected. */
constexpr Duration pollWait = absl::Milliseconds(500);
/** The same where filling runs interfere with serving ones, whose latency figures cover half a second. */
constexpr Duration contendedPollWait = absl::Milliseconds(400);
/**
 * The same where nothing runs and all ends are recorded, as on most workers of a large cell. There the poll only shows that the worker still answers;
 * the start of a task that is placed meanwhile shows the same.
 */
constexpr Duration idlePollWait = absl::Milliseconds(2000);
/**
 * How long another instance may repeat the poll of an idle worker: such a worker costs the leader one order in that time. The worker's clock is read
 * as rarely, so that a lease may be off by 3 % of this time.
 */
constexpr Duration idleWatch = absl::Seconds(10);
/** Added to the wait: some ten round trips of the slowest link. If an answer is lost, the ends that it listed are seen this much later. */
constexpr Duration pollSlack = absl::Milliseconds(250);
/** Timeout of the poll of an unresponsive worker, which is sent without a wait; short, so that the worker's return is noticed soon. */
constexpr Duration unresponsivePollTimeout = absl::Milliseconds(350);
/**
 * Timeout of the first poll of a worker in a term. A leader that has just started is busy, and repeated polls would add to its load. The worker has
 * no runs of this leader yet, so that a long timeout costs little.
 */
constexpr Duration firstPollTimeout = absl::Milliseconds(900);
/**
 * Added to every poll's timeout while most workers owe an answer or have failed to give one, since this process itself is slow then. Otherwise the
 * timeout is extended by the growth of answerTimeout().
 */
constexpr Duration slowProcessExtraTimeout = absl::Milliseconds(1500);
/**
 * Wait of polls while this process is slow, to reduce their number. Ends are still reported at once; only an unresponsive worker is detected later.
 */
constexpr Duration slowProcessPollWait = absl::Milliseconds(1000);

/**
 * Maximum number of first polls in flight. Their answers list all that a worker runs, and handling 350 of them at the same time would occupy a core
 * of 0.4 of a processor for longer than the election timeout. At some 10 ms a round trip, 350 workers still take only a tenth of a second.
 */
constexpr std::size_t maxFirstPolls = 32;
/**
 * Pause between polls of a worker while the acknowledgement of one of its ends is held back or left out. A worker that lists an end answers at once instead of
 * waiting for the next one, so that without the pause it would be polled once per round trip.
 */
constexpr Duration heldAcknowledgementPause = absl::Milliseconds(30);
/** How soon a worker whose service isn't in the configuration yet is polled once it is. */
constexpr Duration unconfiguredPollPause = absl::Milliseconds(300);
/** A first poll that isn't answered within this time no longer counts towards the bound: its worker may be cut off. */
constexpr Duration firstPollInFlightTime = absl::Milliseconds(250);

/** Wait of polls while orders may have to wait for the connection of a poll. */
constexpr Duration scarcePollWait = absl::Milliseconds(100);

/** A stop that hasn't been confirmed for this long, by a worker that ignores orders, is left to the end of the lease. */
constexpr Duration unconfirmedStopTimeout = absl::Seconds(3);

/** Number of ends that a worker lists at a time. Where a list is full, the end of a run that isn't listed may still follow. */
constexpr std::size_t maxListedEnds = 500;

} // namespace

void Dispatcher::schedulePoll(const workload::Incarnation &worker, const WorkerView &view)
{
    (view.hasListed ? this->pollTimers : this->firstPollTimers).schedule(worker, view.nextPoll);
}

bool Dispatcher::mayBePolled(const workload::Worker &worker) const
{
    const bool holdsNothing = worker.runs.empty() && worker.superseded.empty();
    return !holdsNothing || this->state.findService(worker.registration.service) != nullptr;
}

void Dispatcher::pollWorkers(Timestamp now)
{
    while (const std::optional<workload::Incarnation> worker = this->pollTimers.popExpired(now)) {
        this->pollWorker(now, *worker);
    }
    // Calls are numbered in the order in which they are sent.
    while (!this->recentFirstPolls.empty() && this->recentFirstPolls.begin()->second + firstPollInFlightTime <= now) {
        this->recentFirstPolls.erase(this->recentFirstPolls.begin());
    }
    while (this->recentFirstPolls.size() < maxFirstPolls) {
        const std::optional<workload::Incarnation> worker = this->firstPollTimers.popExpired(now);
        if (!worker) {
            return;
        }
        this->pollWorker(now, *worker);
    }
}

void Dispatcher::pollWorker(Timestamp now, const workload::Incarnation &worker)
{
    const auto found = this->views.find(worker);
    const workload::Worker *record = this->state.findWorker(worker);
    if (found == this->views.end() || record == nullptr || found->second.isFenced) {
        return;
    }
    WorkerView &view = found->second;
    if (view.pollState == PollState::InFlight && view.isWatched && !isIdle(*record, view)) {
        this->abandonWatch(view);
    }
    if (view.pollState != PollState::Idle) {
        return;
    }
    if (!this->mayBePolled(*record)) {
        view.nextPoll = now + unconfiguredPollPause;
        this->schedulePoll(worker, view);
        return;
    }
    const bool isReachable = view.isReachable();
    PollOrder order;
    // Another incarnation under the id would discard its own ends by these numbers, and they would never be recorded.
    order.lastSequence = view.isIncarnationConfirmed(now) ? this->acknowledgeableSequence(worker) : 0;
    view.isWatched = isReachable && isIdle(*record, view) && now >= view.connectionsScarceUntil;
    order.wait = this->pollWaitFor(now, view);
    view.pollCall = this->nextCall;
    order.watch = view.isWatched ? idleWatch : absl::ZeroDuration();
    if (!view.hasListed) {
        this->recentFirstPolls.emplace(this->nextCall, now);
    }
    const Duration timeout = this->pollTimeoutFor(view, order.wait);
    view.pollState = PollState::InFlight;
    view.pollSentAt = now;
    // An unresponsive worker may receive what it doesn't answer: granting it a lease with each poll would keep its runs alive indefinitely. Where
    // most workers are unresponsive, this process may be too slow to read their answers, and without leases healthy workers would end all their runs.
    // A worker that has answered nothing for a complete lease is itself unresponsive.
    const bool mayBeProcessFault = this->isProcessSlow && view.hasClock() && now - view.lastAnswerAt() < this->options.maxLease;
    // A watch repeats the lease that it began with, which must not shorten a lease that a start grants meanwhile.
    const bool extendsLease = !view.isWatched && (isReachable || mayBeProcessFault) && !this->mustLetLeaseExpire(now, *record, view);
    this->send(now, worker, order, timeout, extendsLease);
}

void Dispatcher::limitWatch(Timestamp now, const workload::Incarnation &worker)
{
    const WorkerView &view = this->views.at(worker);
    if (view.pollState == PollState::InFlight && view.isWatched) {
        this->pollTimers.advance(worker, now + idlePollWait + pollSlack);
    }
}

void Dispatcher::abandonWatch(WorkerView &view)
{
    this->calls.erase(view.pollCall);
    view.recordCallEnd(view.pollCall);
    view.pollState = PollState::Idle;
}

bool Dispatcher::isIdle(const workload::Worker &record, const WorkerView &view)
{
    const bool holdsNothing = record.runs.empty() && record.superseded.empty() && record.expiredLeases.empty();
    return holdsNothing && view.acknowledgedSequence >= record.lastSequence;
}

bool Dispatcher::mustLetLeaseExpire(Timestamp now, const workload::Worker &record, const WorkerView &view) const
{
    if (!view.ignoresOrders(now)) {
        return false;
    }
    return std::any_of(record.runs.begin(), record.runs.end(), [this, now](const workload::TaskKey &key) {
        const auto track = this->tracks.find(key);
        const bool isUnconfirmed = track != this->tracks.end() && track->second.settledAt == absl::InfiniteFuture();
        const bool hasToEnd = isUnconfirmed && track->second.isConfirmed() && now - track->second.stopRequestedAt >= unconfirmedStopTimeout;
        if (hasToEnd) {
            log::warning("dispatch", "lease.withheld", {{"worker", track->second.worker.text()}, {"task", key.text()}, {"run", track->second.run}});
        }
        return hasToEnd;
    });
}

Duration Dispatcher::pollWaitFor(Timestamp now, const WorkerView &view) const
{
    if (!view.isReachable()) {
        return absl::ZeroDuration();
    }
    if (now < view.connectionsScarceUntil) {
        return scarcePollWait;
    }
    if (view.isWatched) {
        return idlePollWait;
    }
    return view.isContended ? contendedPollWait : this->isProcessSlow ? slowProcessPollWait : pollWait;
}

Duration Dispatcher::pollTimeoutFor(const WorkerView &view, Duration wait) const
{
    const bool isFirst = view.pollSentAt == absl::InfinitePast();
    const Duration timeout = view.isReachable() ? std::max(wait, pollWait) + pollSlack : isFirst ? firstPollTimeout : unresponsivePollTimeout;
    return timeout + (this->isProcessSlow ? slowProcessExtraTimeout : this->answerTimeout() - minAnswerTimeout);
}

void Dispatcher::handlePollAnswer(Timestamp now, const PendingCall &call, const WorkerAnswer &answer)
{
    WorkerView &view = this->views.at(call.worker);
    view.pollState = PollState::Idle;
    if (answer.kind != AnswerKind::Accepted) {
        view.recordFailedCall(now);
        this->schedulePoll(call.worker, view);
        log::info("dispatch", "poll.failed", {{"worker", call.worker.text()}, {"answer", nameOf(answer.kind)}, {"call", nameOf(answer.end)}});
        return;
    }
    view.nextPoll = now;
    view.recordListing(now);
    // The process that sends a poll may leave out the acknowledgement. The worker then lists the same ends again, at once.
    const std::uint64_t acknowledged = std::get<PollOrder>(call.order).lastSequence;
    const bool isAcknowledged = std::none_of(answer.ended.begin(), answer.ended.end(), [=](const ListedEnd &end) { return end.sequence <= acknowledged; });
    if (isAcknowledged) {
        view.acknowledgedSequence = std::max(view.acknowledgedSequence, acknowledged);
    }
    if (!view.hasListed) {
        view.hasListed = true;
        for (const workload::TaskKey &key : this->state.findWorker(call.worker)->runs) {
            this->runTimers.schedule(key, now);
        }
    }
    this->recordEnds(now, call.worker, view, answer);
    if (!isAcknowledged || this->acknowledgeableSequence(call.worker) < this->state.findWorker(call.worker)->lastSequence) {
        view.nextPoll = now + heldAcknowledgementPause;
    }
    this->updateRunning(now, call.worker, answer);
    this->monitorRuns(now, call.worker, view);
    if (answer.ended.size() < maxListedEnds) {
        this->settleVanishedRuns(now, call.worker, call.sentAt, answer);
        this->settleSuperseded(now, call.worker, call.sentAt, answer);
    }
    if (view.pollState == PollState::Idle) {
        this->schedulePoll(call.worker, view);
    }
}

void Dispatcher::recordEnds(Timestamp now, const workload::Incarnation &worker, WorkerView &view, const WorkerAnswer &answer)
{
    work::RecordEndsT record;
    record.worker = worker.id;
    record.born = worker.born;
    record.hasAnswered = true;
    const workload::Worker &ledgerWorker = *this->state.findWorker(worker);
    const std::uint64_t recorded = ledgerWorker.lastSequence;
    std::vector<ListedEnd> doneEnds;
    std::copy_if(
        answer.ended.begin(), answer.ended.end(), std::back_inserter(doneEnds), [](const ListedEnd &end) { return end.kind == work::RunEndKind::Done; });
    if (doneEnds.empty()) {
        this->listedDoneEnds.erase(worker);
    } else {
        this->listedDoneEnds[worker] = std::move(doneEnds);
    }
    for (const ListedEnd &listed : answer.ended) {
        if (listed.sequence <= recorded) {
            continue;
        }
        this->evaluateEnd(now, worker, view, listed);
        auto &end = record.ends.emplace_back(std::make_unique<work::RunEndT>());
        end->task = listed.task.record();
        end->run = listed.run;
        end->kind = listed.kind;
        end->checkpoint = listed.checkpoint;
        end->sequence = listed.sequence;
    }
    if (record.ends.empty() && ledgerWorker.expiredLeases.empty()) {
        return;
    }
    this->eraseTracks(record);
    view.pollState = PollState::RecordingEnds;
    work::CommandUnion command;
    command.Set(std::move(record));
    this->propose(ProposalKind::RecordEnds, worker, std::move(command));
}

void Dispatcher::eraseTracks(const work::RecordEndsT &command)
{
    for (const auto &end : command.ends) {
        const auto track = this->tracks.find(workload::TaskKey(*end->task));
        if (track != this->tracks.end() && track->second.run == end->run && track->second.worker == workload::Incarnation{command.worker, command.born}) {
            this->tracks.erase(track);
        }
    }
}

void Dispatcher::settleVanishedRuns(Timestamp now, const workload::Incarnation &worker, Timestamp pollSentAt, const WorkerAnswer &answer)
{
    std::vector<std::pair<workload::TaskKey, RunTrack>> vanished;
    for (const workload::TaskKey &key : this->state.findWorker(worker)->runs) {
        const auto track = this->tracks.find(key);
        if (track == this->tracks.end() || track->second.worker != worker || track->second.listedAt == now) {
            continue;
        }
        // A start that arrives after the end of its lease is refused, so that a run that isn't there by then never starts, even if no stop arrives.
        const bool isStartOver =
            !track->second.isConfirmed() && track->second.startCalls > 0 && answer.hasClock && answer.clockMillis > track->second.startLeaseEnd;
        if (track->second.isAdopted || track->second.settledAt < pollSentAt || isStartOver) {
            vanished.emplace_back(key, track->second);
        } else if (track->second.phase == RunPhase::Running && track->second.runningSince < pollSentAt) {
            // The run had started and is gone without a listed end: stop it, so that it can't start again.
            const std::uint64_t recorded = this->state.findWorker(worker)->lastSequence;
            log::warning("dispatch", "run.vanished", {{"task", key.text()}, {"run", track->second.run}, {"worker", worker.text()}, {"recordedEnds", recorded}});
            this->stopRun(now, key, track->second, StopReason::StartUnsettled);
        }
    }
    this->proposeEnds(worker, vanished, work::RunEndKind::Void);
}

} // namespace paddlepier::execution
