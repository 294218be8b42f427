// Dispatcher: gangs that can't start completely.
//
// Members of a gang that have started wait for the others and occupy capacity meanwhile; a worker gives up after some seconds.
// If a member's run ended before it started (its worker refused it, or a new leader found that its start was never sent), or its
// worker doesn't answer, the other members wait in vain. They are stopped at once, so that the complete gang can be started again.

#include "paddlepier/execution/dispatcher.h"

namespace paddlepier::execution
{

namespace
{

/** How often gangs are scanned; a scan costs about 0.3 ms with 5,000 runs. */
constexpr Duration gangCheckInterval = absl::Milliseconds(250);

/** Longer than two orders that are lost one after the other, and shorter than the minimum time for which members wait (3 s). */
constexpr Duration gangStartTimeout = absl::Milliseconds(2300);

} // namespace

void Dispatcher::stopIncompleteGangs(Timestamp now)
{
    if (now < this->nextGangCheck) {
        return;
    }
    this->nextGangCheck = now + gangCheckInterval;
    // The runs of a step are adjacent in the map.
    for (auto begin = this->tracks.begin(); begin != this->tracks.end();) {
        const workload::StepKey step = begin->first.stepKey();
        auto end = begin;
        bool isLate = false;
        for (; end != this->tracks.end() && end->first.job == step.job && end->first.stepKey() == step; ++end) {
            isLate = isLate || (end->second.phase == RunPhase::Starting && !end->second.isAdopted && now - end->second.placedAt > gangStartTimeout);
        }
        if (this->isIncompleteGang(step, isLate)) {
            for (auto member = begin; member != end; ++member) {
                this->stopRun(now, member->first, member->second, StopReason::GangIncomplete);
            }
        }
        begin = end;
    }
}

bool Dispatcher::isIncompleteGang(const workload::StepKey &key, bool isLate) const
{
    const workload::Job &job = *this->state.findJob(key.job);
    if (!job.stepSpec(key.step).isGang) {
        return false;
    }
    const workload::Step &progress = job.occurrences().at(key.occurrence).steps.at(key.step);
    return !progress.isDone() && (isLate || progress.waitingTasks > 0);
}

} // namespace paddlepier::execution
