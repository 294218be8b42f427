// Dispatcher: its step, calls and their answers, proposals and their outcomes, and the views of workers.

#include "paddlepier/execution/dispatcher.h"

#include "paddlepier/base/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <utility>

namespace paddlepier::execution
{

namespace
{

/**
 * Where this process is slow, all answers are handled late, by a tenth of a second and more. A worker is then late only if its answer takes this many
 * times the typical time, up to a bound near an order's timeout.
 */
constexpr int answerTimeoutFactor = 4;
constexpr Duration maxAnswerTimeout = absl::Milliseconds(800);
/** Weight of one answer in the typical answer time. */
constexpr double answerWeight = 0.1;

/**
 * Two steps of a process that isn't held up are some 20 ms apart at most. After a longer gap the process was paused, as happens for 60 ms at a time
 * where its share of a processor is limited by a quota, and it handled no answers meanwhile.
 */
constexpr Duration minPause = absl::Milliseconds(50);

/**
 * How often all workers are scanned for changes that only time causes: many times within the shortest time-out that is checked there, the 250 ms for
 * an answer.
 */
constexpr Duration workerCheckInterval = absl::Milliseconds(20);

/** How long a count of waiting jobs is reused; the users' requirement allows two seconds. */
constexpr Duration countingInterval = absl::Milliseconds(200);

/**
 * Largest increase of a worker's announcement sequence between two announcements that arrive: a thousand times more than the announcements lost in a
 * year, and enough for a worker that uses milliseconds as its sequence. Accepting a greater number would make all later announcements of the
 * incarnation look old.
 */
constexpr std::uint64_t maxSequenceStep = 40'000'000'000;

/** Starts are suspended for this long on a worker that ignores orders; the next one shows whether it still does. */
constexpr Duration ignoredOrdersPause = absl::Seconds(2);

/** A worker whose connections are used up by clients that have lost power has them used up for long; the next refusal extends this time. */
constexpr Duration connectionScarcityTime = absl::Seconds(20);

/** How often the state of ended jobs is removed. */
constexpr Duration cleanupInterval = absl::Seconds(2);

/** The part of an order that is kept until its answer arrives. */
Order withoutPayload(const Order &order)
{
    const auto *start = std::get_if<StartOrder>(&order);
    return start == nullptr ? order : StartOrder{start->task, start->run, "", "", ""};
}

} // namespace

const char *nameOf(StopReason reason)
{
    static constexpr std::array<const char *, 12> names{"none",
                                                        "job-ended",
                                                        "preempted",
                                                        "stands-still",
                                                        "worker-leaves",
                                                        "start-unsettled",
                                                        "disturbs",
                                                        "gang-incomplete",
                                                        "room-shrunk",
                                                        "quota-lowered",
                                                        "evacuated",
                                                        "ineligible"};
    return names.at(static_cast<std::size_t>(reason));
}

Dispatcher::Dispatcher(const workload::Workload &workloadState, DispatchOptions dispatchOptions, std::uint64_t leaderTerm, Timestamp now)
    : state(workloadState)
    , options(dispatchOptions)
    , term(leaderTerm)
    , planner(this->state, this->views, this->tracks, this->taskBackoff, this->adviceCache, this->typicalRatios)
    , lastStepAt(now)
{
    this->syncWorkers(now);
    this->adoptRuns(now);
}

void Dispatcher::adoptRuns(Timestamp now)
{
    for (const auto &[incarnation, worker] : this->state.workers()) {
        for (const workload::TaskKey &key : worker.runs) {
            const workload::Task &task = this->state.findJob(key.job)->task(key);
            RunTrack track;
            track.run = task.lastRun;
            track.worker = incarnation;
            track.checkpoint = task.checkpoint;
            track.placedAt = now;
            track.isAdopted = true;
            track.pace.reset();
            this->tracks.emplace(key, std::move(track));
        }
        for (const auto &[key, run] : worker.superseded) {
            this->supersededTracks[{incarnation, key, run.run}].isAdopted = true;
        }
    }
}

void Dispatcher::markChanged()
{
    this->hasChanged = true;
    this->mayHaveObsoleteRuns = true;
}

void Dispatcher::recordAnnouncement(Timestamp now, const workload::Incarnation &worker, std::uint64_t sequence, Duration drainRemaining)
{
    const auto view = this->views.find(worker);
    if (view == this->views.end()) {
        return;
    }
    view->second.announcedAt = now;
    if (view->second.isUnresponsive() && view->second.pollState == PollState::Idle) {
        // The worker is reachable again: poll it without the pause for unresponsive workers.
        view->second.nextPoll = now;
        this->schedulePoll(worker, view->second);
    }
    view->second.announcedSequence = std::max(view->second.announcedSequence, sequence);
    if (drainRemaining < absl::InfiniteDuration()) {
        view->second.leavesAt = std::min(view->second.leavesAt, now + drainRemaining);
        this->markViewChanged(worker);
    }
}

bool Dispatcher::mayHaveLeft(Timestamp now, const workload::Incarnation &worker) const
{
    const auto view = this->views.find(worker);
    return view != this->views.end() && view->second.leavesAt <= now;
}

bool Dispatcher::isStaleAnnouncement(const workload::Incarnation &worker, std::uint64_t sequence) const
{
    const auto view = this->views.find(worker);
    return view != this->views.end() && sequence < view->second.announcedSequence;
}

bool Dispatcher::isImplausibleAnnouncement(const workload::Incarnation &worker, std::uint64_t sequence) const
{
    const auto view = this->views.find(worker);
    return view != this->views.end() && view->second.announcedSequence > 0 && sequence > view->second.announcedSequence + maxSequenceStep;
}

bool Dispatcher::hasStarted(const workload::Job &job) const
{
    if (job.hasStarted()) {
        return true;
    }
    for (auto track = this->tracks.lower_bound({job.id(), 0, 0, 0}); track != this->tracks.end() && track->first.job == job.id(); ++track) {
        if (track->second.runningSince < absl::InfiniteFuture()) {
            return true;
        }
    }
    return false;
}

std::uint32_t Dispatcher::waitingJobs(const std::string &queueAddress) const
{
    if (this->lastStepAt >= this->jobsCountedAt + countingInterval) {
        this->countWaitingJobs();
    }
    const auto found = this->waitingByQueue.find(queueAddress);
    return found == this->waitingByQueue.end() ? 0 : found->second;
}

void Dispatcher::countWaitingJobs() const
{
    this->jobsCountedAt = this->lastStepAt;
    this->waitingByQueue.clear();
    for (const std::string &id : this->state.activeJobs()) {
        const workload::Job &job = *this->state.findJob(id);
        if (!job.hasEnded() && !this->hasStarted(job)) {
            ++this->waitingByQueue[job.queueAddress()];
        }
    }
}

DispatchEffects Dispatcher::step(Timestamp now, std::int64_t wallMillis, const AdviceBudgetSource &adviceBudget)
{
    this->allowForPause(now);
    this->syncWorkers(now);
    this->removeEndedJobs(now);
    this->checkWorkers(now);
    this->stopIncompleteGangs(now);
    this->driveRuns(now);
    this->logEndedSteps(now);
    this->planWork(now, wallMillis, adviceBudget);
    this->logLongWaits(now, wallMillis);
    this->logCellLoad(now);
    this->pollWorkers(now);
    return std::exchange(this->effects, DispatchEffects());
}

void Dispatcher::allowForPause(Timestamp now)
{
    const Duration pause = now - this->lastStepAt;
    this->lastStepAt = now;
    if (pause < minPause) {
        return;
    }
    this->totalPause += pause;
}

void Dispatcher::syncWorkers(Timestamp now)
{
    const auto &ledgerWorkers = this->state.workers();
    bool isFullSync = false;
    const auto sync = [&](const workload::Incarnation &incarnation) {
        const auto worker = ledgerWorkers.find(incarnation);
        if (worker == ledgerWorkers.end()) {
            this->removeView(incarnation);
            return;
        }
        if (!this->views.contains(incarnation)) {
            this->addView(now, incarnation);
        }
        const std::uint64_t sequence = worker->second.registration.sequence;
        const bool isChanged = std::exchange(this->views.at(incarnation).registeredSequence, sequence) != sequence;
        if (isChanged || isFullSync) {
            this->withdrawBarredStarts(now, incarnation);
        }
    };
    if (!this->state.workerChanges().visitSince(this->syncedUntil, sync)) {
        isFullSync = true;
        std::vector<workload::Incarnation> gone;
        for (const auto &[incarnation, view] : this->views) {
            if (!ledgerWorkers.contains(incarnation)) {
                gone.push_back(incarnation);
            }
        }
        std::for_each(gone.begin(), gone.end(), sync);
        std::for_each(ledgerWorkers.begin(), ledgerWorkers.end(), [&sync](const auto &entry) { sync(entry.first); });
    }
    this->syncedUntil = this->state.workerChanges().end();
}

const WorkerView *Dispatcher::findView(const workload::Incarnation &worker) const
{
    const auto found = this->views.find(worker);
    return found == this->views.end() ? nullptr : &found->second;
}

void Dispatcher::markViewChanged(const workload::Incarnation &worker)
{
    this->planner.markViewChanged(worker);
    this->changedViews.push_back(worker);
}

void Dispatcher::updateAttention(Timestamp now)
{
    while (const std::optional<workload::Incarnation> due = this->viewTimers.popExpired(now)) {
        this->changedViews.push_back(*due);
    }
    std::sort(this->changedViews.begin(), this->changedViews.end());
    this->changedViews.erase(std::unique(this->changedViews.begin(), this->changedViews.end()), this->changedViews.end());
    for (const workload::Incarnation &incarnation : std::exchange(this->changedViews, {})) {
        const auto found = this->views.find(incarnation);
        if (found == this->views.end()) {
            continue;
        }
        const WorkerView &view = found->second;
        if (!view.isReachable() || view.isOverdue(now) || view.leavesAt < absl::InfiniteFuture()) {
            this->workersNeedingAttention.insert(incarnation);
        } else {
            this->workersNeedingAttention.erase(incarnation);
        }
        const Timestamp change = view.nextTimedChange(now);
        if (change < absl::InfiniteFuture()) {
            this->viewTimers.schedule(incarnation, change);
        }
    }
}

Duration Dispatcher::firstPollOffset(const workload::Incarnation &worker) const
{
    constexpr std::size_t places = 1'000'000;
    return absl::Nanoseconds(static_cast<std::int64_t>(std::hash<std::string>()(absl::StrCat(worker.text(), "/", this->term)) % places));
}

void Dispatcher::checkWorkers(Timestamp now)
{
    if (now < this->nextWorkerCheck) {
        return;
    }
    this->nextWorkerCheck = now + workerCheckInterval;
    this->updateAttention(now);
    const auto isUnanswered = [this, now](const workload::Incarnation &incarnation) {
        const WorkerView &view = this->views.at(incarnation);
        return view.isOverdue(now) || view.isUnresponsive();
    };
    const auto unanswered = std::count_if(this->workersNeedingAttention.begin(), this->workersNeedingAttention.end(), isUnanswered);
    // Where the answers of most workers are late or missing, this process is probably slow, or cut off.
    this->isProcessSlow = static_cast<std::size_t>(unanswered) * 2 > this->views.size();
    this->expireLeases(now);
    this->supersedeRuns(now);
    this->drainWorkers(now);
}

void Dispatcher::removeEndedJobs(Timestamp now)
{
    if (now < this->nextCleanup) {
        return;
    }
    this->nextCleanup = now + cleanupInterval;
    const auto hasJobEnded = [this](const std::string &job) { return !this->state.activeJobs().contains(job); };
    this->adviceCache.removeEndedJobs(hasJobEnded);
    this->planner.removeEndedJobs(hasJobEnded);
    this->taskBackoff.removeEndedJobs(hasJobEnded);
    this->failureAttribution.removeEndedJobs(hasJobEnded);
    std::erase_if(this->supersededTracks, [this](const auto &entry) {
        const auto &[incarnation, key, run] = entry.first;
        const workload::Worker *worker = this->state.findWorker(incarnation);
        // A run that is being superseded is still among the worker's runs.
        return worker == nullptr || (!worker->superseded.contains(key) && !worker->runs.contains(key));
    });
}

void Dispatcher::send(Timestamp now, const workload::Incarnation &worker, Order order, Duration timeout, bool withLease)
{
    WorkerView &view = this->views.at(worker);
    WorkerCall call;
    call.id = this->nextCall++;
    call.worker = worker;
    call.address = this->state.findWorker(worker)->registration.address;
    call.fence = view.fence;
    call.leaseEndOnWorkerClock = withLease ? view.leaseEnd(now, this->options.maxLease) : 0;
    call.timeout = timeout;
    call.order = std::move(order);
    view.recordLease(call.leaseEndOnWorkerClock);
    const auto *poll = std::get_if<PollOrder>(&call.order);
    view.recordCall(call.id, now + this->answerTimeout() + (poll == nullptr ? absl::ZeroDuration() : poll->wait + poll->watch));
    this->markViewChanged(worker);
    this->startsInFlight += std::holds_alternative<StartOrder>(call.order) ? 1 : 0;
    this->calls[call.id] = {worker, withoutPayload(call.order), now};
    this->effects.calls.push_back(std::move(call));
}

Duration Dispatcher::answerTimeout() const
{
    return std::clamp(answerTimeoutFactor * this->typicalAnswerTime, minAnswerTimeout, maxAnswerTimeout);
}

void Dispatcher::recordAnswerTime(Timestamp now, const PendingCall &call, AnswerKind kind)
{
    const auto *poll = std::get_if<PollOrder>(&call.order);
    const bool isHeldBack = poll != nullptr && poll->wait > absl::ZeroDuration();
    if (kind != AnswerKind::NoAnswer && kind != AnswerKind::NotSent && !isHeldBack) {
        this->typicalAnswerTime += answerWeight * (now - call.sentAt - this->typicalAnswerTime);
    }
}

void Dispatcher::propose(ProposalKind kind, const workload::Incarnation &worker, work::CommandUnion command)
{
    const std::uint64_t id = this->nextProposal++;
    this->proposals[id] = {kind, worker, {}, 0};
    this->effects.proposals.push_back({id, std::move(command)});
}

void Dispatcher::handleAnswer(Timestamp now, std::uint64_t callId, const WorkerAnswer &answer)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end()) {
        return;
    }
    const PendingCall call = std::move(found->second);
    this->calls.erase(found);
    this->recentFirstPolls.erase(callId);
    this->recordAnswerTime(now, call, answer.kind);
    this->startsInFlight -= std::holds_alternative<StartOrder>(call.order) ? 1 : 0;
    const auto view = this->views.find(call.worker);
    // The incarnation may have been removed from the ledger since the last step.
    if (view == this->views.end() || this->state.findWorker(call.worker) == nullptr) {
        return;
    }
    view->second.recordCallEnd(callId);
    this->markViewChanged(call.worker);
    if (this->isFromOtherIncarnation(now, call, answer)) {
        return this->processAnswer(now, call, {});
    }
    this->processAnswer(now, call, answer);
}

void Dispatcher::processAnswer(Timestamp now, const PendingCall &call, const WorkerAnswer &answer)
{
    const auto view = this->views.find(call.worker);
    if (answer.kind == AnswerKind::OtherLife) {
        log::info("dispatch", "worker.other-life", {{"worker", call.worker.text()}});
        this->removeWorker(now, call.worker, work::LifeEnd::Crashed);
        return;
    }
    if (answer.kind == AnswerKind::Fenced && !view->second.isFenced) {
        view->second.isFenced = true;
        log::warning("dispatch", "worker.fenced", {{"worker", call.worker.text()}, {"fence", view->second.fence}});
    }
    if (!view->second.hasListed && answer.kind == AnswerKind::Accepted && std::holds_alternative<PollOrder>(call.order)) {
        this->removeOtherIncarnations(now, call.worker, call.sentAt, answer);
    }
    if (answer.kind != AnswerKind::NoAnswer && answer.kind != AnswerKind::NotSent) {
        view->second.recordAnswer(now, answer.hasClock ? std::optional(answer.clockMillis) : std::nullopt);
    }
    if (answer.end == CallEnd::ConnectionRefused) {
        view->second.connectionsScarceUntil = now + connectionScarcityTime;
    }
    if (!std::holds_alternative<PollOrder>(call.order)) {
        this->recordOrderAnswer(now, call, answer);
    }
    if (std::holds_alternative<PollOrder>(call.order)) {
        this->handlePollAnswer(now, call, answer);
    } else if (const auto *start = std::get_if<StartOrder>(&call.order)) {
        this->handleStartAnswer(now, call, *start, answer);
    } else if (const auto *stop = std::get_if<StopOrder>(&call.order)) {
        this->handleStopAnswer(now, call, *stop, answer);
    } else if (const auto *pace = std::get_if<PaceOrder>(&call.order)) {
        this->handlePaceAnswer(call, *pace, answer);
    }
}

void Dispatcher::recordOrderAnswer(Timestamp now, const PendingCall &call, const WorkerAnswer &answer)
{
    if (answer.end == CallEnd::NotSent) {
        return; // The order was withheld, which says nothing about the worker.
    }
    WorkerView &view = this->views.at(call.worker);
    view.recordOrder(now, answer.kind != AnswerKind::NoAnswer && answer.kind != AnswerKind::NotSent);
    if (view.isReachable() && view.ignoresOrders(now)) {
        log::warning("dispatch", "worker.ignores-orders", {{"worker", call.worker.text()}, {"answer", nameOf(answer.kind)}, {"call", nameOf(answer.end)}});
        view.startsBlockedUntil = std::max(view.startsBlockedUntil, now + ignoredOrdersPause);
    }
}

void Dispatcher::proposeEnds(const workload::Incarnation &worker, const std::vector<std::pair<workload::TaskKey, RunTrack>> &ended, work::RunEndKind kind)
{
    if (ended.empty()) {
        return;
    }
    work::RecordEndsT record;
    record.worker = worker.id;
    record.born = worker.born;
    for (const auto &[key, track] : ended) {
        log::info("dispatch", "run.ended", {{"task", key.text()}, {"run", track.run}, {"how", work::EnumNameRunEndKind(kind)}, {"worker", worker.text()}});
        auto &end = record.ends.emplace_back(std::make_unique<work::RunEndT>());
        end->task = key.record();
        end->run = track.run;
        end->kind = kind;
        end->checkpoint = track.checkpoint;
        if (kind == work::RunEndKind::Expired) {
            end->atLoss = this->stateAtLoss(key, track);
            this->logLostRun(key, track, end->atLoss);
        }
    }
    this->eraseTracks(record);
    work::CommandUnion command;
    command.Set(std::move(record));
    this->propose(ProposalKind::RecordEnds, {}, std::move(command));
}

void Dispatcher::handleOutcome(Timestamp now, std::uint64_t proposalId, const workload::Outcome &outcome)
{
    const auto found = this->proposals.find(proposalId);
    if (found == this->proposals.end()) {
        return;
    }
    const PendingProposal proposal = std::move(found->second);
    this->proposals.erase(found);
    if (proposal.kind == ProposalKind::VerifyStart) {
        RunTrack *track = this->findTrack(proposal.task, proposal.run, proposal.worker);
        if (track != nullptr) {
            this->resumeStart(now, proposal.task, *track);
        }
        return;
    }
    this->hasChanged = true;
    this->mayHaveObsoleteRuns = true;
    this->logAbandoned(outcome.abandonedTasks);
    if (proposal.kind == ProposalKind::RecordEnds) {
        const auto view = this->views.find(proposal.worker);
        if (view != this->views.end()) {
            view->second.pollState = PollState::Idle;
            this->schedulePoll(proposal.worker, view->second);
        }
        return;
    }
    if (proposal.kind == ProposalKind::RemoveWorker) {
        this->resetView(now, proposal.worker);
    }
    if (proposal.kind == ProposalKind::Place) {
        this->trackPlacements(now, outcome.placed);
    }
}

void Dispatcher::handleAdvice(Timestamp now, std::uint64_t request, const AdviceAnswer &answer)
{
    this->adviceCache.recordAnswer(now, request, answer);
    this->hasChanged = true;
}

RunTrack *Dispatcher::findTrack(const workload::TaskKey &key, std::uint32_t run, const workload::Incarnation &worker)
{
    const auto found = this->tracks.find(key);
    const bool isThatRun = found != this->tracks.end() && found->second.run == run && found->second.worker == worker;
    return isThatRun ? &found->second : nullptr;
}

} // namespace paddlepier::execution
