// How well a worker suits a waiting step.

#include "paddlepier/planning/suitability.h"

#include <algorithm>
#include <limits>

namespace paddlepier::planning
{

namespace
{

/** Penalties of a placement, in units of a wholly free worker; they order causes by how much time each costs. */
constexpr double farDataPenalty = 3.0;
constexpr double slownessPenalty = 4.0;
constexpr double suspicionPenalty = 2.0;
constexpr double contentionPenalty = 1.0;

/** Above any difference in how full two workers are: one cut must not reach jobs of two data centres. */
constexpr double reservePenalty = 1.2;
constexpr double awayPenalty = 2.4;

/** For a worker that has no task of the step yet, and for each share of the step that it couldn't take. */
constexpr double otherWorkerPenalty = 0.4;
constexpr double splitPenalty = 0.4;

/** Slowness up to here is within what estimates are wrong by. */
constexpr double usualSlowness = 1.2;

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
    constexpr std::int64_t any = std::numeric_limits<std::int32_t>::max();
    const std::int64_t byProcessors = step.isFilling || demand.milliProcessors() == 0 ? any : processors / demand.milliProcessors();
    const std::int64_t byMemory = demand.memoryMegabytes() == 0 ? any : memory / demand.memoryMegabytes();
    const std::int64_t byAccelerators = demand.accelerators() == 0 ? any : accelerators / demand.accelerators();
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

double penaltyOf(const WorkerCapacity &room, const PendingStep &wanted)
{
    const work::StepSpecT &step = *wanted.step;
    const auto capacity = static_cast<double>(room.record->registration.capacity->milliProcessors());
    const double left = (static_cast<double>(room.freeProcessors) - step.demand->milliProcessors()) / std::max(1.0, capacity);
    double penalty = step.isFilling ? -left : left;
    if (wanted.prefersOneDataCentre() && !wanted.tasks.empty()) {
        const auto waiting = static_cast<double>(wanted.tasks.size());
        const double taken = std::min(1.0, static_cast<double>(room.tasksThatFit(step)) / waiting);
        penalty += splitPenalty * (1.0 - taken);
        penalty += room.isCountedForStep ? 0.0 : otherWorkerPenalty;
        penalty += wanted.preferredDataCentre == noDataCentre || wanted.preferredDataCentre == room.dataCentre ? 0.0
                   : wanted.fallbackDataCentre == room.dataCentre                                              ? reservePenalty
                                                                                                               : awayPenalty;
    }
    if (!step.dataRack.empty() && step.dataRack != room.rack()) {
        penalty += farDataPenalty;
    }
    // What fills disturbs what serves.
    penalty += contentionPenalty * (step.isFilling ? room.record->servingRuns : step.targetLatencyMillis > 0 ? room.record->fillingRuns : 0);
    penalty += slownessPenalty * std::max(0.0, room.view->slowness - usualSlowness);
    penalty += suspicionPenalty * room.view->consecutiveFailures;
    return penalty;
}

} // namespace paddlepier::planning
