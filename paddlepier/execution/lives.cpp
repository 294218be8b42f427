// Carries the ledger's placements out on the workers: lives that end, are replaced, or leave.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/dispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace paddlepier::execution
{

namespace
{

/** Runs that the line of a lost worker names; a worker holds some ten. */
constexpr std::size_t mostNamedRuns = 40;

/** A life that neither answers nor announces itself for this long, and holds no runs, is over. */
constexpr Duration forgottenAfter = absl::Seconds(20);

/** Part of a draining worker's remaining time in which its runs are stopped, beyond the stop itself. */
constexpr Duration leavingMargin = absl::Milliseconds(700);

} // namespace

const char *nameOf(LifeEnd why)
{
    static constexpr std::array<const char *, 2> names{"replaced", "forgotten"};
    return names.at(static_cast<std::size_t>(why));
}

const char *nameOf(RunPhase phase)
{
    static constexpr std::array<const char *, 3> names{"starting", "running", "stopping"};
    return names.at(static_cast<std::size_t>(phase));
}

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
            this->removeWorker(now, id, LifeEnd::Forgotten);
        }
    }
}

void Dispatcher::logLoss(Timestamp now, const std::string &worker, LifeEnd why) const
{
    const auto view = this->views.find(worker);
    const workload::Worker *record = this->state.findWorker(worker);
    if (view == this->views.end() || record == nullptr) {
        return;
    }
    const Timestamp answeredAt = view->second.lastAnswerAt();
    std::string runs;
    std::size_t named = 0;
    for (const workload::TaskKey &key : record->runs) {
        const auto track = this->tracks.find(key);
        if (track == this->tracks.end() || track->second.worker != worker || ++named > mostNamedRuns) {
            continue;
        }
        absl::StrAppend(
            &runs, " ", key.text(), "#", track->second.run, "/", nameOf(track->second.phase), "/", absl::ToInt64Milliseconds(now - track->second.placedAt));
    }
    log::info(
        "dispatch",
        "worker.lost",
        {{"worker", worker}, {"why", nameOf(why)}, {"silentMillis", absl::ToInt64Milliseconds(std::min(now - answeredAt, absl::Hours(1)))}, {"runs", runs}});
}

void Dispatcher::removeWorker(Timestamp now, const std::string &worker, LifeEnd why)
{
    this->logLoss(now, worker, why);
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
        this->removeWorker(now, id, LifeEnd::Replaced);
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
