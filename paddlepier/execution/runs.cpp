// Dispatcher: starts, stops, and orders without an answer.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <algorithm>
#include <limits>

namespace paddlepier::execution
{

namespace
{

/** A healthy worker answers within a few round trips, a slow one within some tenths of a second. */
constexpr Duration orderTimeout = absl::Milliseconds(900);

/** Added to the timeout of a start for its way to the worker; no instance sends it later, since its conditions may have changed by then. */
constexpr Duration startTransitTime = absl::Milliseconds(300);

/** Pause before an order without an answer is sent again. */
constexpr Duration orderRetryPause = absl::Milliseconds(150);

/** Number of starts sent for one run before it is stopped instead, so that it can't start any more. */
constexpr std::uint32_t maxStartCalls = 3;

/** Losses of a task after which its worker is verified before each start. */
constexpr std::size_t minLossesToVerify = 2;

/** Time from the answer to the start within which the worker counts as verified; sending takes a few milliseconds. */
constexpr Duration verifiedFor = absl::Milliseconds(100);

/** How often all runs are scanned for jobs that have ended; a scan costs about 0.3 ms with 5,000 runs. */
constexpr Duration obsoleteCheckInterval = absl::Milliseconds(50);

/** Pause before a start is checked again that waits for its worker to answer. */
constexpr Duration momentaryBarRetryPause = absl::Milliseconds(20);

/** A stop is sent again if the run is still listed after this time, in addition to the time that a stop may take. */
constexpr Duration stopTimeout = absl::Milliseconds(1500);

StopReason stopReasonOf(planning::StartBar bar)
{
    switch (bar) {
    case planning::StartBar::Evacuated:
        return StopReason::Evacuated;
    case planning::StartBar::Draining:
        return StopReason::WorkerLeaves;
    case planning::StartBar::OtherService:
    case planning::StartBar::SpareService:
    case planning::StartBar::NoLabel:
        return StopReason::Ineligible;
    case planning::StartBar::None:
    case planning::StartBar::StartsBlocked:
    case planning::StartBar::Unreachable:
    case planning::StartBar::AnswerOverdue:
        break;
    }
    return StopReason::StartUnsettled;
}

} // namespace

void Dispatcher::driveRuns(Timestamp now)
{
    this->stopObsoleteRuns(now);
    UnsentRuns unsent;
    while (const std::optional<workload::TaskKey> key = this->runTimers.popExpired(now)) {
        const auto track = this->tracks.find(*key);
        if (track != this->tracks.end()) {
            this->driveRun(now, *key, track->second, unsent);
        }
    }
    for (const auto &[key, track] : unsent) {
        this->proposeEnds(track.worker, {{key, track}}, work::RunEndKind::Void);
    }
}

bool Dispatcher::isObsolete(const workload::Job &job, const workload::TaskKey &key)
{
    if (job.hasEnded()) {
        return true;
    }
    // The members of a gang end together. Of other steps with copies, the remaining copies are stopped when the first is done.
    const work::StepSpecT &step = job.stepSpec(key.step);
    return step.mayRunCopies && !step.isGang && job.task(key).isDone;
}

void Dispatcher::stopObsoleteRuns(Timestamp now)
{
    if (!this->mayHaveObsoleteRuns || now < this->nextObsoleteCheck) {
        return;
    }
    this->mayHaveObsoleteRuns = false;
    this->nextObsoleteCheck = now + obsoleteCheckInterval;
    const workload::Job *job = nullptr;
    for (auto &[key, track] : this->tracks) {
        // The runs of a job are adjacent in the map.
        if (job == nullptr || job->id() != key.job) {
            job = this->state.findJob(key.job);
        }
        if (track.phase != RunPhase::Stopping && isObsolete(*job, key)) {
            this->stopRun(now, key, track, StopReason::JobEnded);
        }
    }
    this->preventSupersededStarts(now);
}

void Dispatcher::driveRun(Timestamp now, const workload::TaskKey &key, RunTrack &track, UnsentRuns &unsent)
{
    // Running runs are tracked by polls. An answer, or a worker's first list, schedules the run again.
    const auto view = this->views.find(track.worker);
    if (track.phase == RunPhase::Running || track.isCallInFlight || view == this->views.end() || view->second.isFenced || !view->second.hasListed) {
        return;
    }
    if (now < track.nextCall) {
        this->runTimers.schedule(key, track.nextCall);
    } else if (track.phase == RunPhase::Stopping) {
        this->driveStop(now, key, track);
    } else if (isObsolete(*this->state.findJob(key.job), key)) {
        this->stopRun(now, key, track, StopReason::JobEnded);
    } else if (!track.isAdopted) {
        this->driveStart(now, key, track, unsent);
    }
}

void Dispatcher::driveStop(Timestamp now, const workload::TaskKey &key, RunTrack &track)
{
    const bool isSettled = track.settledAt < absl::InfiniteFuture();
    const Timestamp stopDueAt = isSettled ? track.settledAt + this->options.stopGrace + stopTimeout : now;
    if (stopDueAt > now) {
        this->runTimers.schedule(key, stopDueAt);
        return;
    }
    track.isCallInFlight = true;
    this->send(now, track.worker, StopOrder{key, track.run}, orderTimeout, false);
}

void Dispatcher::driveStart(Timestamp now, const workload::TaskKey &key, RunTrack &track, UnsentRuns &unsent)
{
    const planning::StartBar bar = this->planner.startBar(now, key, track.worker);
    if (isMomentary(bar) && track.mayStartLate) {
        this->runTimers.schedule(key, now + momentaryBarRetryPause);
        return;
    }
    if (bar != planning::StartBar::None) {
        // What held when the task was placed may have changed since. A start that was sent may still arrive, so the run is stopped to prevent it.
        log::info("dispatch", "start.barred", {{"task", key.text()}, {"run", track.run}, {"worker", track.worker.text()}, {"bar", nameOf(bar)}});
        this->cancelStart(now, key, track, stopReasonOf(bar), unsent);
        return;
    }
    if (this->state.findWorker(track.worker)->isOvercommitted()) {
        // The worker's capacity was reduced after the task was placed, and a worker that doesn't check its capacity would accept the task anyway.
        this->cancelStart(now, key, track, StopReason::RoomShrunk, unsent);
        return;
    }
    if (this->isTeamOverQuota(key)) {
        // The quota was lowered after the task was placed.
        this->cancelStart(now, key, track, StopReason::QuotaLowered, unsent);
        return;
    }
    const bool isTicketExpired = now > track.ticketValidUntil;
    if (track.startCalls >= maxStartCalls || (isTicketExpired && track.startCalls > 0) || track.ticketValidUntil == absl::InfinitePast()) {
        this->cancelStart(now, key, track, StopReason::StartUnsettled, unsent);
        return;
    }
    if (this->mustVerifyWorker(now, key, track)) {
        this->verifyWorker(now, key, track, unsent);
        return;
    }
    const workload::Job &job = *this->state.findJob(key.job);
    ++track.startCalls;
    track.isCallInFlight = true;
    this->send(now, track.worker, StartOrder{key, track.run, job.spec().payload, track.checkpoint, track.ticket}, orderTimeout, true);
    if (!track.startToken) {
        track.startToken = std::make_shared<const StartToken>();
    }
    WorkerCall &call = this->effects.calls.back();
    call.conditions.start = track.startToken;
    const bool reliesOnAnswer = track.verifiedAt > absl::InfinitePast() && !track.mayStartLate;
    call.conditions.sendBy = reliesOnAnswer ? track.verifiedAt + verifiedFor : now + orderTimeout + startTransitTime;
    const std::int64_t leaseEnd = call.leaseEndOnWorkerClock;
    track.startLeaseEnd = std::max(track.startLeaseEnd, leaseEnd > 0 ? leaseEnd : std::numeric_limits<std::int64_t>::max());
    this->limitWatch(now, track.worker);
}

void Dispatcher::withdrawBarredStarts(Timestamp now, const workload::Incarnation &worker)
{
    for (const workload::TaskKey &key : this->state.findWorker(worker)->runs) {
        const auto found = this->tracks.find(key);
        if (found == this->tracks.end() || found->second.worker != worker || found->second.phase != RunPhase::Starting || found->second.isAdopted) {
            continue;
        }
        RunTrack &track = found->second;
        const planning::StartBar bar = this->planner.startBar(now, key, worker);
        if (bar == planning::StartBar::None || isMomentary(bar)) {
            continue;
        }
        track.startToken.reset();
        if (track.isCallInFlight && !track.isVerifyInFlight && track.mayStartLate) {
            this->stopRun(now, key, track, stopReasonOf(bar));
        } else if (!track.isCallInFlight) {
            track.nextCall = now;
            this->runTimers.schedule(key, now);
        }
    }
}

bool Dispatcher::mustVerifyWorker(Timestamp now, const workload::TaskKey &key, const RunTrack &track) const
{
    // After an unanswered start the run may be there, and another call of it adds no risk.
    const bool isVerified = track.mayStartLate || now - track.verifiedAt <= verifiedFor;
    return !isVerified && this->state.findJob(key.job)->task(key).possibleLosses() >= minLossesToVerify;
}

void Dispatcher::verifyWorker(Timestamp now, const workload::TaskKey &key, RunTrack &track, UnsentRuns &unsent)
{
    if (track.verifyCalls >= maxStartCalls) {
        this->cancelStart(now, key, track, StopReason::StartUnsettled, unsent);
        return;
    }
    track.isCallInFlight = true;
    track.isVerifyInFlight = true;
    if (this->state.findJob(key.job)->task(key).verifiedRun != track.run) {
        this->proposeVerifiedStart(key, track);
        return;
    }
    ++track.verifyCalls;
    // The run before this one has ended, so that stopping it has no effect.
    this->send(now, track.worker, StopOrder{key, track.run - 1}, orderTimeout, false);
}

void Dispatcher::proposeVerifiedStart(const workload::TaskKey &key, RunTrack &track)
{
    work::VerifyStartT record;
    record.task = key.record();
    record.run = track.run;
    work::CommandUnion command;
    command.Set(std::move(record));
    this->propose(ProposalKind::VerifyStart, track.worker, std::move(command));
    PendingProposal &proposal = this->proposals.at(this->effects.proposals.back().id);
    proposal.task = key;
    proposal.run = track.run;
}

void Dispatcher::resumeStart(Timestamp at, const workload::TaskKey &key, RunTrack &track)
{
    track.isVerifyInFlight = false;
    if (track.phase == RunPhase::Starting) {
        track.isCallInFlight = false;
        track.nextCall = at;
        this->runTimers.schedule(key, at);
    }
}

bool Dispatcher::handleVerifyAnswer(Timestamp now, const PendingCall &call, const StopOrder &order, const WorkerAnswer &answer)
{
    RunTrack *track = this->findTrack(order.task, order.run + 1, call.worker);
    if (track == nullptr || !track->isVerifyInFlight) {
        return false;
    }
    const bool isAnswered = answer.kind == AnswerKind::Accepted || answer.kind == AnswerKind::OldRun;
    if (isAnswered) {
        track->verifiedAt = now;
        track->verifyCalls = 0;
    }
    this->resumeStart(isAnswered ? now : now + orderRetryPause, order.task, *track);
    return true;
}

void Dispatcher::cancelStart(Timestamp now, const workload::TaskKey &key, RunTrack &track, StopReason reason, UnsentRuns &unsent)
{
    if (!track.mayStartLate) {
        unsent.emplace_back(key, track);
    } else {
        this->stopRun(now, key, track, reason);
    }
}

bool Dispatcher::isTeamOverQuota(const workload::TaskKey &key) const
{
    return this->state.teams().headroomOf(this->state.findJob(key.job)->team()).isExceeded();
}

void Dispatcher::handleStartAnswer(Timestamp now, const PendingCall &call, const StartOrder &order, const WorkerAnswer &answer)
{
    RunTrack *track = this->findTrack(order.task, order.run, call.worker);
    if (track == nullptr) {
        return;
    }
    // While the run is being stopped, the call in flight is that stop.
    if (track->phase != RunPhase::Stopping) {
        track->isCallInFlight = false;
        this->runTimers.schedule(order.task, now);
    }
    if (answer.kind != AnswerKind::Accepted) {
        log::info("dispatch",
                  "start.refused",
                  {{"task", order.task.text()},
                   {"run", order.run},
                   {"worker", call.worker.text()},
                   {"answer", nameOf(answer.kind)},
                   {"call", nameOf(answer.end)},
                   {"calls", track->startCalls}});
    }
    WorkerView &view = this->views.at(call.worker);
    switch (answer.kind) {
    case AnswerKind::Accepted:
        if (track->phase == RunPhase::Starting) {
            track->phase = RunPhase::Running;
            track->runningSince = now;
            track->startToken.reset();
            track->progressAt = now;
        }
        return;
    case AnswerKind::OldRun:
        track->phase = RunPhase::Stopping;
        track->settledAt = now;
        return;
    case AnswerKind::LeaseOver:
    case AnswerKind::NotSent:
        track->nextCall = now + orderRetryPause;
        return;
    case AnswerKind::NoAnswer: {
        track->mayStartLate = true;
        // After a refused connection the next call waits for one that is established.
        const bool retriesAtOnce = answer.end == CallEnd::ConnectionRefused && track->startCalls == 1;
        track->nextCall = retriesAtOnce ? now : now + orderRetryPause;
        return;
    }
    case AnswerKind::Unhealthy:
        view.startsBlockedUntil = now + absl::Seconds(2);
        break;
    case AnswerKind::BadTicket:
        this->adviceCache.rejectTicket(order.task.stepKey(), call.worker);
        break;
    case AnswerKind::Invalid:
        this->taskBackoff.recordRefusal(now, order.task);
        break;
    case AnswerKind::NoRoom:
        break;
    case AnswerKind::Fenced:
    case AnswerKind::OtherLife:
        return;
    }
    // The worker hasn't executed this order. An earlier call of the same start may still be executed unless a stop arrives first.
    if (track->mayStartLate) {
        this->stopRun(now, order.task, *track, StopReason::StartUnsettled);
    } else {
        this->proposeEnds(call.worker, {{order.task, *track}}, work::RunEndKind::Void);
    }
}

void Dispatcher::stopRun(Timestamp now, const workload::TaskKey &key, RunTrack &track, StopReason reason)
{
    if (track.phase == RunPhase::Stopping) {
        return;
    }
    log::info("dispatch",
              "run.stop",
              {{"task", key.text()}, {"run", track.run}, {"worker", track.worker.text()}, {"reason", nameOf(reason)}, {"percent", track.percent}});
    // The stop doesn't wait for the answer to a start, which may still be in transit: it prevents a start that arrives after it.
    track.mayStartLate = track.mayStartLate || (track.isCallInFlight && !track.isVerifyInFlight);
    track.isCallInFlight = false;
    track.startToken.reset();
    track.phase = RunPhase::Stopping;
    track.stopRequestedAt = now;
    track.nextCall = now;
    this->runTimers.schedule(key, now);
}

void Dispatcher::handleStopAnswer(Timestamp now, const PendingCall &call, const StopOrder &order, const WorkerAnswer &answer)
{
    if (this->handleVerifyAnswer(now, call, order, answer)) {
        return;
    }
    RunTrack *track = this->findTrack(order.task, order.run, call.worker);
    const bool isSettled = answer.kind == AnswerKind::Accepted || answer.kind == AnswerKind::OldRun;
    const auto superseded = this->supersededTracks.find({call.worker, order.task, order.run});
    if (track == nullptr && superseded != this->supersededTracks.end()) {
        superseded->second.isStopInFlight = false;
        // The first confirmation counts: a poll that is sent after it shows whether the run has ended.
        superseded->second.settledAt = isSettled ? std::min(superseded->second.settledAt, now) : superseded->second.settledAt;
    }
    if (track == nullptr) {
        return;
    }
    if (!isSettled) {
        log::info(
            "dispatch",
            "stop.refused",
            {{"task", order.task.text()}, {"run", order.run}, {"worker", call.worker.text()}, {"answer", nameOf(answer.kind)}, {"call", nameOf(answer.end)}});
    }
    track->isCallInFlight = false;
    track->nextCall = now + orderRetryPause;
    this->runTimers.schedule(order.task, track->nextCall);
    if (isSettled) {
        track->settledAt = now;
    }
}

} // namespace paddlepier::execution
