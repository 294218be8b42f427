// Dispatcher: copies of tasks whose worker doesn't answer.
//
// Where a step allows copies, a run on a worker that may be cut off is superseded: the ledger keeps its capacity reserved, and the
// task may be placed elsewhere at once. The first of the two runs to end as done counts, and the other is stopped. A superseded run
// has ended when its worker lists its end, when the worker has confirmed a stop and no longer lists the run, or when the lease has
// expired.

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
            this->supersededTracks[{incarnation, key, track.run}].isAdopted = track.isAdopted;
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
