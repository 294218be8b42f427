// Dispatcher: incarnations of workers that join, end, are replaced, or leave.

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

/** Maximum number of runs named in the log line of a lost worker; a worker typically holds some ten. */
constexpr std::size_t maxNamedRuns = 40;

/** An incarnation without runs that neither answers nor announces itself for this long is removed. */
constexpr Duration removalTimeout = absl::Seconds(20);

/** Runs of a draining worker are stopped this long before it leaves, in addition to the time that a stop takes. */
constexpr Duration drainMargin = absl::Milliseconds(700);

} // namespace

void Dispatcher::addView(Timestamp now, const workload::Incarnation &worker)
{
    const auto view = this->views.try_emplace(worker, now, this->options.maxLease, &this->totalPause).first;
    view->second.fence = fencingToken(this->term, this->incarnationsById[worker.id]++);
    this->firstPollTimers.schedule(worker, now - this->firstPollOffset(worker));
    this->markViewChanged(worker);
    // Incarnations under one id are adjacent in the map.
    if (view != this->views.begin() && worker.isAfter(std::prev(view)->first)) {
        std::prev(view)->second.recordSuccessor(now, this->options.maxLease);
        this->markViewChanged(std::prev(view)->first);
    }
}

void Dispatcher::removeView(const workload::Incarnation &worker)
{
    if (this->views.erase(worker) > 0) {
        this->workersNeedingAttention.erase(worker);
        this->listedDoneEnds.erase(worker);
        std::erase_if(this->tracks, [&worker](const auto &run) { return run.second.worker == worker; });
        this->abandonCalls(worker);
    }
}

void Dispatcher::resetView(Timestamp now, const workload::Incarnation &worker)
{
    this->removeView(worker);
    if (this->state.findWorker(worker) != nullptr) {
        this->addView(now, worker);
    }
}

void Dispatcher::abandonCalls(const workload::Incarnation &worker)
{
    for (auto call = this->calls.begin(); call != this->calls.end();) {
        if (call->second.worker != worker) {
            ++call;
            continue;
        }
        this->startsInFlight -= std::holds_alternative<StartOrder>(call->second.order) ? 1 : 0;
        this->recentFirstPolls.erase(call->first);
        call = this->calls.erase(call);
    }
}

void Dispatcher::expireLeases(Timestamp now)
{
    for (const workload::Incarnation &incarnation : this->workersNeedingAttention) {
        const WorkerView &view = this->views.at(incarnation);
        if (view.isReachable() || !view.hasLeaseExpired(now)) {
            continue;
        }
        std::vector<std::pair<workload::TaskKey, RunTrack>> expired;
        for (const workload::TaskKey &key : this->state.findWorker(incarnation)->runs) {
            const auto track = this->tracks.find(key);
            if (track != this->tracks.end() && track->second.worker == incarnation) {
                expired.emplace_back(key, track->second);
            }
        }
        this->proposeEnds(incarnation, expired, work::RunEndKind::Expired);
        this->expireSuperseded(incarnation);
        const bool isUnresponsive = now - std::max(view.announcedAt, view.lastAnswerAt()) > removalTimeout;
        if (isUnresponsive && this->state.findWorker(incarnation)->runs.empty()) {
            log::info("dispatch", "worker.forgotten", {{"worker", incarnation.text()}});
            this->removeWorker(now, incarnation, work::LifeEnd::Forgotten);
        }
    }
}

work::RunAtLoss Dispatcher::stateAtLoss(const workload::TaskKey &key, const RunTrack &track) const
{
    // That the worker answered polls at the time doesn't show that the start reached it.
    if (!track.isConfirmed()) {
        const bool canHaveStarted = track.mayHaveReachedWorker() && track.settledAt == absl::InfiniteFuture();
        const bool wasVerified = this->state.findJob(key.job)->task(key).verifiedRun == track.run;
        return !canHaveStarted ? work::RunAtLoss::NotBegun : wasVerified ? work::RunAtLoss::Verified : work::RunAtLoss::Unclear;
    }
    if (track.settledAt < absl::InfiniteFuture()) {
        // It was stopped, and has most probably ended before the loss.
        return work::RunAtLoss::Unclear;
    }
    const auto view = this->views.find(track.worker);
    const bool isSettled = view != this->views.end() && track.isSettledAt(view->second.lastAnswerAt());
    if (isSettled && this->state.findJob(key.job)->stepSpec(key.step).isLasting) {
        return work::RunAtLoss::Settled;
    }
    // An earlier leader may have started an adopted run long before.
    return isSettled || track.isAdopted ? work::RunAtLoss::Running : work::RunAtLoss::Fresh;
}

std::vector<std::unique_ptr<work::RunEndT>> Dispatcher::lostRuns(const workload::Incarnation &worker) const
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
            const work::RunAtLoss atLoss = this->stateAtLoss(key, track->second);
            this->logLostRun(key, track->second, atLoss);
            add(key, track->second.run, atLoss);
        }
    }
    for (const auto &[key, run] : record->superseded) {
        add(key, run.run, work::RunAtLoss::Unclear);
    }
    return lost;
}

void Dispatcher::logLostRun(const workload::TaskKey &key, const RunTrack &track, work::RunAtLoss atLoss) const
{
    const auto view = this->views.find(track.worker);
    const Timestamp answeredAt = view == this->views.end() ? absl::InfinitePast() : view->second.lastAnswerAt();
    const auto millisSince = [](Timestamp from, Timestamp until) {
        return absl::ToInt64Milliseconds(std::clamp(until - from, -absl::Hours(1), absl::Hours(1)));
    };
    log::info("dispatch",
              "run.lost",
              {{"task", key.text()},
               {"run", track.run},
               {"worker", track.worker.text()},
               {"countedAs", work::EnumNameRunAtLoss(atLoss)},
               {"startCalls", track.startCalls},
               {"mayHaveArrived", track.mayHaveReachedWorker()},
               {"isConfirmed", track.isConfirmed()},
               {"isVerified", this->state.findJob(key.job)->task(key).verifiedRun == track.run},
               {"answeredMillisAfterPlacement", millisSince(track.placedAt, answeredAt)}});
}

void Dispatcher::logLoss(Timestamp now, const work::RemoveWorkerT &command) const
{
    std::string runs;
    for (std::size_t number = 0; number < std::min(command.lost.size(), maxNamedRuns); ++number) {
        const work::RunEndT &end = *command.lost[number];
        absl::StrAppend(&runs, " ", workload::TaskKey(*end.task).text(), "#", end.run, "/", work::EnumNameRunAtLoss(end.atLoss));
    }
    const auto view = this->views.find({command.id, command.born});
    const Timestamp answeredAt = view == this->views.end() ? now : view->second.lastAnswerAt();
    log::info("dispatch",
              "worker.lost",
              {{"worker", workload::Incarnation{command.id, command.born}.text()},
               {"how", work::EnumNameLifeEnd(command.end)},
               {"silentMillis", absl::ToInt64Milliseconds(std::min(now - answeredAt, absl::Hours(1)))},
               {"runs", runs}});
}

void Dispatcher::removeWorker(Timestamp now, const workload::Incarnation &worker, work::LifeEnd how, const Successor &next)
{
    const workload::Worker *record = this->state.findWorker(worker);
    const bool hasAnnouncedLeaving = record != nullptr && record->registration.isDraining;
    work::RemoveWorkerT command;
    command.id = worker.id;
    command.born = worker.born;
    command.nextBorn = next.born;
    for (const workload::TaskKey &key : next.movedRuns) {
        auto &run = command.moved.emplace_back(std::make_unique<work::RunEndT>());
        run->task = key.record();
        run->run = this->state.findJob(key.job)->task(key).lastRun;
    }
    command.end = hasAnnouncedLeaving ? work::LifeEnd::Left : how;
    command.lost = this->lostRuns(worker);
    this->logLoss(now, command);
    for (auto track = this->tracks.begin(); track != this->tracks.end();) {
        track = track->second.worker == worker ? this->tracks.erase(track) : std::next(track);
    }
    const auto view = this->views.find(worker);
    if (view != this->views.end()) {
        view->second.isFenced = true; // no more calls to an incarnation that has ended
        this->markViewChanged(worker);
    }
    work::CommandUnion made;
    made.Set(std::move(command));
    this->propose(ProposalKind::RemoveWorker, worker, std::move(made));
}

void Dispatcher::logAbandoned(const std::vector<workload::TaskKey> &tasks) const
{
    for (const workload::TaskKey &key : tasks) {
        const workload::JobFailure &failure = this->state.findJob(key.job)->failure();
        log::warning("dispatch", "task.given-up", {{"task", key.text()}, {"lostWorkers", absl::StrJoin(failure.lostWorkers, " ")}});
    }
}

bool Dispatcher::isFromOtherIncarnation(Timestamp now, const PendingCall &call, const WorkerAnswer &answer)
{
    const bool isList = std::holds_alternative<PollOrder>(call.order) && answer.kind == AnswerKind::Accepted;
    if (answer.born == call.worker.born || (answer.born == 0 && !isList)) {
        return false;
    }
    log::info("dispatch", "worker.other-life", {{"worker", call.worker.text()}, {"born", answer.born}});
    // An answer of an earlier incarnation is merely late. One without a birth time isn't from a worker that has announced its birth time.
    if (answer.born > call.worker.born) {
        this->views.at(call.worker).recordSuccessor(now, this->options.maxLease);
    }
    return true;
}

void Dispatcher::removeOtherIncarnations(Timestamp now, const workload::Incarnation &worker, Timestamp pollSentAt, const WorkerAnswer &answer)
{
    std::vector<std::pair<workload::Incarnation, Successor>> endedIncarnations;
    const auto &ledgerWorkers = this->state.workers();
    for (auto earlier = ledgerWorkers.lower_bound({worker.id, 0}); earlier != ledgerWorkers.end() && worker.isAfter(earlier->first); ++earlier) {
        endedIncarnations.push_back({earlier->first, {worker.born, this->transferRuns(now, worker, earlier->first, answer)}});
    }
    const work::RegisterWorkerT &current = this->state.findWorker(worker)->registration;
    std::set<workload::Incarnation> replaced = this->state.incarnationsAtAddress(current.address);
    if (!current.machine.empty()) {
        const std::set<workload::Incarnation> &ofMachine = this->state.incarnationsOfMachine(current.machine);
        replaced.insert(ofMachine.begin(), ofMachine.end());
    }
    for (const workload::Incarnation &incarnation : replaced) {
        const auto view = this->views.find(incarnation);
        // One that joined after the poll was sent may be a later incarnation.
        const bool isEarlier = view == this->views.end() || view->second.knownSince < pollSentAt;
        if (incarnation.id != worker.id && isEarlier) {
            endedIncarnations.push_back({incarnation, {}});
        }
    }
    for (const auto &[incarnation, next] : endedIncarnations) {
        const std::size_t runs = this->state.findWorker(incarnation)->runs.size();
        log::info("dispatch", "worker.replaced", {{"worker", incarnation.text()}, {"by", worker.text()}, {"runs", runs}, {"moved", next.movedRuns.size()}});
        this->removeWorker(now, incarnation, work::LifeEnd::Crashed, next);
    }
}

std::vector<workload::TaskKey>
Dispatcher::transferRuns(Timestamp now, const workload::Incarnation &worker, const workload::Incarnation &earlier, const WorkerAnswer &answer)
{
    std::vector<workload::TaskKey> moved;
    const auto transfer = [&](const workload::TaskKey &key, std::uint32_t run) {
        RunTrack *track = this->findTrack(key, run, earlier);
        if (track != nullptr) {
            track->worker = worker;
            // The answers to orders in flight will be those of the earlier incarnation.
            track->mayStartLate = track->mayStartLate || (track->isCallInFlight && !track->isVerifyInFlight);
            track->isCallInFlight = false;
            track->isVerifyInFlight = false;
            if (track->isPaceInFlight) {
                track->isPaceInFlight = false;
                track->pace.reset();
            }
            this->runTimers.schedule(key, now);
            moved.push_back(key);
        }
    };
    for (const ListedRun &listed : answer.running) {
        transfer(listed.task, listed.run);
    }
    for (const ListedEnd &listed : answer.ended) {
        transfer(listed.task, listed.run);
    }
    return moved;
}

void Dispatcher::drainWorkers(Timestamp now)
{
    for (const workload::Incarnation &incarnation : this->workersNeedingAttention) {
        const WorkerView &view = this->views.at(incarnation);
        if (view.leavesAt == absl::InfiniteFuture() || now + this->options.stopGrace + drainMargin < view.leavesAt) {
            continue;
        }
        for (const workload::TaskKey &key : this->state.findWorker(incarnation)->runs) {
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
