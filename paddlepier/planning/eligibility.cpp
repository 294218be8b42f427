// Predicates that decide whether a worker may run a task of a step.

#include "paddlepier/planning/eligibility.h"

#include <array>

namespace paddlepier::planning
{

const char *nameOf(StartBar bar)
{
    static constexpr std::array<const char *, 9> names{
        "none", "evacuated", "draining", "other-service", "spare-service", "no-label", "starts-blocked", "unreachable", "answer-overdue"};
    return names.at(static_cast<std::size_t>(bar));
}

bool isMomentary(StartBar bar)
{
    return bar == StartBar::Unreachable || bar == StartBar::AnswerOverdue;
}

StartBar barOfWorker(Timestamp now, const workload::Workload &state, const workload::Worker &worker, const execution::WorkerView *view, bool excludesOverdue)
{
    if (state.isEvacuated(worker)) {
        return StartBar::Evacuated;
    }
    if (worker.registration.isDraining) {
        return StartBar::Draining;
    }
    if (view == nullptr) {
        return StartBar::Unreachable;
    }
    if (view->startsBlockedUntil > now) {
        return StartBar::StartsBlocked;
    }
    if (!view->isReachable()) {
        return StartBar::Unreachable;
    }
    return excludesOverdue && view->isOverdue(now) ? StartBar::AnswerOverdue : StartBar::None;
}

StartBar barForStep(const workload::Worker &worker, bool hasService, bool isSpare, const work::StepSpecT &step)
{
    if (!hasService) {
        return StartBar::OtherService;
    }
    if (isSpare) {
        return StartBar::SpareService;
    }
    return step.requiredLabel.empty() || worker.hasLabel(step.requiredLabel) ? StartBar::None : StartBar::NoLabel;
}

bool mayRun(const WorkerCapacity &worker, const PendingStep &pending, std::uint32_t service)
{
    return worker.isUsable && barForStep(*worker.record, worker.service == service, worker.isSpare, *pending.step) == StartBar::None;
}

bool isAcceptable(const WorkerCapacity &worker)
{
    if (worker.isIsolated) {
        return false;
    }
    if (!isSuspect(worker)) {
        return true;
    }
    // After its suspension a suspect worker is tested with one run at a time. Runs from before its last failure may never end and don't count.
    return worker.isOnProbation && worker.testRuns == 0;
}

bool isSuspect(const WorkerCapacity &worker)
{
    return worker.view->consecutiveFailures >= suspectFailureThreshold;
}

bool hasRecentFailures(const WorkerCapacity &worker)
{
    return worker.view->consecutiveFailures > 0 && !worker.isOnProbation;
}

bool isTrustedFor(const WorkerCapacity &worker, const workload::Task &task)
{
    // A task that has failed must not use up its attempts on a worker that may be the cause. It may be placed there once the worker is on
    // probation: if no other worker is permitted and no other run proves this one healthy, the task would otherwise wait forever.
    return isAcceptable(worker) && (task.failures == 0 || !hasRecentFailures(worker));
}

bool isBelowPerWorkerLimit(const WorkerCapacity &worker, const PendingStep &pending)
{
    return pending.step->mostPerWorker == 0 || worker.stepTasks < pending.step->mostPerWorker;
}

bool isCheapToPreempt(const work::StepSpecT &step)
{
    return step.isCheckpointing && !step.isGang && !step.isLasting && !step.isFilling;
}

} // namespace paddlepier::planning
