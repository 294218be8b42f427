// Carries the ledger's placements out on the workers: lives that end, are replaced, or leave.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>

namespace paddlepier::execution
{

namespace
{

/** Runs that the line of a lost worker names; a worker holds some ten. */
constexpr std::size_t mostNamedRuns = 40;

/** A life that neither answers nor announces itself for this long, and holds no runs, is over. */
constexpr Duration forgottenAfter = absl::Seconds(20);

/** A sound worker that is polled without a pause answers at least this often. */
constexpr Duration longestPollPause = absl::Milliseconds(1000);

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
            this->removeWorker(now, id, work::LifeEnd::Forgotten);
        }
    }
}

work::RunAtLoss Dispatcher::atLoss(const workload::TaskKey &key, const RunTrack &track) const
{
    if (!track.isAdopted && track.startCalls == 0) {
        return work::RunAtLoss::NotBegun;
    }
    const auto view = this->views.find(track.worker);
    if (view == this->views.end()) {
        return work::RunAtLoss::Unclear;
    }
    const Timestamp answeredAt = view->second.lastAnswerAt();
    if (track.isSettledAt(answeredAt)) {
        return this->state.findJob(key.job)->stepSpec(key.step).isLasting ? work::RunAtLoss::Settled : work::RunAtLoss::Unclear;
    }
    // Of a worker that was silent before the start, or hasn't answered this leader, it isn't known whether the run was still there.
    const bool wasThere = !track.isAdopted && answeredAt + longestPollPause >= track.placedAt;
    return wasThere ? work::RunAtLoss::Fresh : work::RunAtLoss::Unclear;
}

std::vector<std::unique_ptr<work::RunEndT>> Dispatcher::lostRuns(const std::string &worker) const
{
    std::vector<std::unique_ptr<work::RunEndT>> lost;
    const auto add = [&lost](const workload::TaskKey &key, std::uint32_t run, work::RunAtLoss atLoss) {
        auto &end = lost.emplace_back(std::make_unique<work::RunEndT>());
        end->task = key.record();
        end->run = run;
        end->kind = work::RunEndKind::WorkerLost;
        end->atLoss = atLoss;
    };
    const workload::Worker *record = this->state.findWorker(worker);
    if (record == nullptr) {
        return lost;
    }
    for (const workload::TaskKey &key : record->runs) {
        const auto track = this->tracks.find(key);
        if (track != this->tracks.end() && track->second.worker == worker) {
            add(key, track->second.run, this->atLoss(key, track->second));
        }
    }
    for (const auto &[key, run] : record->superseded) {
        add(key, run.run, work::RunAtLoss::Unclear);
    }
    return lost;
}

void Dispatcher::logLoss(Timestamp now, const work::RemoveWorkerT &command) const
{
    std::string runs;
    for (std::size_t number = 0; number < std::min(command.lost.size(), mostNamedRuns); ++number) {
        const work::RunEndT &end = *command.lost[number];
        absl::StrAppend(&runs, " ", workload::TaskKey(*end.task).text(), "#", end.run, "/", work::EnumNameRunAtLoss(end.atLoss));
    }
    const auto view = this->views.find(command.id);
    const Timestamp answeredAt = view == this->views.end() ? now : view->second.lastAnswerAt();
    log::info("dispatch",
              "worker.lost",
              {{"worker", command.id},
               {"how", work::EnumNameLifeEnd(command.end)},
               {"silentMillis", absl::ToInt64Milliseconds(std::min(now - answeredAt, absl::Hours(1)))},
               {"runs", runs}});
}

void Dispatcher::removeWorker(Timestamp now, const std::string &worker, work::LifeEnd how)
{
    const workload::Worker *record = this->state.findWorker(worker);
    const bool hasSaidSo = record != nullptr && record->registration.isDraining;
    work::RemoveWorkerT command;
    command.id = worker;
    command.end = hasSaidSo ? work::LifeEnd::Left : how;
    command.lost = this->lostRuns(worker);
    this->logLoss(now, command);
    for (auto track = this->tracks.begin(); track != this->tracks.end();) {
        track = track->second.worker == worker ? this->tracks.erase(track) : std::next(track);
    }
    const auto view = this->views.find(worker);
    if (view != this->views.end()) {
        view->second.isFenced = true; // no more calls to a life that is over
    }
    work::CommandUnion made;
    made.Set(std::move(command));
    this->propose(ProposalKind::RemoveWorker, worker, std::move(made));
}

void Dispatcher::logGivenUp(const std::vector<workload::TaskKey> &tasks) const
{
    for (const workload::TaskKey &key : tasks) {
        const workload::JobFailure &failure = this->state.findJob(key.job)->failure();
        log::warning("dispatch", "task.given-up", {{"task", key.text()}, {"lostWorkers", absl::StrJoin(failure.lostWorkers, " ")}});
    }
}

void Dispatcher::removeOtherLives(Timestamp now, const std::string &worker, Timestamp pollSentAt)
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
        this->removeWorker(now, id, work::LifeEnd::Crashed);
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
