// The workers that a plan may use, and what is left of them while it is made.
//
// Workers, data centres, services and racks get numbers here, so that a plan compares no texts where it looks at every
// worker for every step.
//
// Example:
//     rooms.collect(now, state, views, book);
//     rooms.beginStep(now, wanted, book);
//     rooms.take(room, *wanted.step);
//
// Thread safety: none; owned by the planner. Cost: collect() is O(workers log data centres), beginStep() O(tasks of the step
// under way + workers that the policy service has told about), the rest O(1) or O(data centres).

#ifndef PADDLEPIER_PLANNING_ROOMS_H
#define PADDLEPIER_PLANNING_ROOMS_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicebook.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::planning
{

class Rooms
{
public:
    /** Begins a plan; what was known of the plan before is dropped. */
    void collect(Timestamp now, const workload::Workload &state, const execution::WorkerViews &views, AdviceBook &book);
    /** Counts what stopping runs are about to give back; once a plan. */
    void countComing(const workload::Workload &state, const execution::RunTracks &tracks);

    /** Notes what there is of a step on each worker, and what the policy service has said. */
    void beginStep(Timestamp now, const WantedStep &wanted, const AdviceBook &book);

    std::vector<Room> &all();
    /** Rooms that the policy service has told about for the step, in the order of all(). */
    const std::vector<std::uint32_t> &told() const;
    /** Null if the worker can't be used. */
    Room *find(const workload::Life &worker);
    void take(Room &room, const work::StepSpecT &step, std::int64_t tasks = 1);
    /** Counts a task of the step that is being planned; -1 takes it back. */
    void countTask(Room &room, std::int32_t tasks);
    /** Where most tasks of the step are that is being planned; noHome if it has none on a worker. */
    std::uint32_t dataCentreOfStep() const;
    /** noHome if no worker of that name, or rack, can be used. */
    std::uint32_t dataCentreNamed(std::string_view name) const;
    std::uint32_t dataCentreOfRack(std::string_view rack) const;
    std::string_view dataCentreName(std::uint32_t dataCentre) const;
    /** At least half of its workers can be used: it isn't cut off. */
    bool isSound(std::uint32_t dataCentre) const;
    /** Tasks of the step that fit into each data centre, whatever the policy service says; O(workers). */
    std::vector<std::int64_t> slotsFor(const WantedStep &wanted) const;
    /** Number of a service; one that no worker offers has none of the workers' numbers. */
    std::uint32_t serviceNumber(std::string_view service) const;
    /** In the order of their names. */
    const std::vector<std::string_view> &racks();

private:
    void add(const workload::Life &life, const workload::Worker &worker, const execution::WorkerView &view, Timestamp now);
    /** Counts a worker in its data centre. @return that one's number, before numberDataCentres() */
    std::uint32_t noteWorker(const workload::Worker &worker, bool isUsable);
    void clear();
    void indexAdviceNumbers();
    void numberDataCentres();
    void countTasks(const WantedStep &wanted);
    std::vector<Room> rooms;
    absl::flat_hash_map<workload::Life, std::uint32_t, workload::LifeHash> byWorker;
    std::vector<std::uint32_t> byAdviceNumber;
    std::vector<std::string_view> services;
    std::vector<std::string_view> dataCentres;
    std::vector<std::string_view> rackNames;
    /** Workers of each data centre, and those of them that can be used. */
    std::vector<std::uint32_t> knownWorkers;
    std::vector<std::uint32_t> usableWorkers;
    /** Rooms with superseded runs. */
    std::vector<std::uint32_t> withSuperseded;
    /** Rooms that hold something of the step that is being planned. */
    std::vector<std::uint32_t> ofStep;
    std::vector<std::uint32_t> toldOfStep;
    bool isComingCounted = false;
};

} // namespace paddlepier::planning

#endif
