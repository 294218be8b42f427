// Selects the waiting steps that a plan examines.

#include "paddlepier/planning/stepscan.h"

#include <algorithm>
#include <limits>

namespace paddlepier::planning
{

namespace
{

/** Examining this many steps costs little, so that cells with few waiting steps need no limit. */
constexpr std::size_t minSteps = 100;

/**
 * Steps beyond the limits that one plan examines: all steps of a backlog of 1,500 are examined within 150 plans, about a second. With 50, steps
 * whose turn it was took more of the capacity and advice from earlier ones: .47 instead of .51 of the jobs were in time in a replay.
 */
constexpr std::size_t maxStepsBeyondLimit = 10;

/**
 * Demand examined beyond the free capacity, as a share of the total: at 350 workers 66 steps of 25 tasks. If each has tickets for a tenth of
 * the workers, nearly all workers that become free are in one of their tickets.
 */
constexpr double surplusShare = 0.5;

/** Sorts before all steps of the rank. */
WaitingStep firstOfRank(std::uint32_t rank)
{
    WaitingStep first;
    first.rank = rank;
    first.hasStarted = true;
    first.submittedAtMillis = std::numeric_limits<std::int64_t>::min();
    return first;
}

} // namespace

void StepScan::Amounts::add(const Amounts &other)
{
    this->milliProcessors += other.milliProcessors;
    this->memoryMegabytes += other.memoryMegabytes;
    this->accelerators += other.accelerators;
}

bool StepScan::Amounts::exceeds(const Amounts &limit) const
{
    // A limit of zero means that no worker has the resource; a step that needs it must not end the scan for the others.
    const auto isExceeded = [](double amount, double maximum) { return maximum > 0 && amount > maximum; };
    return isExceeded(this->milliProcessors, limit.milliProcessors) || isExceeded(this->memoryMegabytes, limit.memoryMegabytes)
           || isExceeded(this->accelerators, limit.accelerators);
}

StepScan::Amounts StepScan::demandOf(const WaitingStep &waiting)
{
    const work::StepSpecT &step = waiting.step();
    const double tasks = waiting.job->occurrences()[waiting.key.occurrence].steps[waiting.key.step].waitingTasks;
    return {step.isFilling ? 0 : tasks * step.demand->milliProcessors(), tasks * step.demand->memoryMegabytes(), tasks * step.demand->accelerators()};
}

StepScan::StepScan(const StepOrder &stepOrder, CapacityIndex &planIndex)
    : order(stepOrder)
    , capacityIndex(planIndex)
{
}

std::vector<const WaitingStep *> StepScan::select()
{
    const std::set<WaitingStep> &steps = this->order.steps();
    const bool isLimited = steps.size() > minSteps;
    this->services.clear();
    if (isLimited) {
        this->readCapacity();
    }
    std::vector<const WaitingStep *> selected;
    std::size_t beyondLimit = 0;
    const WaitingStep *last = nullptr;
    for (auto waiting = steps.begin(); waiting != steps.end();) {
        const bool mayGoBeyond = beyondLimit < maxStepsBeyondLimit;
        if (!isLimited || this->isWithinLimit(*waiting) || selected.size() < minSteps) {
            selected.push_back(&*waiting++);
        } else if (mayGoBeyond && (!this->lastBeyondLimit || *this->lastBeyondLimit < *waiting)) {
            last = &*waiting++;
            selected.push_back(last);
            ++beyondLimit;
        } else if (this->hasStepsWithinLimit(waiting->rank)) {
            ++waiting;
        } else {
            const bool isInThisRank = mayGoBeyond && this->lastBeyondLimit->rank == waiting->rank;
            waiting = isInThisRank ? steps.upper_bound(*this->lastBeyondLimit) : steps.lower_bound(firstOfRank(waiting->rank + 1));
        }
    }
    // After the last step, the next plan begins again with the first one beyond the limits.
    this->lastBeyondLimit = beyondLimit == maxStepsBeyondLimit ? std::optional(*last) : std::nullopt;
    return selected;
}

bool StepScan::withholdsAdvice(const workload::Job &job, const ObjectiveForecast &forecast) const
{
    if (forecast.status != ObjectiveStatus::Unattainable) {
        return false;
    }
    const std::vector<std::string> &names = this->order.services();
    const auto number = static_cast<std::size_t>(std::find(names.begin(), names.end(), job.queue().service) - names.begin());
    return number < this->services.size() && this->services[number].demandInTime.exceeds(this->services[number].limit);
}

void StepScan::readCapacity()
{
    this->services.resize(this->order.services().size());
    // By the service's number in the capacity index, where a service without workers has no number of its own.
    std::vector<Service *> byIndexNumber;
    for (std::size_t number = 0; number < this->services.size(); ++number) {
        const std::size_t indexNumber = this->capacityIndex.serviceNumber(this->order.services()[number]);
        byIndexNumber.resize(std::max(byIndexNumber.size(), indexNumber + 1));
        byIndexNumber[indexNumber] = &this->services[number];
    }
    for (const WorkerCapacity &worker : this->capacityIndex.all()) {
        if (!worker.isUsable || worker.isSpare || worker.service >= byIndexNumber.size() || byIndexNumber[worker.service] == nullptr) {
            continue;
        }
        Service &service = *byIndexNumber[worker.service];
        service.hasCapacity = true;
        const work::Demand &capacity = *worker.record->registration.capacity;
        const auto limitOf = [](std::int64_t free, std::uint32_t total) { return static_cast<double>(std::max<std::int64_t>(0, free)) + surplusShare * total; };
        service.limit.add({limitOf(worker.freeProcessors, capacity.milliProcessors()),
                           limitOf(worker.freeMemory, capacity.memoryMegabytes()),
                           limitOf(worker.freeAccelerators, capacity.accelerators())});
    }
}

bool StepScan::hasStepsWithinLimit(std::uint32_t rank) const
{
    const auto &counts = this->order.stepCounts();
    for (auto count = counts.lower_bound({rank, 0}); count != counts.end() && count->first.first == rank; ++count) {
        const Service &service = this->services[count->first.second];
        const auto demand = service.demandByRank.find(rank);
        if (service.hasCapacity && (demand == service.demandByRank.end() || !demand->second.exceeds(service.limit))) {
            return true;
        }
    }
    return false;
}

bool StepScan::isWithinLimit(const WaitingStep &waiting)
{
    Service &service = this->services[waiting.service];
    Amounts &demand = service.demandByRank[waiting.rank];
    if (!service.hasCapacity || demand.exceeds(service.limit)) {
        return false;
    }
    const Amounts added = demandOf(waiting);
    demand.add(added);
    if (waiting.forecast.status == ObjectiveStatus::InTime) {
        service.demandInTime.add(added);
    }
    return true;
}

} // namespace paddlepier::planning
