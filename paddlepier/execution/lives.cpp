// Carries the ledger's placements out on the workers: lives that end, are replaced, or leave.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** A life that neither answers nor announces itself for this long, and holds no runs, is over. */
constexpr Duration forgottenAfter = absl::Seconds(20);

/** Part of a draining worker's remaining time in which its runs are stopped, beyond the stop itself. */
constexpr Duration leavingMargin = absl::Milliseconds(700);

} // namespace

void Dispatcher::expireLeases(Timestamp now)
{
    for (auto &[id, view] : this->views) {
        if (view.isReachable() || !view.leaseIsOver(now)) {
            continue;
        }
        std::vector<std::pair<workload::TaskKey, RunTrack>> expired;
        for (const workload::TaskKey &key : this->state.findWorker(id)->runs) {
            const auto track = this->tracks.find(key);
            if (track != this->tracks.end() && track->second.worker == id) {
                expired.emplace_back(key, track->second);
            }
        }
        this->endRuns(id, expired, work::RunEndKind::Expired);
        this->expireSuperseded(id);
        const bool isSilent = now - std::max(view.announcedAt, view.lastAnswerAt()) > forgottenAfter;
        if (isSilent && this->state.findWorker(id)->runs.empty()) {
            log::info("dispatch", "worker.forgotten", {{"worker", id}});
            this->removeWorker(id);
        }
    }
}

void Dispatcher::removeWorker(const std::string &worker)
{
    for (auto track = this->tracks.begin(); track != this->tracks.end();) {
        track = track->second.worker == worker ? this->tracks.erase(track) : std::next(track);
    }
    const auto view = this->views.find(worker);
    if (view != this->views.end()) {
        view->second.isFenced = true; // no more calls to a life that is over
    }
    work::RemoveWorkerT command;
    command.id = worker;
    work::CommandUnion made;
    made.Set(std::move(command));
    this->propose(ProposalKind::RemoveWorker, worker, std::move(made));
}

void Dispatcher::removeOtherLives(const std::string &worker, Timestamp pollSentAt)
{
    const work::RegisterWorkerT &alive = this->state.findWorker(worker)->registration;
    std::vector<std::string> over;
    for (const auto &[id, other] : this->state.workers()) {
        const bool isSameMachine = !alive.machine.empty() && other.registration.machine == alive.machine;
        if (id == worker || (!isSameMachine && other.registration.address != alive.address)) {
            continue;
        }
        const auto view = this->views.find(id);
        // One that joined after the poll was sent may be a later life.
        const bool isEarlier = view == this->views.end() || view->second.knownSince < pollSentAt;
        if (isEarlier) {
            log::info("dispatch", "worker.replaced", {{"worker", id}, {"by", worker}, {"runs", other.runs.size()}});
            over.push_back(id);
        }
    }
    for (const std::string &id : over) {
        this->removeWorker(id);
    }
}

void Dispatcher::drainWorkers(Timestamp now)
{
    for (const auto &[id, view] : this->views) {
        if (view.leavesAt == absl::InfiniteFuture() || now + this->options.stopGrace + leavingMargin < view.leavesAt) {
            continue;
        }
        for (const workload::TaskKey &key : this->state.findWorker(id)->runs) {
            const auto track = this->tracks.find(key);
            if (track == this->tracks.end() || track->second.phase == RunPhase::Stopping) {
                continue;
            }
            const work::StepSpecT &step = this->state.findJob(key.job)->stepSpec(key.step);
            if (step.isCheckpointing || step.isLasting) {
                this->stopRun(now, key, track->second, StopReason::WorkerLeaves);
            }
        }
    }
}

} // namespace paddlepier::execution
