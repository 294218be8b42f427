// The penalty for placing a task of a step on a worker.

#include "paddlepier/planning/suitability.h"

#include <algorithm>
#include <limits>

namespace paddlepier::planning
{

namespace
{

/** Penalties of a placement, in units of a completely free worker; they order the causes by the time that each costs. */
constexpr double farDataPenalty = 3.0;
constexpr double slownessPenalty = 4.0;
constexpr double suspicionPenalty = 2.0;
constexpr double contentionPenalty = 1.0;

/** These exceed any difference in utilization of two workers, since one network partition must not affect jobs of two data centres. */
constexpr double fallbackPenalty = 1.2;
constexpr double otherDataCentrePenalty = 2.4;

/** For a worker without a task of the step, and for the share of the step's tasks that don't fit on the worker. */
constexpr double otherWorkerPenalty = 0.4;
constexpr double splitPenalty = 0.4;

/** Slowness up to this factor is within the usual error of estimates. */
constexpr double typicalSlowness = 1.2;

} // namespace

const workload::Incarnation &WorkerCapacity::incarnation() const
{
    return *this->incarnationKey;
}

std::string_view WorkerCapacity::rack() const
{
    const std::vector<std::string> &labels = this->record->registration.labels;
    return labels.size() < 2 ? std::string_view() : std::string_view(labels.back());
}

std::size_t tasksThatFitInto(std::int64_t processors, std::int64_t memory, std::int64_t accelerators, const work::StepSpecT &step)
{
    const work::Demand &demand = *step.demand;
    constexpr std::int64_t unlimited = std::numeric_limits<std::int32_t>::max();
    const std::int64_t byProcessors = step.isFilling || demand.milliProcessors() == 0 ? unlimited : processors / demand.milliProcessors();
    const std::int64_t byMemory = demand.memoryMegabytes() == 0 ? unlimited : memory / demand.memoryMegabytes();
    const std::int64_t byAccelerators = demand.accelerators() == 0 ? unlimited : accelerators / demand.accelerators();
    return static_cast<std::size_t>(std::max<std::int64_t>(0, std::min({byProcessors, byMemory, byAccelerators})));
}

std::size_t WorkerCapacity::tasksThatFit(const work::StepSpecT &step) const
{
    return tasksThatFitInto(this->freeProcessors, this->freeMemory, this->freeAccelerators, step);
}

void WorkerCapacity::reserve(const work::StepSpecT &step, std::int64_t tasks)
{
    this->freeProcessors -= step.isFilling ? 0 : tasks * static_cast<std::int64_t>(step.demand->milliProcessors());
    this->freeMemory -= tasks * static_cast<std::int64_t>(step.demand->memoryMegabytes());
    this->freeAccelerators -= tasks * static_cast<std::int64_t>(step.demand->accelerators());
}

bool PendingStep::prefersOneDataCentre() const
{
    return !this->step->isLasting && !this->step->isFilling;
}

double penaltyOf(const WorkerCapacity &worker, const PendingStep &pending)
{
    const work::StepSpecT &step = *pending.step;
    const auto capacity = static_cast<double>(worker.record->registration.capacity->milliProcessors());
    const double freeShare = (static_cast<double>(worker.freeProcessors) - step.demand->milliProcessors()) / std::max(1.0, capacity);
    double penalty = step.isFilling ? -freeShare : freeShare;
    if (pending.prefersOneDataCentre() && !pending.tasks.empty()) {
        const auto waiting = static_cast<double>(pending.tasks.size());
        const double fittingShare = std::min(1.0, static_cast<double>(worker.tasksThatFit(step)) / waiting);
        penalty += splitPenalty * (1.0 - fittingShare);
        penalty += worker.isCountedForStep ? 0.0 : otherWorkerPenalty;
        penalty += pending.preferredDataCentre == noDataCentre || pending.preferredDataCentre == worker.dataCentre ? 0.0
                   : pending.fallbackDataCentre == worker.dataCentre                                               ? fallbackPenalty
                                                                                                                   : otherDataCentrePenalty;
    }
    if (!step.dataRack.empty() && step.dataRack != worker.rack()) {
        penalty += farDataPenalty;
    }
    // Filling runs interfere with serving runs.
    penalty += contentionPenalty * (step.isFilling ? worker.record->servingRuns : step.targetLatencyMillis > 0 ? worker.record->fillingRuns : 0);
    penalty += slownessPenalty * std::max(0.0, worker.view->slowness - typicalSlowness);
    penalty += suspicionPenalty * worker.view->consecutiveFailures;
    return penalty;
}

} // namespace paddlepier::planning
