// Computes the load of a cell.

#include "paddlepier/execution/cellload.h"

namespace paddlepier::execution
{

namespace
{

bool isUsable(const WorkerViews &views, const workload::Incarnation &incarnation, const workload::Worker &worker)
{
    const auto view = views.find(incarnation);
    return view != views.end() && view->second.isReachable() && !worker.registration.isDraining;
}

} // namespace

CellLoad cellLoad(const workload::Workload &state, const WorkerViews &views, const RunTracks &tracks)
{
    CellLoad load;
    for (const auto &[incarnation, worker] : state.workers()) {
        if (!isUsable(views, incarnation, worker)) {
            continue;
        }
        ++load.usableWorkers;
        load.milliProcessors += worker.registration.capacity->milliProcessors();
        load.reserved += worker.reservedMilliProcessors;
    }
    for (const auto &[key, track] : tracks) {
        if (track.phase == RunPhase::Running) {
            load.working += workload::demandOf(state.findJob(key.job)->stepSpec(key.step)).milliProcessors();
        }
    }
    for (const std::string &id : state.waitingJobs()) {
        const workload::Job &job = *state.findJob(id);
        for (const workload::Occurrence &occurrence : job.occurrences()) {
            for (std::uint32_t number = 0; number < occurrence.steps.size(); ++number) {
                const workload::Step &step = occurrence.steps[number];
                const std::uint64_t tasks = step.openPredecessors == 0 ? step.waitingTasks : 0;
                load.waitingTasks += tasks;
                load.waitingDemand += tasks * workload::demandOf(job.stepSpec(number)).milliProcessors();
            }
        }
    }
    return load;
}

std::map<std::string, ServiceCapacity> usableCapacities(const workload::Workload &state, const WorkerViews &views)
{
    std::map<std::string, ServiceCapacity> capacities;
    for (const auto &[incarnation, worker] : state.workers()) {
        if (isUsable(views, incarnation, worker) && !state.isEvacuated(worker)) {
            ServiceCapacity &capacity = capacities[worker.registration.service];
            capacity.usable += worker.registration.capacity->milliProcessors();
            capacity.reserved += worker.reservedMilliProcessors;
        }
    }
    return capacities;
}

} // namespace paddlepier::execution
