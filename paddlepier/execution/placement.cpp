// Carries the ledger's placements out on the workers: when plans are made, and what becomes of their placements.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/cellload.h"
#include "paddlepier/execution/dispatcher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace paddlepier::execution
{

namespace
{

/**
 * Starts that may wait for their answer before placing pauses: what 350 workers at 750 starts a second leave open in 0.4 s.
 * Beyond that tasks wait better in the ledger, where they can still be put in order of urgency.
 */
constexpr std::size_t mostStartsUnderWay = 300;
/** Placing goes on when this few are left, so that a plan over all that waits isn't made for a few places. */
constexpr std::size_t fewStartsUnderWay = 150;

/** Least pause between two plans, so that what comes at nearly the same time is decided together. */
constexpr Duration planPause = absl::Milliseconds(6);

/** The pause after a plan, in times of what it took: planning takes a quarter of the process' time at the most. */
constexpr int pausePerPlanTime = 3;

/** A plan is made at least this often, for what only time changes: due occurrences, tickets, waiting periods. */
constexpr Duration planInterval = absl::Milliseconds(200);

/** How often steps are looked through that may have waited for long; some 2 ms with 1,100 workers. */
constexpr Duration waitReportInterval = absl::Seconds(2);

constexpr Duration cellReportInterval = absl::Seconds(1);

} // namespace

void Dispatcher::planWork(Timestamp now, std::int64_t wallMillis, const QuestionBudgetSource &questionBudget)
{
    if (this->placing || now < this->nextPlan || (!this->changed && now < this->nextPlan + planInterval)) {
        return;
    }
    this->placingPauses = this->startsUnderWay >= (this->placingPauses ? fewStartsUnderWay : mostStartsUnderWay);
    if (this->placingPauses) {
        return;
    }
    this->changed = false;
    this->effects.hasPlanned = true;
    this->nextPlan = now + planPause;
    planning::Plan plan = this->planner.plan(now, wallMillis, {questionBudget(), mostStartsUnderWay - this->startsUnderWay});
    std::move(plan.questions.begin(), plan.questions.end(), std::back_inserter(this->effects.questions));
    for (const auto &[key, servedStep] : plan.preempted) {
        const auto track = this->tracks.find(key);
        if (track != this->tracks.end()) {
            log::info("dispatch", "run.makes-way", {{"task", key.text()}, {"worker", track->second.worker.text()}, {"for", servedStep.text()}});
            this->stopRun(now, key, track->second, StopReason::Preempted);
        }
    }
    if (plan.placements.empty()) {
        return;
    }
    this->limitPlacements(plan.placements);
    work::PlaceRunsT command;
    for (work::PlacementT &placement : plan.placements) {
        command.placements.push_back(std::make_unique<work::PlacementT>(std::move(placement)));
    }
    work::CommandUnion made;
    made.Set(std::move(command));
    this->placing = true;
    this->propose(ProposalKind::Place, {}, std::move(made));
}

void Dispatcher::notePlanTime(Timestamp now, Duration time)
{
    this->nextPlan = std::max(this->nextPlan, now + pausePerPlanTime * time);
}

void Dispatcher::reportWaits(Timestamp now, std::int64_t wallMillis)
{
    if (now < this->nextWaitReport) {
        return;
    }
    this->nextWaitReport = now + waitReportInterval;
    this->reportQuotas();
    const std::vector<planning::LongWait> waits = this->planner.lookForLongWaits(now, wallMillis);
    this->effects.longWaits += waits.size();
    for (const planning::LongWait &wait : waits) {
        log::info(
            "dispatch",
            "step.waits",
            {{"step", wait.step.text()}, {"tasks", wait.tasks}, {"seconds", absl::ToInt64Seconds(wait.waited)}, {"reason", planning::nameOf(wait.reason)}});
    }
}

void Dispatcher::reportCell(Timestamp now)
{
    if (now < this->nextCellReport) {
        return;
    }
    this->nextCellReport = now + cellReportInterval;
    const CellLoad load = cellLoad(this->state, this->views, this->tracks);
    log::info("dispatch",
              "cell.load",
              {{"workers", load.usableWorkers},
               {"milliProcessors", load.milliProcessors},
               {"reserved", load.reserved},
               {"working", load.working},
               {"runs", this->tracks.size()},
               {"waitingTasks", load.waitingTasks},
               {"waitingDemand", load.waitingDemand},
               {"questions", this->advice.pendingQuestions()}});
}

void Dispatcher::reportQuotas()
{
    std::set<std::string> atQuota = this->planner.takeTeamsAtQuota();
    const auto report = [this](const std::set<std::string> &teams, const std::set<std::string> &others, const char *event) {
        std::size_t found = 0;
        for (const std::string &team : teams) {
            if (others.contains(team)) {
                continue;
            }
            ++found;
            const work::Quota used = this->state.teams().used(team);
            log::info("dispatch", event, {{"team", team}, {"milliProcessors", used.milliProcessors()}, {"memoryMegabytes", used.memoryMegabytes()}});
        }
        return found;
    };
    this->effects.teamsAtQuota += report(atQuota, this->teamsAtQuota, "team.at-quota");
    report(this->teamsAtQuota, atQuota, "team.below-quota");
    this->teamsAtQuota = std::move(atQuota);
}

std::string Dispatcher::waitOf(const std::string &job) const
{
    const planning::LongWait *wait = this->planner.longWaitOf(job);
    return wait == nullptr ? "" : absl::StrCat("step ", wait->step.text(), " waits: ", planning::nameOf(wait->reason));
}

void Dispatcher::limitPlacements(std::vector<work::PlacementT> &placements) const
{
    std::size_t kept = mostStartsUnderWay - std::min(this->startsUnderWay, mostStartsUnderWay);
    if (kept >= placements.size()) {
        return;
    }
    const workload::StepKey last = workload::TaskKey(*placements[kept].task).stepKey();
    if (this->state.findJob(last.job)->stepSpec(last.step).isGang) {
        while (kept < placements.size() && workload::TaskKey(*placements[kept].task).stepKey() == last) {
            ++kept;
        }
    }
    placements.resize(kept);
}

void Dispatcher::takePlacements(Timestamp now, const std::vector<work::PlacementT> &placed)
{
    this->placing = false;
    this->logPlacements(placed);
    for (const work::PlacementT &placement : placed) {
        const workload::TaskKey key(*placement.task);
        RunTrack track;
        track.run = placement.run;
        track.worker = workload::lifeOf(placement);
        track.placedAt = now;
        const workload::Job &job = *this->state.findJob(key.job);
        track.checkpoint = job.task(key).checkpoint;
        if (job.queue().advice) {
            const planning::Ticket *ticket = this->advice.validTicket(absl::InfinitePast(), key.stepKey(), track.worker);
            track.ticket = ticket == nullptr ? "" : ticket->text;
            track.ticketValidUntil = ticket == nullptr ? absl::InfinitePast() : ticket->validUntil;
        }
        this->tracks[key] = std::move(track);
        this->dueRuns.set(key, now);
    }
}

void Dispatcher::logPlacements(const std::vector<work::PlacementT> &placed) const
{
    // One line for each step; what became of each run stands in the line of its end.
    std::map<workload::StepKey, std::string> workersByStep;
    for (const work::PlacementT &placement : placed) {
        absl::StrAppend(&workersByStep[workload::TaskKey(*placement.task).stepKey()], " ", placement.task->index, "@", workload::lifeOf(placement).text());
    }
    for (const auto &[step, workers] : workersByStep) {
        const workload::Job &job = *this->state.findJob(step.job);
        log::info(
            "dispatch",
            "step.placed",
            {{"step", step.text()}, {"queue", job.queue().name}, {"ageMillis", this->state.appliedAtMillis() - job.submittedAtMillis()}, {"runs", workers}});
    }
}

} // namespace paddlepier::execution
