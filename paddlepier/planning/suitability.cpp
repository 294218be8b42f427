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
constexpr double awayPenalty = 1.2;

/** For a worker that has no task of the step yet, and for each share of the step that it couldn't take. */
constexpr double otherWorkerPenalty = 0.4;
constexpr double splitPenalty = 0.4;

/** Slowness up to here is within what estimates are wrong by. */
constexpr double usualSlowness = 1.2;

} // namespace

const std::string &Room::id() const
{
    return this->worker->registration.id;
}

const std::string &Room::dataCentre() const
{
    return this->worker->registration.zone;
}

bool Room::fits(const work::StepSpecT &step) const
{
    const work::Demand &demand = *step.demand;
    const bool hasProcessors = step.isFilling || this->processors >= demand.milliProcessors();
    return hasProcessors && this->memory >= demand.memoryMegabytes() && this->accelerators >= demand.accelerators();
}

std::size_t Room::tasksThatFit(const work::StepSpecT &step) const
{
    const work::Demand &demand = *step.demand;
    constexpr std::int64_t any = std::numeric_limits<std::int32_t>::max();
    const std::int64_t byProcessors = step.isFilling || demand.milliProcessors() == 0 ? any : this->processors / demand.milliProcessors();
    const std::int64_t byMemory = demand.memoryMegabytes() == 0 ? any : this->memory / demand.memoryMegabytes();
    const std::int64_t byAccelerators = demand.accelerators() == 0 ? any : this->accelerators / demand.accelerators();
    return static_cast<std::size_t>(std::max<std::int64_t>(0, std::min({byProcessors, byMemory, byAccelerators})));
}

void Room::take(const work::StepSpecT &step, std::int64_t tasks)
{
    this->processors -= step.isFilling ? 0 : tasks * static_cast<std::int64_t>(step.demand->milliProcessors());
    this->memory -= tasks * static_cast<std::int64_t>(step.demand->memoryMegabytes());
    this->accelerators -= tasks * static_cast<std::int64_t>(step.demand->accelerators());
}

bool WantedStep::isServedAsAWhole() const
{
    return !this->step->isLasting && !this->step->isFilling;
}

std::string homeOf(const WantedStep &wanted, const std::vector<Room> &rooms)
{
    if (!wanted.isServedAsAWhole()) {
        return "";
    }
    std::map<std::string, std::int64_t> tasks;
    std::map<std::string, std::int64_t> free;
    for (const Room &room : rooms) {
        free[room.dataCentre()] += std::max<std::int64_t>(0, room.processors);
        const auto placed = wanted.onWorker.find(room.id());
        if (placed != wanted.onWorker.end()) {
            tasks[room.dataCentre()] += placed->second;
        }
    }
    const std::map<std::string, std::int64_t> &weights = tasks.empty() ? free : tasks;
    const auto most = std::max_element(weights.begin(), weights.end(), [](const auto &left, const auto &right) { return left.second < right.second; });
    return most == weights.end() ? "" : most->first;
}

double penaltyOf(const Room &room, const WantedStep &wanted)
{
    const work::StepSpecT &step = *wanted.step;
    const auto capacity = static_cast<double>(room.worker->registration.capacity->milliProcessors());
    const double left = (static_cast<double>(room.processors) - step.demand->milliProcessors()) / std::max(1.0, capacity);
    double penalty = step.isFilling ? -left : left;
    if (wanted.isServedAsAWhole() && !wanted.tasks.empty()) {
        const auto waiting = static_cast<double>(wanted.tasks.size());
        const double taken = std::min(1.0, static_cast<double>(room.tasksThatFit(step)) / waiting);
        penalty += splitPenalty * (1.0 - taken);
        penalty += wanted.onWorker.contains(room.id()) ? 0.0 : otherWorkerPenalty;
        penalty += wanted.home.empty() || wanted.home == room.dataCentre() ? 0.0 : awayPenalty;
    }
    if (!step.dataRack.empty() && step.dataRack != room.rack) {
        penalty += farDataPenalty;
    }
    // What fills disturbs what serves.
    penalty += contentionPenalty * (step.isFilling ? room.serving : step.targetLatencyMillis > 0 ? room.filling : 0);
    penalty += slownessPenalty * std::max(0.0, room.view->slowness - usualSlowness);
    penalty += suspicionPenalty * room.view->failedInRow;
    return penalty;
}

} // namespace paddlepier::planning
