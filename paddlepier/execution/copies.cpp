// Dispatcher: copies of tasks whose worker doesn't answer.
//
// Where a step allows copies, a run on a worker that may be cut off is superseded: the ledger keeps its capacity reserved, and the
// task may be placed elsewhere at once. The first of the two runs to end as done counts, and the other is stopped. A superseded run
// has ended when its worker lists its end, when the worker has confirmed a stop and no longer lists the run, or when the lease has
// expired.
//
// Two runs of a task mean that one may end as done while the start of the other is in transit. That end isn't acknowledged until the start
// can't be executed any more; a stop is sent at once to prevent it.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** Number of superseded runs that a task may have in addition to its newest run; each costs as much as a complete run. */
constexpr std::uint32_t maxSuperseded = 1;

constexpr Duration stopTimeout = absl::Milliseconds(900);

} // namespace

bool Dispatcher::maySupersede(const workload::TaskKey &key) const
{
    const workload::Job &job = *this->state.findJob(key.job);
    const work::StepSpecT &step = job.stepSpec(key.step);
    if (!step.mayRunCopies || step.isGang || step.isLasting || job.hasEnded() || job.task(key).isDone) {
        return false;
    }
    // The task may have crashed its worker, and a copy could immediately crash another one.
    if (job.task(key).isSuspect()) {
        return false;
    }
    return this->state.supersededRunCount(key) < maxSuperseded;
}

void Dispatcher::supersedeRuns(Timestamp now)
{
    if (this->isProcessSlow) {
        return;
    }
    for (const workload::Incarnation &incarnation : this->workersNeedingAttention) {
        const WorkerView &view = this->views.at(incarnation);
        if (!view.isOverdue(now) && !view.isUnresponsive()) {
            continue;
        }
        std::vector<std::pair<workload::TaskKey, RunTrack>> superseded;
        for (const workload::TaskKey &key : this->state.findWorker(incarnation)->runs) {
            const auto track = this->tracks.find(key);
            if (track != this->tracks.end() && track->second.worker == incarnation && this->maySupersede(key)) {
                superseded.emplace_back(key, track->second);
            }
        }
        for (const auto &[key, track] : superseded) {
            SupersededTrack &entry = this->supersededTracks[{incarnation, key, track.run}];
            entry.isAdopted = track.isAdopted;
            entry.isStartSettled = !track.isAdopted && !this->mayStillStart(track);
            entry.settledAt = track.settledAt;
        }
        this->proposeEnds(incarnation, superseded, work::RunEndKind::Superseded);
    }
}

bool Dispatcher::handleSupersededRun(Timestamp now, const workload::Incarnation &worker, const ListedRun &listed)
{
    const workload::Worker &record = *this->state.findWorker(worker);
    const auto found = record.superseded.find(listed.task);
    if (found == record.superseded.end() || found->second.run != listed.run) {
        return false;
    }
    this->supersededTracks[{worker, listed.task, listed.run}].isStartSettled = true;
    const workload::Job *job = this->state.findJob(listed.task.job);
    if (job == nullptr || job->hasEnded() || job->task(listed.task).isDone) {
        this->stopSuperseded(now, worker, listed.task, listed.run);
    }
    return true;
}

void Dispatcher::stopSuperseded(Timestamp now, const workload::Incarnation &worker, const workload::TaskKey &key, std::uint32_t run)
{
    SupersededTrack &track = this->supersededTracks[{worker, key, run}];
    if (!track.isStopInFlight) {
        track.isStopInFlight = true;
        this->send(now, worker, StopOrder{key, run}, stopTimeout, false);
    }
}

void Dispatcher::preventSupersededStarts(Timestamp now)
{
    for (const auto &[run, track] : this->supersededTracks) {
        const auto &[incarnation, key, number] = run;
        const workload::Job *job = this->state.findJob(key.job);
        const auto view = this->views.find(incarnation);
        // As in driveRun(): a worker is sent nothing but polls until it has answered one.
        const bool mayBeStopped = view != this->views.end() && view->second.hasListed && !view->second.isFenced;
        if (job != nullptr && isObsolete(*job, key) && mayBeStopped && this->mayStillStart(run, track)) {
            this->stopSuperseded(now, incarnation, key, number);
        }
    }
}

std::uint64_t Dispatcher::acknowledgeableSequence(const workload::Incarnation &worker) const
{
    const std::uint64_t recorded = this->state.findWorker(worker)->lastSequence;
    const auto listed = this->listedDoneEnds.find(worker);
    if (listed == this->listedDoneEnds.end()) {
        return recorded;
    }
    const auto held = std::find_if(
        listed->second.begin(), listed->second.end(), [this, &worker](const ListedEnd &end) { return this->mayOtherRunStart(end.task, end.run, worker); });
    return held == listed->second.end() ? recorded : std::min(recorded, held->sequence - 1);
}

bool Dispatcher::mayOtherRunStart(const workload::TaskKey &key, std::uint32_t ended, const workload::Incarnation &worker) const
{
    const auto track = this->tracks.find(key);
    if (track != this->tracks.end() && (track->second.run != ended || track->second.worker != worker) && this->mayStillStart(track->second)) {
        return true;
    }
    if (this->state.supersededRunCount(key) == 0) {
        return false;
    }
    return std::any_of(this->supersededTracks.begin(), this->supersededTracks.end(), [&](const auto &entry) {
        const auto &[incarnation, task, run] = entry.first;
        return task == key && (run != ended || incarnation != worker) && this->mayStillStart(entry.first, entry.second);
    });
}

bool Dispatcher::mayStillStart(const RunTrack &track) const
{
    if (track.runningSince < absl::InfiniteFuture() || track.settledAt < absl::InfiniteFuture()) {
        return false;
    }
    return track.isAdopted ? this->mayExecuteEarlierTerms(track.worker) : track.isCallInFlight || track.mayStartLate;
}

bool Dispatcher::mayStillStart(const SupersededKey &key, const SupersededTrack &track) const
{
    const auto &[incarnation, task, run] = key;
    const workload::Worker *record = this->state.findWorker(incarnation);
    if (record == nullptr) {
        return false;
    }
    const auto found = record->superseded.find(task);
    const bool hasEnded = found == record->superseded.end() || found->second.run != run;
    if (hasEnded || track.isStartSettled || track.settledAt < absl::InfiniteFuture()) {
        return false;
    }
    return !track.isAdopted || this->mayExecuteEarlierTerms(incarnation);
}

bool Dispatcher::mayExecuteEarlierTerms(const workload::Incarnation &worker) const
{
    const auto view = this->views.find(worker);
    return view != this->views.end() && !view->second.hasListed;
}

bool Dispatcher::mayStillStart(const std::string &job) const
{
    for (auto track = this->tracks.lower_bound({job, 0, 0, 0}); track != this->tracks.end() && track->first.job == job; ++track) {
        if (this->mayStillStart(track->second)) {
            return true;
        }
    }
    return std::any_of(this->supersededTracks.begin(), this->supersededTracks.end(), [this, &job](const auto &entry) {
        return std::get<workload::TaskKey>(entry.first).job == job && this->mayStillStart(entry.first, entry.second);
    });
}

void Dispatcher::settleSuperseded(Timestamp now, const workload::Incarnation &worker, Timestamp pollSentAt, const WorkerAnswer &answer)
{
    std::vector<std::pair<workload::TaskKey, RunTrack>> endedRuns;
    for (const auto &[key, run] : this->state.findWorker(worker)->superseded) {
        const auto isThisTask = [&key = key](const auto &listed) { return listed.task == key; };
        const bool isListed =
            std::any_of(answer.running.begin(), answer.running.end(), isThisTask) || std::any_of(answer.ended.begin(), answer.ended.end(), isThisTask);
        if (isListed) {
            continue;
        }
        const SupersededTrack &track = this->supersededTracks[{worker, key, run.run}];
        if (track.isAdopted || track.settledAt < pollSentAt) {
            endedRuns.push_back(trackOf(key, run));
        } else if (track.settledAt == absl::InfiniteFuture()) {
            this->stopSuperseded(now, worker, key, run.run);
        }
    }
    this->proposeEnds(worker, endedRuns, work::RunEndKind::Void);
}

std::pair<workload::TaskKey, RunTrack> Dispatcher::trackOf(const workload::TaskKey &key, const workload::SupersededRun &run)
{
    RunTrack track;
    track.run = run.run;
    track.isAdopted = true; // it is unknown whether it has started
    return {key, std::move(track)};
}

void Dispatcher::expireSuperseded(const workload::Incarnation &worker)
{
    std::vector<std::pair<workload::TaskKey, RunTrack>> expired;
    for (const auto &[key, run] : this->state.findWorker(worker)->superseded) {
        expired.push_back(trackOf(key, run));
    }
    this->proposeEnds(worker, expired, work::RunEndKind::Expired);
}

} // namespace paddlepier::execution
