// Dispatcher: when plans are made, and how their placements are tracked.

#include "paddlepier/base/log.h"
#include "paddlepier/execution/cellload.h"
#include "paddlepier/execution/dispatcher.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <iterator>
#include <optional>

namespace paddlepier::execution
{

namespace
{

/**
 * Maximum number of starts in flight before placing is suspended: what 350 workers at 750 starts a second leave open in 0.4 s. Beyond that, tasks are
 * better kept waiting in the ledger, where they can still be ordered by urgency.
 */
constexpr std::size_t maxStartsInFlight = 300;
/** Placing resumes when the starts in flight have fallen below this, so that a plan over all waiting tasks isn't made for a few placements. */
constexpr std::size_t resumeStartsInFlight = 150;

/** Minimum pause between two plans, so that events that arrive at nearly the same time are handled by one plan. */
constexpr Duration planPause = absl::Milliseconds(6);

/** The pause after a plan, as a multiple of its duration: planning uses at most a quarter of the process' time. */
constexpr int pausePerPlanTime = 3;

/** The key whose text() is @p text. */
std::optional<workload::StepKey> parseStepKey(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '.');
    workload::StepKey key;
    if (parts.size() != 3 || !absl::SimpleAtoi(parts[1], &key.occurrence) || !absl::SimpleAtoi(parts[2], &key.step)) {
        return std::nullopt;
    }
    key.job = parts[0];
    return key;
}

/** A plan is made at least this often, for changes that only time causes: due occurrences, expiring tickets, the end of backoffs. */
constexpr Duration planInterval = absl::Milliseconds(200);

/** How often steps are scanned for long waits; a scan takes some 2 ms with 1,100 workers. */
constexpr Duration waitReportInterval = absl::Seconds(2);

constexpr Duration cellReportInterval = absl::Seconds(1);

} // namespace

void Dispatcher::planWork(Timestamp now, std::int64_t wallMillis, const AdviceBudgetSource &adviceBudget)
{
    if (this->isPlacementInFlight || now < this->nextPlan || (!this->hasChanged && now < this->nextPlan + planInterval)) {
        return;
    }
    this->isPlacingPaused = this->startsInFlight >= (this->isPlacingPaused ? resumeStartsInFlight : maxStartsInFlight);
    if (this->isPlacingPaused) {
        return;
    }
    this->hasChanged = false;
    this->effects.hasPlanned = true;
    this->nextPlan = now + planPause;
    planning::Plan plan = this->planner.plan(now, wallMillis, {adviceBudget(), maxStartsInFlight - this->startsInFlight});
    std::move(plan.adviceRequests.begin(), plan.adviceRequests.end(), std::back_inserter(this->effects.adviceRequests));
    for (const auto &[key, servedStep] : plan.preemptions) {
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
    this->isPlacementInFlight = true;
    this->propose(ProposalKind::Place, {}, std::move(made));
}

void Dispatcher::recordPlanTime(Timestamp now, Duration time)
{
    this->nextPlan = std::max(this->nextPlan, now + pausePerPlanTime * time);
}

void Dispatcher::logLongWaits(Timestamp now, std::int64_t wallMillis)
{
    if (now < this->nextWaitReport) {
        return;
    }
    this->nextWaitReport = now + waitReportInterval;
    this->logQuotas();
    const std::vector<planning::LongWait> waits = this->planner.findLongWaits(now, wallMillis);
    this->effects.longWaits += waits.size();
    for (const planning::LongWait &wait : waits) {
        log::info("dispatch",
                  "step.waits",
                  {{"step", wait.step.text()},
                   {"tasks", wait.tasks},
                   {"seconds", absl::ToInt64Seconds(wait.waited)},
                   {"reason", planning::nameOf(wait.reason)},
                   {"barredWorkers", wait.barredWorkers}});
    }
}

void Dispatcher::logCellLoad(Timestamp now)
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
               {"questions", this->adviceCache.pendingQuestions()}});
}

void Dispatcher::logQuotas()
{
    std::set<std::string> atQuota = this->planner.drainTeamsAtQuota();
    const auto report = [this](const std::set<std::string> &teams, const std::set<std::string> &others, const char *event) {
        std::size_t found = 0;
        for (const std::string &team : teams) {
            if (others.contains(team)) {
                continue;
            }
            ++found;
            const work::Quota used = this->state.teams().usageOf(team);
            log::info("dispatch", event, {{"team", team}, {"milliProcessors", used.milliProcessors()}, {"memoryMegabytes", used.memoryMegabytes()}});
        }
        return found;
    };
    this->effects.teamsAtQuota += report(atQuota, this->teamsAtQuota, "team.at-quota");
    report(this->teamsAtQuota, atQuota, "team.below-quota");
    this->teamsAtQuota = std::move(atQuota);
}

std::string Dispatcher::longWaitReason(const std::string &job) const
{
    const planning::LongWait *wait = this->planner.longWaitOf(job);
    return wait == nullptr ? "" : absl::StrCat("step ", wait->step.text(), " waits: ", planning::nameOf(wait->reason));
}

void Dispatcher::limitPlacements(std::vector<work::PlacementT> &placements) const
{
    std::size_t count = maxStartsInFlight - std::min(this->startsInFlight, maxStartsInFlight);
    if (count >= placements.size()) {
        return;
    }
    const workload::StepKey last = workload::TaskKey(*placements[count].task).stepKey();
    if (this->state.findJob(last.job)->stepSpec(last.step).isGang) {
        while (count < placements.size() && workload::TaskKey(*placements[count].task).stepKey() == last) {
            ++count;
        }
    }
    placements.resize(count);
}

void Dispatcher::trackPlacements(Timestamp now, const std::vector<work::PlacementT> &placed)
{
    this->isPlacementInFlight = false;
    this->logPlacements(placed);
    for (const work::PlacementT &placement : placed) {
        const workload::TaskKey key(*placement.task);
        RunTrack track;
        track.run = placement.run;
        track.worker = workload::incarnationOf(placement);
        track.placedAt = now;
        const workload::Job &job = *this->state.findJob(key.job);
        track.checkpoint = job.task(key).checkpoint;
        if (job.queue().advice) {
            const planning::Ticket *ticket = this->adviceCache.validTicket(absl::InfinitePast(), key.stepKey(), track.worker);
            track.ticket = ticket == nullptr ? "" : ticket->text;
            track.ticketValidUntil = ticket == nullptr ? absl::InfinitePast() : ticket->validUntil;
        }
        this->tracks[key] = std::move(track);
        this->runTimers.schedule(key, now);
    }
}

void Dispatcher::logPlacements(const std::vector<work::PlacementT> &placed) const
{
    // One line for each step. The result of each run is in the line that logs its end.
    std::map<workload::StepKey, std::string> workersByStep;
    for (const work::PlacementT &placement : placed) {
        absl::StrAppend(
            &workersByStep[workload::TaskKey(*placement.task).stepKey()], " ", placement.task->index, "@", workload::incarnationOf(placement).text());
    }
    for (const auto &[step, workers] : workersByStep) {
        const workload::Job &job = *this->state.findJob(step.job);
        log::info(
            "dispatch",
            "step.placed",
            {{"step", step.text()}, {"queue", job.queue().name}, {"ageMillis", this->state.appliedAtMillis() - job.submittedAtMillis()}, {"runs", workers}});
    }
}

bool Dispatcher::restoreAdvice(const work::RelayedAdviceT &answer)
{
    const std::optional<workload::StepKey> key = parseStepKey(answer.step);
    const workload::Job *job = key ? this->state.findJob(key->job) : nullptr;
    const bool isKnown = job != nullptr && !job->hasEnded() && key->occurrence < job->occurrences().size() && key->step < job->spec().steps.size();
    if (!isKnown || answer.born.size() != answer.workers.size() || answer.isPermitted.size() != answer.workers.size()) {
        return false;
    }
    bool isNew = false;
    for (std::size_t index = 0; index < answer.workers.size(); ++index) {
        const workload::Incarnation worker{answer.workers[index], answer.born[index]};
        const workload::Worker *latest = this->state.findLatestWorker(worker.id);
        if (latest != nullptr && workload::incarnationOf(latest->registration) == worker) {
            isNew = this->adviceCache.restore(*key, worker, answer.isPermitted[index]) || isNew;
        }
    }
    this->hasChanged = this->hasChanged || isNew;
    return isNew;
}

} // namespace paddlepier::execution
