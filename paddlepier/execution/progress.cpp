// Carries the ledger's placements out on the workers: what polls tell about runs under way.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** A sound run's percentage rises several times in this time; polls come at least every second. */
constexpr Duration standstill = absl::Milliseconds(1300);

/** Members of a gang wait for each other, and a resumed run loads its checkpoint first. */
constexpr Duration gangStandstill = absl::Seconds(5);

/** A lasting run that isn't at work after this time is started elsewhere. */
constexpr Duration lastingStandstill = absl::Seconds(4);

/** Filling runs that had to stand still for this long go elsewhere. */
constexpr Duration filledPatience = absl::Seconds(3);

constexpr Duration paceTimeout = absl::Milliseconds(900);

/** A run's speed is judged after this time and progress; a percentage is whole numbers. */
constexpr Duration speedAfter = absl::Milliseconds(350);
constexpr std::uint32_t speedAfterPercent = 8;

/** Weight of a new observation of a worker's speed. */
constexpr double speedWeight = 0.25;
/** The same for what is usual in a queue; slow, so that it doesn't follow a few slow workers. */
constexpr double usualWeight = 0.02;
/** Bounds of one observation. */
constexpr double least = 0.25;
constexpr double most = 8.0;

constexpr std::uint32_t atWorkPercent = 100;

/** How often steps are looked through whose runs have ended: late enough for the commit, soon enough for who follows the log. */
constexpr Duration reportInterval = absl::Milliseconds(100);

Duration patienceWith(const work::StepSpecT &step)
{
    return step.isLasting ? lastingStandstill : step.isGang ? gangStandstill : standstill;
}

} // namespace

void Dispatcher::takeRunning(Timestamp now, const workload::Life &worker, const WorkerAnswer &answer)
{
    for (const ListedRun &listed : answer.running) {
        const auto found = this->tracks.find(listed.task);
        const bool isHere = found != this->tracks.end() && found->second.worker == worker;
        if (isHere) {
            found->second.listedAt = now;
        }
        RunTrack *track = isHere && found->second.run == listed.run ? &found->second : nullptr;
        if (track == nullptr && this->takeSupersededRun(now, worker, listed)) {
            continue;
        }
        if (track == nullptr) {
            // A late start of a run that was settled otherwise, or one that the ledger has given up.
            log::warning("dispatch", "run.unknown", {{"task", listed.task.text()}, {"run", listed.run}, {"worker", worker.text()}});
            this->send(now, worker, StopOrder{listed.task, listed.run}, paceTimeout, false);
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

void Dispatcher::watchRuns(Timestamp now, const workload::Life &worker, WorkerView &view)
{
    std::vector<ServingLoad> serving;
    std::vector<workload::TaskKey> filling;
    for (const workload::TaskKey &key : this->state.findWorker(worker)->runs) {
        const auto track = this->tracks.find(key);
        // A list that was made before the run began says nothing about its progress.
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
        this->watchProgress(now, key, track->second, view);
    }
    view.isContended = !serving.empty() && !filling.empty();
    this->paceFilling(now, worker, view, serving, filling);
}

void Dispatcher::watchProgress(Timestamp now, const workload::TaskKey &key, RunTrack &track, WorkerView &view)
{
    const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
    const bool isAtWork = step.isLasting && track.percent >= atWorkPercent;
    // What others leave unused may be nothing for a while.
    if (step.isFilling || isAtWork) {
        return;
    }
    if (now - track.progressAt > patienceWith(step)) {
        if (this->setbacks.noteBadRun(key)) {
            view.noteFailedRun(now);
        }
        this->stopRun(now, key, track, StopReason::StandsStill);
        return;
    }
    const Duration seenFor = now - track.firstPercentAt;
    const std::uint32_t progress = track.percent - std::min(track.percent, track.firstPercent);
    if (step.isLasting || step.isGang || seenFor < speedAfter || progress < speedAfterPercent || step.estimatedMillis == 0) {
        return;
    }
    // Estimates of one queue are wrong in a like way; what is left is the worker's doing.
    const double ratio = absl::ToDoubleMilliseconds(seenFor) * 100 / progress / step.estimatedMillis;
    double &usual = this->usualRatios.try_emplace(this->state.findJob(key.job)->queue().name, 1.0).first->second;
    usual += usualWeight * (std::clamp(ratio, least, most) - usual);
    view.slowness += speedWeight * (std::clamp(ratio / usual, least, most) - view.slowness);
    // One observation a run.
    track.firstPercentAt = now;
    track.firstPercent = track.percent;
}

void Dispatcher::paceFilling(
    Timestamp now, const workload::Life &worker, WorkerView &view, const std::vector<ServingLoad> &serving, const std::vector<workload::TaskKey> &filling)
{
    const std::uint32_t pace = view.paceControl.update(now, serving);
    for (const workload::TaskKey &key : filling) {
        RunTrack &track = this->tracks.at(key);
        if (now - view.paceControl.stoppedSince() > filledPatience) {
            this->stopRun(now, key, track, StopReason::Disturbs);
        } else if (track.pace != pace && !track.isPaceInFlight) {
            track.isPaceInFlight = true;
            log::info("dispatch", "run.pace", {{"task", key.text()}, {"run", track.run}, {"worker", worker.text()}, {"percent", pace}});
            this->send(now, worker, PaceOrder{key, track.run, pace}, paceTimeout, false);
        }
    }
}

void Dispatcher::takePace(const PendingCall &call, const PaceOrder &order, const WorkerAnswer &answer)
{
    RunTrack *track = this->findTrack(order.task, order.run, call.worker);
    if (track == nullptr) {
        return;
    }
    track->isPaceInFlight = false;
    track->pace = answer.kind == AnswerKind::Accepted ? std::optional(order.percent) : std::nullopt;
}

void Dispatcher::judgeEnd(Timestamp now, WorkerView &view, const ListedEnd &end)
{
    const auto track = this->tracks.find(end.task);
    const bool isKnown = track != this->tracks.end() && track->second.run == end.run;
    const bool hasBegun = isKnown && track->second.runningSince < absl::InfiniteFuture();
    const Duration startTime = hasBegun ? track->second.runningSince - track->second.placedAt : absl::Milliseconds(-1);
    const Duration wholeTime = isKnown ? now - track->second.placedAt : absl::Milliseconds(-1);
    if (end.kind == work::RunEndKind::Done && isKnown) {
        this->reports.noteDone(end.task, {track->second.worker, end.run, startTime, wholeTime});
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
        if (this->setbacks.noteBadRun(end.task)) {
            view.noteFailedRun(now);
        }
    } else if (end.kind == work::RunEndKind::Done) {
        view.noteDoneRun();
    }
}

void Dispatcher::reportSteps(Timestamp now)
{
    if (now >= this->nextReport) {
        this->nextReport = now + reportInterval;
        this->reports.writeEnded(this->state);
    }
}

} // namespace paddlepier::execution
