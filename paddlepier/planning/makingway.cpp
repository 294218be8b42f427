// Runs that may make way for urgent work.

#include "paddlepier/planning/makingway.h"

namespace paddlepier::planning
{

void YieldingRuns::addOccurrence(const workload::Job &job, std::uint32_t occurrence, const execution::RunTracks &tracks, Rooms &rooms)
{
    const std::vector<workload::Step> &steps = job.occurrences()[occurrence].steps;
    for (std::uint32_t number = 0; number < steps.size(); ++number) {
        const work::StepSpecT &step = job.stepSpec(number);
        if (steps[number].runningTasks == 0 || !step.isCheckpointing || step.isGang || step.isLasting || step.isFilling) {
            continue;
        }
        for (std::uint32_t index = 0; index < steps[number].tasks.size(); ++index) {
            const workload::Task &task = steps[number].tasks[index];
            Room *room = task.hasRun() ? rooms.find(task.worker) : nullptr;
            if (room == nullptr) {
                continue;
            }
            workload::TaskKey key(job.id(), occurrence, number, index);
            const auto track = tracks.find(key);
            if (track != tracks.end() && track->second.phase == execution::RunPhase::Running) {
                this->runs.push_back(
                    {std::move(key), room, job.queue().priority, step.demand->milliProcessors(), Outlook::InTime, job.submittedAtMillis(), false});
            }
        }
    }
}

void YieldingRuns::sort()
{
    std::sort(this->runs.begin(), this->runs.end(), [](const YieldingRun &left, const YieldingRun &right) {
        const auto rank = [](const YieldingRun &run) { return std::tie(run.outlook, run.submittedAtMillis); };
        if (rank(left) != rank(right)) {
            return rank(left) > rank(right);
        }
        return std::tie(left.room, left.key) < std::tie(right.room, right.key);
    });
}

std::vector<YieldingRun *> YieldingRuns::inOrder(std::uint32_t home)
{
    std::vector<YieldingRun *> ordered;
    ordered.reserve(this->runs.size());
    for (YieldingRun &run : this->runs) {
        if (!run.isChosen) {
            ordered.push_back(&run);
        }
    }
    std::stable_partition(ordered.begin(), ordered.end(), [home](const YieldingRun *run) { return home == noHome || run->room->dataCentre == home; });
    return ordered;
}

} // namespace paddlepier::planning
