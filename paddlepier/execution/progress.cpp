// Dispatcher: progress, speed and throttling of the runs that polls list.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** The percentage of a healthy run rises several times in this time; polls are answered at least every second. */
constexpr Duration stallTimeout = absl::Milliseconds(1300);

/** Members of a gang wait for each other, and a resumed run loads its checkpoint first. */
constexpr Duration gangStallTimeout = absl::Seconds(5);

/** A lasting run that hasn't finished its start-up after this time is started elsewhere. */
constexpr Duration lastingStallTimeout = absl::Seconds(4);

/** Filling runs that were stopped by throttling for this long are moved elsewhere. */
constexpr Duration stoppedFillingTimeout = absl::Seconds(3);

constexpr Duration orderTimeout = absl::Milliseconds(900);

/** A run's speed is evaluated after this time and progress, since a percentage is a whole number. */
constexpr Duration minSpeedTime = absl::Milliseconds(350);
constexpr std::uint32_t minSpeedPercent = 8;

/** Weight of a new observation of a worker's speed. */
constexpr double speedWeight = 0.25;
/** The same for the typical ratio of a queue; low, so that a few slow workers don't change it. */
constexpr double typicalRatioWeight = 0.02;
/** Bounds of one observation. */
constexpr double minRatio = 0.25;
constexpr double maxRatio = 8.0;

/** How much longer than a failed run another one must make progress to count as healthy: more than the end of a run may be reported late. */
constexpr Duration minOutlivingTime = absl::Milliseconds(500);

/** A lasting run has completed its start-up; any other has completed its work. */
constexpr std::uint32_t completePercent = 100;

/** How often steps with ended runs are checked: late enough for the commit of the ends, and soon enough for an operator who follows the log. */
constexpr Duration reportInterval = absl::Milliseconds(100);

Duration stallTimeoutOf(const work::StepSpecT &step)
{
    return step.isLasting ? lastingStallTimeout : step.isGang ? gangStallTimeout : stallTimeout;
}

} // namespace

void Dispatcher::updateRunning(Timestamp now, const workload::Incarnation &worker, const WorkerAnswer &answer)
{
    for (const ListedRun &listed : answer.running) {
        const auto found = this->tracks.find(listed.task);
        const bool isHere = found != this->tracks.end() && found->second.worker == worker;
        if (isHere) {
            found->second.listedAt = now;
        }
        RunTrack *track = isHere && found->second.run == listed.run ? &found->second : nullptr;
        if (track == nullptr && this->handleSupersededRun(now, worker, listed)) {
            continue;
        }
        if (track == nullptr) {
            // A late start of a run that was settled otherwise, or a run that the ledger has ended.
            log::warning("dispatch", "run.unknown", {{"task", listed.task.text()}, {"run", listed.run}, {"worker", worker.text()}});
            this->send(now, worker, StopOrder{listed.task, listed.run}, orderTimeout, false);
            continue;
        }
        if (track->phase == RunPhase::Starting) {
            track->phase = RunPhase::Running;
            track->runningSince = now;
            track->startToken.reset();
            track->progressAt = now;
        }
        const bool isFirstSeen = track->firstPercentAt == absl::InfiniteFuture();
        if (isFirstSeen) {
            track->firstPercentAt = now;
            track->firstPercent = listed.percent;
        }
        if (isFirstSeen || listed.percent != track->percent) {
            track->progressAt = now;
        }
        track->percent = listed.percent;
        track->load = listed.load;
        if (!listed.checkpoint.empty()) {
            track->checkpoint = listed.checkpoint;
        }
    }
}

void Dispatcher::monitorRuns(Timestamp now, const workload::Incarnation &worker, WorkerView &view)
{
    std::vector<ServingLoad> serving;
    std::vector<workload::TaskKey> filling;
    for (const workload::TaskKey &key : this->state.findWorker(worker)->runs) {
        const auto track = this->tracks.find(key);
        // A list that was made before the run started says nothing about its progress.
        const bool isListed = track != this->tracks.end() && track->second.worker == worker && track->second.listedAt == now;
        if (!isListed || track->second.phase != RunPhase::Running) {
            continue;
        }
        const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
        if (step.targetLatencyMillis > 0) {
            serving.push_back({track->second.load, step.targetLatencyMillis});
        }
        if (step.isFilling) {
            filling.push_back(key);
        }
        this->monitorProgress(now, key, track->second, view);
    }
    view.isContended = !serving.empty() && !filling.empty();
    this->throttleFilling(now, worker, view, serving, filling);
}

bool Dispatcher::hasStalled(Timestamp now, const workload::TaskKey &key, const RunTrack &track, const work::StepSpecT &step) const
{
    Timestamp progressAt = track.progressAt;
    if (step.isGang && track.percent >= completePercent) {
        // The members end together with the slowest one: a complete member waits for as long as any other makes progress.
        const workload::StepKey gang = key.stepKey();
        for (auto member = this->tracks.lower_bound({gang.job, gang.occurrence, gang.step, 0});
             member != this->tracks.end() && member->first.job == gang.job && member->first.stepKey() == gang;
             ++member) {
            progressAt = std::max(progressAt, member->second.progressAt);
        }
    }
    return now - progressAt > stallTimeoutOf(step);
}

void Dispatcher::monitorProgress(Timestamp now, const workload::TaskKey &key, RunTrack &track, WorkerView &view)
{
    const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
    const bool isReady = step.isLasting && track.percent >= completePercent;
    if (isReady && view.consecutiveFailures > 0 && track.placedAt > view.lastFailureAt && track.isSettledAt(now)) {
        // It has no end that could show that the worker is sound.
        this->recordDoneRun(track.worker, view);
    }
    // Filling runs may get no processor time for a while, so that a stall says nothing about them.
    if (step.isFilling || isReady) {
        return;
    }
    if (this->hasStalled(now, key, track, step)) {
        // A gang's member that has completed its own work isn't the cause.
        const bool mayBeCause = !step.isGang || track.percent < completePercent;
        if (mayBeCause) {
            this->recordFailedRun(now, key, track.worker, view, track.progressAt - track.runningSince);
        }
        this->stopRun(now, key, track, StopReason::StandsStill);
        return;
    }
    const Duration seenFor = now - track.firstPercentAt;
    const std::uint32_t progress = track.percent - std::min(track.percent, track.firstPercent);
    if (step.isLasting || step.isGang || seenFor < minSpeedTime || progress < minSpeedPercent || step.estimatedMillis == 0) {
        return;
    }
    // Estimates of one queue tend to be wrong by the same factor; the remaining difference is due to the worker.
    const double ratio = absl::ToDoubleMilliseconds(seenFor) * 100 / progress / step.estimatedMillis;
    double &typicalRatio = this->typicalRatios.try_emplace(this->state.findJob(key.job)->queue().name, 1.0).first->second;
    typicalRatio += typicalRatioWeight * (std::clamp(ratio, minRatio, maxRatio) - typicalRatio);
    view.slowness += speedWeight * (std::clamp(ratio / typicalRatio, minRatio, maxRatio) - view.slowness);
    // One observation for each run and interval.
    track.firstPercentAt = now;
    track.firstPercent = track.percent;
}

void Dispatcher::throttleFilling(Timestamp now,
                                 const workload::Incarnation &worker,
                                 WorkerView &view,
                                 const std::vector<ServingLoad> &serving,
                                 const std::vector<workload::TaskKey> &filling)
{
    const std::uint32_t pace = view.paceControl.update(now, serving);
    for (const workload::TaskKey &key : filling) {
        RunTrack &track = this->tracks.at(key);
        if (now - view.paceControl.stoppedSince() > stoppedFillingTimeout) {
            this->stopRun(now, key, track, StopReason::Disturbs);
        } else if (track.pace != pace && !track.isPaceInFlight) {
            track.isPaceInFlight = true;
            log::info("dispatch", "run.pace", {{"task", key.text()}, {"run", track.run}, {"worker", worker.text()}, {"percent", pace}});
            this->send(now, worker, PaceOrder{key, track.run, pace}, orderTimeout, false);
        }
    }
}

void Dispatcher::handlePaceAnswer(const PendingCall &call, const PaceOrder &order, const WorkerAnswer &answer)
{
    RunTrack *track = this->findTrack(order.task, order.run, call.worker);
    if (track == nullptr) {
        return;
    }
    track->isPaceInFlight = false;
    track->pace = answer.kind == AnswerKind::Accepted ? std::optional(order.percent) : std::nullopt;
}

void Dispatcher::evaluateEnd(Timestamp now, const workload::Incarnation &worker, WorkerView &view, const ListedEnd &end)
{
    const auto track = this->tracks.find(end.task);
    const bool isKnown = track != this->tracks.end() && track->second.run == end.run;
    const bool hasStarted = isKnown && track->second.runningSince < absl::InfiniteFuture();
    const Duration startTime = hasStarted ? track->second.runningSince - track->second.placedAt : absl::Milliseconds(-1);
    const Duration wholeTime = isKnown ? now - track->second.placedAt : absl::Milliseconds(-1);
    if (end.kind == work::RunEndKind::Done && isKnown) {
        this->reports.recordDone(end.task, {track->second.worker, end.run, startTime, wholeTime});
    } else {
        log::info("dispatch",
                  "run.ended",
                  {{"task", end.task.text()},
                   {"run", end.run},
                   {"how", work::EnumNameRunEndKind(end.kind)},
                   {"startMillis", absl::ToInt64Milliseconds(startTime)},
                   {"millis", absl::ToInt64Milliseconds(wholeTime)}});
    }
    if (end.kind == work::RunEndKind::Failed) {
        this->recordFailedRun(now, end.task, worker, view, hasStarted ? now - track->second.runningSince : absl::InfiniteDuration());
    } else if (end.kind == work::RunEndKind::Done) {
        this->recordDoneRun(worker, view);
    }
}

void Dispatcher::recordFailedRun(Timestamp now, const workload::TaskKey &key, const workload::Incarnation &worker, WorkerView &view, Duration workedFor)
{
    const workload::StepKey step = key.stepKey();
    const StepEvidence evidence = this->evidenceFor(now, key, worker, view, workedFor);
    const FailureCause cause = this->failureAttribution.recordFailedRun(key, worker, evidence);
    if (cause == FailureCause::Worker) {
        view.recordFailedRun(now, step, evidence.hasAlternative);
    } else if (cause == FailureCause::Job) {
        for (const workload::Incarnation &failed : this->failureAttribution.failedWorkers(step)) {
            const auto found = this->views.find(failed);
            if (found != this->views.end() && found->second.failuresOf(step) > 0) {
                found->second.retractFailedRuns(step);
                this->markViewChanged(failed);
            }
        }
    }
    log::info("dispatch",
              "worker.run-failed",
              {{"worker", worker.text()},
               {"task", key.text()},
               {"cause", nameOf(cause)},
               {"failures", view.consecutiveFailures},
               {"suspectMillis", absl::ToInt64Milliseconds(std::max(absl::ZeroDuration(), view.suspectUntil - now))}});
}

StepEvidence
Dispatcher::evidenceFor(Timestamp now, const workload::TaskKey &key, const workload::Incarnation &worker, const WorkerView &view, Duration workedFor) const
{
    StepEvidence evidence;
    const workload::Job *job = this->state.findJob(key.job);
    if (job == nullptr || !job->hasTask(key)) {
        return evidence;
    }
    evidence.healthyRuns = job->occurrences()[key.occurrence].steps[key.step].doneTasks + this->countOutlivingRuns(key, worker, workedFor);
    for (const auto &[incarnation, other] : this->state.workers()) {
        if (other.registration.service != job->queue().service) {
            continue;
        }
        ++evidence.workers;
        const auto otherView = this->views.find(incarnation);
        const bool isUsable = otherView != this->views.end() && otherView->second.isReachable() && !other.registration.isDraining;
        evidence.hasAlternative = evidence.hasAlternative || (incarnation != worker && isUsable && !otherView->second.isSuspended(now));
    }
    evidence.failuresOnWorker = view.failuresOf(key.stepKey());
    return evidence;
}

std::size_t Dispatcher::countOutlivingRuns(const workload::TaskKey &key, const workload::Incarnation &worker, Duration workedFor) const
{
    const bool isLasting = this->state.findJob(key.job)->stepSpec(key.step).isLasting;
    const workload::StepKey step = key.stepKey();
    std::size_t outliving = 0;
    for (auto other = this->tracks.lower_bound({step.job, step.occurrence, step.step, 0});
         other != this->tracks.end() && other->first.job == step.job && other->first.stepKey() == step;
         ++other) {
        const RunTrack &run = other->second;
        const bool isElsewhere = run.phase == RunPhase::Running && run.worker != worker;
        const bool hasOutlived = isLasting ? run.percent >= completePercent : run.progressAt - run.runningSince > workedFor + minOutlivingTime;
        outliving += isElsewhere && hasOutlived ? 1 : 0;
    }
    return outliving;
}

void Dispatcher::recordDoneRun(const workload::Incarnation &worker, WorkerView &view)
{
    if (view.consecutiveFailures > 0) {
        log::info("dispatch", "worker.trusted", {{"worker", worker.text()}, {"failures", view.consecutiveFailures}});
    }
    view.recordDoneRun();
}

void Dispatcher::logEndedSteps(Timestamp now)
{
    if (now >= this->nextStepReport) {
        this->nextStepReport = now + reportInterval;
        this->reports.logEnded(this->state);
    }
}

} // namespace paddlepier::execution
