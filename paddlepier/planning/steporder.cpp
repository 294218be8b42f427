// The order in which waiting steps are planned.

#include "paddlepier/planning/steporder.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/**
 * What a job needs beyond its remaining work, as a share of it, to end in time: its tasks are placed one after the other as room and
 * tickets come, and the next steps wait for the last of them.
 */
constexpr double leastSlackToBegin = 0.7;

/** A task of the step has been placed. Of one that was preempted as a whole, the first task tells. */
bool wasPlaced(const workload::Step &step)
{
    return step.runningTasks > 0 || step.doneTasks > 0 || step.tasks.front().lastRun > 0;
}

bool isTooLateToBegin(const Prospect &prospect)
{
    return prospect.outlook == Outlook::InTime && prospect.slackMillis < leastSlackToBegin * prospect.remainingMillis;
}

} // namespace

StepOrder::StepOrder(const workload::Workload &workloadState, const Prospects &jobProspects)
    : state(workloadState)
    , prospects(jobProspects)
{
}

std::vector<WantedStep> StepOrder::collect(std::int64_t wallMillis) const
{
    std::vector<WantedStep> wanted;
    for (const std::string &id : this->state.waitingJobs()) {
        const workload::Job &job = *this->state.findJob(id);
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
            if (job.dueMillis(occurrence) > wallMillis) {
                break;
            }
            this->collectOccurrence(wanted, job, occurrence, wallMillis);
        }
    }
    std::stable_sort(wanted.begin(), wanted.end(), [](const WantedStep &left, const WantedStep &right) {
        const auto rank = [](const WantedStep &entry) {
            return std::tuple(rankOf(entry), entry.prospect.outlook, !entry.hasBegun, entry.job->submittedAtMillis());
        };
        return rank(left) < rank(right);
    });
    return wanted;
}

void StepOrder::collectOccurrence(std::vector<WantedStep> &wanted, const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis) const
{
    const std::vector<workload::Step> &steps = job.occurrences()[occurrence].steps;
    const bool hasBegun = std::any_of(steps.begin(), steps.end(), wasPlaced);
    std::optional<Prospect> prospect;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const workload::Step &progress = steps[number];
        const work::StepSpecT &step = job.stepSpec(number);
        if (progress.waitingTasks == 0 || progress.openBefore > 0 || (step.isGang && progress.runningTasks > 0)) {
            continue;
        }
        WantedStep entry;
        entry.job = &job;
        entry.key = {job.id(), occurrence, number};
        entry.step = &step;
        entry.progress = &progress;
        if (!step.isLasting) {
            // What is to last has no end to meet.
            prospect = prospect ? prospect : this->prospects.of(job, occurrence, wallMillis);
            entry.prospect = *prospect;
        }
        entry.hasBegun = hasBegun;
        if (!hasBegun && isTooLateToBegin(entry.prospect)) {
            entry.prospect.outlook = Outlook::Late;
        }
        entry.tasks.reserve(progress.waitingTasks);
        for (std::uint32_t index = 0; index < progress.tasks.size(); ++index) {
            if (!progress.tasks[index].isDone && !progress.tasks[index].hasRun()) {
                entry.tasks.push_back(index);
            }
        }
        wanted.push_back(std::move(entry));
    }
}

std::uint32_t StepOrder::rankOf(const WantedStep &wanted)
{
    const std::uint32_t priority = wanted.job->queue().priority;
    return priority > 1 && wanted.prospect.isPressed() ? priority - 1 : priority;
}

} // namespace paddlepier::planning
