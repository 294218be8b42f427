// Whether a worker may get a task of a step at all.

#include "paddlepier/planning/eligibility.h"

namespace paddlepier::planning
{

bool mayRun(const WorkerCapacity &room, const PendingStep &wanted, std::uint32_t service)
{
    return room.isUsable && room.service == service && !room.isSpare
           && (wanted.step->requiredLabel.empty() || room.record->hasLabel(wanted.step->requiredLabel));
}

bool isAcceptable(const WorkerCapacity &room)
{
    if (room.isIsolated) {
        return false;
    }
    if (room.view->consecutiveFailures < suspectFailureThreshold) {
        return true;
    }
    // After its time out a suspicious worker shows itself by one run at a time.
    return room.isOnProbation && room.record->runs.empty();
}

bool isTrustedFor(const WorkerCapacity &room, const workload::Task &task)
{
    // A task that has failed already must not use up its attempts on a worker that may be the cause. After the time out it may go there:
    // where no other worker is permitted and nothing else runs to show this one sound, it would otherwise wait for ever.
    const bool isUnlikelyCause = task.failures == 0 || room.isOnProbation || room.view->consecutiveFailures == 0;
    return isUnlikelyCause && isAcceptable(room);
}

bool isBelowPerWorkerLimit(const WorkerCapacity &room, const PendingStep &wanted)
{
    return wanted.step->mostPerWorker == 0 || room.stepTasks < wanted.step->mostPerWorker;
}

bool isCheapToPreempt(const work::StepSpecT &step)
{
    return step.isCheckpointing && !step.isGang && !step.isLasting && !step.isFilling;
}

} // namespace paddlepier::planning
