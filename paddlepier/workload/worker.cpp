// One incarnation of a worker in the ledger.

#include "paddlepier/workload/worker.h"

#include <algorithm>

namespace paddlepier::workload
{

namespace
{

bool isSameDemand(const work::Demand &left, const work::Demand &right)
{
    return left.milliProcessors() == right.milliProcessors() && left.memoryMegabytes() == right.memoryMegabytes()
           && left.accelerators() == right.accelerators();
}

} // namespace

bool isSameRegistration(const work::RegisterWorkerT &left, const work::RegisterWorkerT &right)
{
    return left.address == right.address && left.service == right.service && left.machine == right.machine && left.labels == right.labels
           && left.isDraining == right.isDraining && isSameDemand(*left.capacity, *right.capacity);
}

work::Demand demandOf(const work::StepSpecT &step)
{
    return {step.isFilling ? 0 : step.demand->milliProcessors(), step.demand->memoryMegabytes(), step.demand->accelerators()};
}

bool Worker::hasCapacityFor(const work::StepSpecT &step) const
{
    const work::Demand &demand = *step.demand;
    const work::Demand &capacity = *this->registration.capacity;
    const std::uint64_t processors = step.isFilling ? 0 : demand.milliProcessors();
    return this->reservedMilliProcessors + processors <= capacity.milliProcessors()
           && this->reservedMemoryMegabytes + demand.memoryMegabytes() <= capacity.memoryMegabytes()
           && this->reservedAccelerators + demand.accelerators() <= capacity.accelerators();
}

bool Worker::isOvercommitted() const
{
    const work::Demand &capacity = *this->registration.capacity;
    return this->reservedMilliProcessors > capacity.milliProcessors() || this->reservedMemoryMegabytes > capacity.memoryMegabytes()
           || this->reservedAccelerators > capacity.accelerators();
}

std::int64_t Worker::freeMilliProcessors() const
{
    return static_cast<std::int64_t>(this->registration.capacity->milliProcessors()) - static_cast<std::int64_t>(this->reservedMilliProcessors);
}

bool Worker::hasLabel(std::string_view label) const
{
    const std::vector<std::string> &labels = this->registration.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

void Worker::recordSlowness(double ratio, double runs)
{
    if (runs > 0) {
        this->slowness = ratio;
        this->slownessWeight = runs;
    }
}

void Worker::addRun(const TaskKey &key, const work::StepSpecT &step)
{
    this->runs.insert(key);
    this->adjustReservation(demandOf(step), 1);
    this->adjustRunCounts(step, 1);
}

bool Worker::removeRun(const TaskKey &key, const work::StepSpecT &step)
{
    if (this->runs.erase(key) == 0) {
        return false;
    }
    this->adjustReservation(demandOf(step), -1);
    this->adjustRunCounts(step, -1);
    return true;
}

void Worker::addSuperseded(const TaskKey &key, const SupersededRun &run)
{
    this->superseded[key] = run;
    this->adjustReservation(run.demand, 1);
}

void Worker::removeSuperseded(const TaskKey &key)
{
    const auto found = this->superseded.find(key);
    this->adjustReservation(found->second.demand, -1);
    this->superseded.erase(found);
}

void Worker::adjustReservation(const work::Demand &demand, int sign)
{
    const auto change = static_cast<std::uint64_t>(static_cast<std::int64_t>(sign));
    this->reservedMilliProcessors += change * demand.milliProcessors();
    this->reservedMemoryMegabytes += change * demand.memoryMegabytes();
    this->reservedAccelerators += change * demand.accelerators();
}

void Worker::adjustRunCounts(const work::StepSpecT &step, int sign)
{
    const auto change = static_cast<std::uint32_t>(sign);
    this->servingRuns += step.targetLatencyMillis > 0 ? change : 0;
    this->fillingRuns += step.isFilling ? change : 0;
    this->costlyRuns += step.isLasting || step.isGang ? change : 0;
}

} // namespace paddlepier::workload
