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
    for (const workload::Life &life : this->needAttention) {
        const WorkerView &view = this->views.at(life);
        if (view.isReachable() || !view.leaseIsOver(now)) {
            continue;
        }
        std::vector<std::pair<workload::TaskKey, RunTrack>> expired;
        for (const workload::TaskKey &key : this->state.findWorker(life)->runs) {
            const auto track = this->tracks.find(key);
            if (track != this->tracks.end() && track->second.worker == life) {
                expired.emplace_back(key, track->second);
            }
        }
        this->endRuns(life, expired, work::RunEndKind::Expired);
        this->expireSuperseded(life);
        const bool isSilent = now - std::max(view.announcedAt, view.lastAnswerAt()) > forgottenAfter;
        if (isSilent && this->state.findWorker(life)->runs.empty()) {
            log::info("dispatch", "worker.forgotten", {{"worker", life.text()}});
            this->removeWorker(now, life, work::LifeEnd::Forgotten);
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

std::vector<std::unique_ptr<work::RunEndT>> Dispatcher::lostRuns(const workload::Life &worker) const
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
    const auto view = this->views.find({command.id, command.born});
    const Timestamp answeredAt = view == this->views.end() ? now : view->second.lastAnswerAt();
    log::info("dispatch",
              "worker.lost",
              {{"worker", workload::Life{command.id, command.born}.text()},
               {"how", work::EnumNameLifeEnd(command.end)},
               {"silentMillis", absl::ToInt64Milliseconds(std::min(now - answeredAt, absl::Hours(1)))},
               {"runs", runs}});
}

void Dispatcher::removeWorker(Timestamp now, const workload::Life &worker, work::LifeEnd how, const NextLife &next)
{
    const workload::Worker *record = this->state.findWorker(worker);
    const bool hasSaidSo = record != nullptr && record->registration.isDraining;
    work::RemoveWorkerT command;
    command.id = worker.id;
    command.born = worker.born;
    command.nextBorn = next.born;
    for (const workload::TaskKey &key : next.moved) {
        auto &run = command.moved.emplace_back(std::make_unique<work::RunEndT>());
        run->task = key.record();
        run->run = this->state.findJob(key.job)->task(key).lastRun;
    }
    command.end = hasSaidSo ? work::LifeEnd::Left : how;
    command.lost = this->lostRuns(worker);
    this->logLoss(now, command);
    for (auto track = this->tracks.begin(); track != this->tracks.end();) {
        track = track->second.worker == worker ? this->tracks.erase(track) : std::next(track);
    }
    const auto view = this->views.find(worker);
    if (view != this->views.end()) {
        view->second.isFenced = true; // no more calls to a life that is over
        this->noteView(worker);
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

bool Dispatcher::isOfOtherLife(Timestamp now, const PendingCall &call, const WorkerAnswer &answer)
{
    const bool isList = std::holds_alternative<PollOrder>(call.order) && answer.kind == AnswerKind::Accepted;
    if (answer.born == call.worker.born || (answer.born == 0 && !isList)) {
        return false;
    }
    log::info("dispatch", "worker.other-life", {{"worker", call.worker.text()}, {"born", answer.born}});
    // An earlier life's answer is late, and one that doesn't say whose it is isn't a worker's that has told its birth.
    if (answer.born > call.worker.born) {
        this->views.at(call.worker).noteLaterLife(now, this->options.longestLease);
    }
    return true;
}

void Dispatcher::removeOtherLives(Timestamp now, const workload::Life &worker, Timestamp pollSentAt, const WorkerAnswer &answer)
{
    std::vector<std::pair<workload::Life, NextLife>> over;
    const auto &known = this->state.workers();
    for (auto earlier = known.lower_bound({worker.id, 0}); earlier != known.end() && worker.isAfter(earlier->first); ++earlier) {
        over.push_back({earlier->first, {worker.born, this->takeOverRuns(worker, earlier->first, answer)}});
    }
    const work::RegisterWorkerT &alive = this->state.findWorker(worker)->registration;
    std::set<workload::Life> replaced = this->state.livesAtAddress(alive.address);
    if (!alive.machine.empty()) {
        const std::set<workload::Life> &ofMachine = this->state.livesOfMachine(alive.machine);
        replaced.insert(ofMachine.begin(), ofMachine.end());
    }
    for (const workload::Life &life : replaced) {
        const auto view = this->views.find(life);
        // One that joined after the poll was sent may be a later life.
        const bool isEarlier = view == this->views.end() || view->second.knownSince < pollSentAt;
        if (life.id != worker.id && isEarlier) {
            over.push_back({life, {}});
        }
    }
    for (const auto &[life, next] : over) {
        const std::size_t runs = this->state.findWorker(life)->runs.size();
        log::info("dispatch", "worker.replaced", {{"worker", life.text()}, {"by", worker.text()}, {"runs", runs}, {"moved", next.moved.size()}});
        this->removeWorker(now, life, work::LifeEnd::Crashed, next);
    }
}

std::vector<workload::TaskKey> Dispatcher::takeOverRuns(const workload::Life &worker, const workload::Life &earlier, const WorkerAnswer &answer)
{
    std::vector<workload::TaskKey> moved;
    const auto take = [&](const workload::TaskKey &key, std::uint32_t run) {
        RunTrack *track = this->findTrack(key, run, earlier);
        if (track != nullptr) {
            track->worker = worker;
            moved.push_back(key);
        }
    };
    for (const ListedRun &listed : answer.running) {
        take(listed.task, listed.run);
    }
    for (const ListedEnd &listed : answer.ended) {
        take(listed.task, listed.run);
    }
    return moved;
}

void Dispatcher::drainWorkers(Timestamp now)
{
    for (const workload::Life &life : this->needAttention) {
        const WorkerView &view = this->views.at(life);
        if (view.leavesAt == absl::InfiniteFuture() || now + this->options.stopGrace + leavingMargin < view.leavesAt) {
            continue;
        }
        for (const workload::TaskKey &key : this->state.findWorker(life)->runs) {
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
