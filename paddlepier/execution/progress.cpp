// Dispatcher: progress, speed and throttling of the runs that polls list.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <algorithm>
#include <cmath>

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

/**
 * The end of a run tells its duration only if the run was last known to be under way at most this long before: the longest wait of a poll. After a
 * longer gap the end may have been reported late.
 */
constexpr Duration maxGapBeforeEnd = absl::Seconds(2);

/** The speed of gang members is compared where at least this many are known; the median of fewer may be that of a slow worker. */
constexpr std::size_t minComparedMembers = 3;

/** A change of a worker's slowness by this factor is logged. */
constexpr double loggedSpeedChange = 1.2;

/** Runs on a slow worker may take this many times the stall timeout at most. */
constexpr double maxTimeoutFactor = 3.0;

/** Weight of a new observation in the typical ratio of a queue; low, so that a few slow workers don't change it. */
constexpr double typicalRatioWeight = 0.02;
/** The same for the first ones, so that an error that all estimates of the queue share isn't taken for the workers' speed for long. */
constexpr double firstRatioWeight = 0.1;
/** Bounds of one observation. */
constexpr double minRatio = 0.25;
constexpr double maxRatio = 8.0;

/** A lasting run has completed its start-up; any other has completed its work. */
constexpr std::uint32_t completePercent = 100;

/** How often steps with ended runs are checked: late enough for the commit of the ends, and soon enough for an operator who follows the log. */
constexpr Duration reportInterval = absl::Milliseconds(100);

/** Runs on a worker that is known to be slow progress more slowly. */
Duration stallTimeoutOf(const work::StepSpecT &step, const WorkerView &view)
{
    const Duration timeout = step.isLasting ? lastingStallTimeout : step.isGang ? gangStallTimeout : stallTimeout;
    return timeout * std::clamp(view.slowness, 1.0, maxTimeoutFactor);
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
    const auto dueAt = [this, &step](const RunTrack &run) {
        const auto view = this->views.find(run.worker);
        return view == this->views.end() ? run.progressAt : run.progressAt + stallTimeoutOf(step, view->second);
    };
    Timestamp due = dueAt(track);
    if (step.isGang && track.percent >= completePercent) {
        // The members end together with the slowest one: a complete member waits for as long as any other makes progress.
        this->visitTracks(key.stepKey(), [&due, &dueAt](const RunTrack &member) { due = std::max(due, dueAt(member)); });
    }
    return now > due;
}

void Dispatcher::monitorProgress(Timestamp now, const workload::TaskKey &key, RunTrack &track, WorkerView &view)
{
    const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
    const bool isReady = step.isLasting && track.percent >= completePercent;
    // Filling runs may get no processor time for a while, so that a stall says nothing about them.
    if (step.isFilling || isReady) {
        return;
    }
    if (this->hasStalled(now, key, track, step)) {
        // A gang's member that has completed its own work isn't the cause.
        const bool mayBeCause = !step.isGang || track.percent < completePercent;
        if (mayBeCause && this->taskBackoff.recordFailedRun(key)) {
            view.recordFailedRun(now);
        }
        this->stopRun(now, key, track, StopReason::StandsStill);
        return;
    }
    this->observeSpeed(now, key, track, view, track.percent);
}

void Dispatcher::observeSpeed(Timestamp now, const workload::TaskKey &key, RunTrack &track, WorkerView &view, std::uint32_t percent)
{
    const workload::Job &job = *this->state.findJob(key.job);
    const work::StepSpecT &step = job.stepSpec(key.step);
    const std::uint32_t from = track.startsAtZero ? 0 : track.firstPercent;
    const std::uint32_t observed = std::max(from, track.observedPercent);
    // A complete member of a gang waits for the others, for a time that says nothing about its worker.
    if (step.isLasting || step.isFilling || (step.isGang && percent >= completePercent) || percent < observed + minSpeedPercent) {
        return;
    }
    const Timestamp seenSince = track.startsAtZero ? track.runningSince : track.firstPercentAt;
    const Duration time = now - (step.isGang ? std::max(seenSince, this->gangStart(key.stepKey())) : seenSince);
    if (time < minSpeedTime) {
        return;
    }
    track.timePerPercent = time / (percent - from);
    std::optional<double> ratio;
    if (step.estimatedMillis > 0) {
        ratio = this->updateTypicalRatio(job.queue().name, absl::ToDoubleMilliseconds(track.timePerPercent) * completePercent / step.estimatedMillis);
    }
    // All members of a gang have the same estimate, so that a comparison between them is free of its error.
    const std::optional<Duration> typicalTime = step.isGang ? this->gangTimePerPercent(key.stepKey()) : std::nullopt;
    if (typicalTime) {
        ratio = absl::FDivDuration(track.timePerPercent, *typicalTime);
    }
    if (!ratio) {
        return;
    }
    view.recordSpeed(*ratio, static_cast<double>(percent - observed) / completePercent);
    track.observedPercent = percent;
    if (std::abs(std::log(view.slowness / view.loggedSlowness)) >= std::log(loggedSpeedChange)) {
        view.loggedSlowness = view.slowness;
        log::info("dispatch",
                  "worker.speed",
                  {{"worker", track.worker.text()}, {"slowness", view.slowness}, {"uncertainty", view.speed().uncertainty()}, {"runs", view.speed().weight()}});
    }
}

double Dispatcher::updateTypicalRatio(const std::string &queue, double ratio)
{
    // Estimates of one queue tend to be wrong by the same factor; the remaining difference is due to the worker.
    double &typicalRatio = this->typicalRatios.try_emplace(queue, 1.0).first->second;
    const double weight = std::clamp(1.0 / ++this->ratioObservations[queue], typicalRatioWeight, firstRatioWeight);
    typicalRatio += weight * (std::clamp(ratio, minRatio, maxRatio) - typicalRatio);
    return ratio / typicalRatio;
}

Timestamp Dispatcher::gangStart(const workload::StepKey &gang) const
{
    Timestamp start = absl::InfinitePast();
    this->visitTracks(gang, [&start](const RunTrack &member) {
        // An adopted run was running before this leader first saw it.
        start = member.isAdopted ? start : std::max(start, member.runningSince);
    });
    return start;
}

std::optional<Duration> Dispatcher::gangTimePerPercent(const workload::StepKey &gang) const
{
    std::vector<Duration> times;
    this->visitTracks(gang, [this, &times](const RunTrack &member) {
        const auto view = this->views.find(member.worker);
        if (member.timePerPercent > absl::ZeroDuration() && view != this->views.end()) {
            times.push_back(member.timePerPercent / view->second.slowness);
        }
    });
    if (times.size() < minComparedMembers) {
        return std::nullopt;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
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

void Dispatcher::evaluateEnd(Timestamp now, WorkerView &view, const ListedEnd &end)
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
    if (end.kind == work::RunEndKind::Done && hasStarted && now - std::max(track->second.listedAt, track->second.runningSince) <= maxGapBeforeEnd) {
        this->observeSpeed(now, end.task, track->second, view, completePercent);
    }
    if (end.kind == work::RunEndKind::Failed) {
        if (this->taskBackoff.recordFailedRun(end.task)) {
            view.recordFailedRun(now);
        }
    } else if (end.kind == work::RunEndKind::Done) {
        view.recordDoneRun();
    }
}

void Dispatcher::logEndedSteps(Timestamp now)
{
    if (now >= this->nextStepReport) {
        this->nextStepReport = now + reportInterval;
        this->reports.logEnded(this->state);
    }
}

} // namespace paddlepier::execution
