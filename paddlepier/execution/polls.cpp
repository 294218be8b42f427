// Carries the ledger's placements out on the workers: polls, and what they tell of runs that are over.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** How long a worker may hold a poll back while nothing ends; bounds how late a silent worker is noticed. */
constexpr Duration pollWait = absl::Milliseconds(500);
/** The same where filling runs disturb serving ones, whose figures cover half a second. */
constexpr Duration contendedPollWait = absl::Milliseconds(400);
/**
 * The same where nothing runs and all ends are recorded: most workers of a large cell. What the poll tells there is that the worker still
 * answers; a task placed on it meanwhile has its start to tell the same.
 */
constexpr Duration idlePollWait = absl::Milliseconds(2000);
/**
 * How long another instance may go on polling an idle worker: what such a worker costs the leader is one order in that time. Its clock is
 * read as seldom, and a lease may be wrong by 3 % of it.
 */
constexpr Duration idleWatch = absl::Seconds(10);
/** Beyond the wait: some ten round trips of the slowest link; ends that an answer lost with it listed are seen that much later. */
constexpr Duration pollSlack = absl::Milliseconds(250);
/** A worker that was silent is asked without a wait; short, so that it is found again soon. */
constexpr Duration silentPollTimeout = absl::Milliseconds(350);
/**
 * The first poll of a worker in a term: a leader that has just begun is busy, and asking again would add to that. The worker
 * has no work of this leader yet, so that little is lost by waiting.
 */
constexpr Duration firstPollTimeout = absl::Milliseconds(900);
/**
 * Added to every poll's timeout while most workers owe an answer or have failed to give one, since this process is slow itself then;
 * otherwise as much is added as patience has grown.
 */
constexpr Duration slowSurplus = absl::Milliseconds(1500);
/** A slow process polls less: ends are told at once all the same, and only a silent worker is noticed later. */
constexpr Duration slowPollWait = absl::Milliseconds(1000);

/**
 * First polls under way at once: their answers tell all that a worker runs, and 350 of them at the same time would hold a core of
 * 0.4 of a processor up for longer than an election waits. At some 10 ms a round trip 350 workers still take a tenth of a second.
 */
constexpr std::size_t mostFirstPolls = 32;
/** How soon a worker that no configuration names so far is polled once one does. */
constexpr Duration uncountedPause = absl::Milliseconds(300);
/** A first poll that isn't answered by then makes way for others: its worker may be cut off. */
constexpr Duration firstPollPatience = absl::Milliseconds(250);

/** A worker lists this many ends at a time: where there are as many, the end of a run that isn't listed may be yet to come. */
constexpr std::size_t mostListedEnds = 500;

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
    while (!this->recentFirstPolls.empty() && this->recentFirstPolls.begin()->second + firstPollPatience <= now) {
        this->recentFirstPolls.erase(this->recentFirstPolls.begin());
    }
    while (this->recentFirstPolls.size() < mostFirstPolls) {
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
        view.nextPoll = now + uncountedPause;
        this->schedulePoll(worker, view);
        return;
    }
    const bool isReachable = view.isReachable();
    PollOrder order;
    // Another life under the id would forget ends of its own by these numbers, and nobody would hear of them.
    order.lastSequence = view.isIncarnationConfirmed(now) ? record->lastSequence : 0;
    view.isWatched = isReachable && isIdle(*record, view);
    order.wait = this->pollWaitFor(view);
    view.pollCall = this->nextCall;
    order.watch = view.isWatched ? idleWatch : absl::ZeroDuration();
    if (!view.hasListed) {
        this->recentFirstPolls.emplace(this->nextCall, now);
    }
    const Duration timeout = this->pollTimeoutFor(view, order.wait);
    view.pollState = PollState::InFlight;
    view.pollSentAt = now;
    // A silent worker may receive what it doesn't answer: offering it a lease again and again would keep its runs for ever. Where most
    // are silent it may be this process that doesn't read their answers in time, and without leases sound workers would end all their runs;
    // one that has answered nothing for a whole lease is silent itself.
    const bool mayBeOurs = this->isProcessSlow && view.hasClock() && now - view.lastAnswerAt() < this->options.maxLease;
    // A watch goes on with the lease of its beginning, which must not shorten one that a start gives meanwhile.
    this->send(now, worker, order, timeout, !view.isWatched && (isReachable || mayBeOurs));
}

void Dispatcher::limitWatch(Timestamp now, const workload::Incarnation &worker)
{
    const WorkerView &view = this->views.at(worker);
    if (view.pollState == PollState::InFlight && view.isWatched) {
        this->pollTimers.schedule(worker, now + idlePollWait + pollSlack);
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

Duration Dispatcher::pollWaitFor(const WorkerView &view) const
{
    if (!view.isReachable()) {
        return absl::ZeroDuration();
    }
    if (view.isWatched) {
        return idlePollWait;
    }
    return view.isContended ? contendedPollWait : this->isProcessSlow ? slowPollWait : pollWait;
}

Duration Dispatcher::pollTimeoutFor(const WorkerView &view, Duration wait) const
{
    const bool isFirst = view.pollSentAt == absl::InfinitePast();
    const Duration timeout = view.isReachable() ? std::max(wait, pollWait) + pollSlack : isFirst ? firstPollTimeout : silentPollTimeout;
    return timeout + (this->isProcessSlow ? slowSurplus : this->answerTimeout() - minAnswerTimeout);
}

void Dispatcher::handlePollAnswer(Timestamp now, const PendingCall &call, const WorkerAnswer &answer)
{
    WorkerView &view = this->views.at(call.worker);
    view.pollState = PollState::Idle;
    if (answer.kind != AnswerKind::Accepted) {
        view.recordFailedCall(now);
        this->schedulePoll(call.worker, view);
        log::info("dispatch", "poll.failed", {{"worker", call.worker.text()}, {"answer", nameOf(answer.kind)}});
        return;
    }
    view.nextPoll = now;
    view.recordListing(now);
    view.acknowledgedSequence = std::max(view.acknowledgedSequence, std::get<PollOrder>(call.order).lastSequence);
    if (!view.hasListed) {
        view.hasListed = true;
        for (const workload::TaskKey &key : this->state.findWorker(call.worker)->runs) {
            this->runTimers.schedule(key, now);
        }
    }
    this->recordEnds(now, call.worker, view, answer);
    this->updateRunning(now, call.worker, answer);
    this->monitorRuns(now, call.worker, view);
    if (answer.ended.size() < mostListedEnds) {
        this->settleVanishedRuns(now, call.worker, call.sentAt);
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
    const workload::Worker &known = *this->state.findWorker(worker);
    const std::uint64_t recorded = known.lastSequence;
    for (const ListedEnd &listed : answer.ended) {
        if (listed.sequence <= recorded) {
            continue;
        }
        this->evaluateEnd(now, view, listed);
        auto &end = record.ends.emplace_back(std::make_unique<work::RunEndT>());
        end->task = listed.task.record();
        end->run = listed.run;
        end->kind = listed.kind;
        end->checkpoint = listed.checkpoint;
        end->sequence = listed.sequence;
    }
    if (record.ends.empty() && known.expiredLeases.empty()) {
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

void Dispatcher::settleVanishedRuns(Timestamp now, const workload::Incarnation &worker, Timestamp pollSentAt)
{
    std::vector<std::pair<workload::TaskKey, RunTrack>> vanished;
    for (const workload::TaskKey &key : this->state.findWorker(worker)->runs) {
        const auto track = this->tracks.find(key);
        if (track == this->tracks.end() || track->second.worker != worker || track->second.listedAt == now) {
            continue;
        }
        if (track->second.isAdopted || track->second.settledAt < pollSentAt) {
            vanished.emplace_back(key, track->second);
        } else if (track->second.phase == RunPhase::Running && track->second.runningSince < pollSentAt) {
            // It ran and is gone without an end that is still listed: make sure that it stays gone.
            const std::uint64_t recorded = this->state.findWorker(worker)->lastSequence;
            log::warning("dispatch", "run.vanished", {{"task", key.text()}, {"run", track->second.run}, {"worker", worker.text()}, {"recordedEnds", recorded}});
            this->stopRun(now, key, track->second, StopReason::StartUnsettled);
        }
    }
    this->proposeEnds(worker, vanished, work::RunEndKind::Void);
}

} // namespace paddlepier::execution
