// The workers that a plan may use, and what is left of them while it is made.
//
// Workers, data centres, services and racks get numbers here, so that a plan compares no texts where it looks at every
// worker for every step. Rooms are kept from plan to plan: collect() reads again those whose worker or view has changed, those
// that the plan before has taken from, and those that the passing of time has changed. The others are read in turn, a few
// each time, so that a change that nobody told of is noticed as well.
//
// Example:
//     rooms.noteView(worker);
//     rooms.collect(now);
//     rooms.beginStep(now, wanted);
//     rooms.take(room, *wanted.step);
//
// Thread safety: none; owned by the planner. Cost: collect() is O(changed workers x log workers), and O(workers log workers) after
// a change of the configuration or a new data centre; beginStep() O(tasks of the step under way + workers that the policy service
// has told about); hasRoomFor() O(1) as a rule, O(workers) for a size that wasn't asked for in this plan; the rest O(1) or O(data
// centres).

#ifndef PADDLEPIER_PLANNING_CAPACITYINDEX_H
#define PADDLEPIER_PLANNING_CAPACITYINDEX_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/timerqueue.h"
#include "paddlepier/execution/runtrack.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::planning
{

class Rooms
{
public:
    Rooms(const workload::Workload &workloadState, const execution::WorkerViews &workerViews, AdviceBook &adviceBook);

    /** The view of a worker has changed, or there is a new one. */
    void noteView(const workload::Life &worker);
    /** Begins a plan; what the plan before has taken or noted is dropped. */
    void collect(Timestamp now);
    /** Counts what stopping runs are about to give back; once a plan. */
    void countComing(const execution::RunTracks &tracks);

    /** Notes what there is of a step on each worker, and what the policy service has said. */
    void beginStep(Timestamp now, const WantedStep &wanted);

    /** Those that can't be used are among them. */
    std::vector<Room> &all();
    /** Workers that can be used. */
    std::size_t usableCount() const;
    /** How often a room was read from the ledger and its view. */
    std::uint64_t reads() const;
    /** The plan has changed something of the room by itself: the next one reads it again. */
    void touch(Room &room);
    /** Some worker has room for a task of the step, bounds and labels aside. What fits nowhere now won't later in the plan. */
    bool hasRoomFor(std::string_view service, const work::StepSpecT &step);
    /**
     * Gives usable rooms to @p visit, those in the step's home first and then those in its reserve, until it returns false.
     * Rooms of one data centre come in the order of all().
     */
    template<typename Visit>
    void visitFromHome(const WantedStep &wanted, Visit visit)
    {
        const auto visitCentre = [&](std::uint32_t dataCentre) {
            for (const std::uint32_t number : this->byDataCentre[dataCentre]) {
                if (this->rooms[number].isUsable && !visit(this->rooms[number])) {
                    return false;
                }
            }
            return true;
        };
        for (const std::uint32_t first : {wanted.home, wanted.reserve}) {
            if (first != noHome && !visitCentre(first)) {
                return;
            }
        }
        for (std::uint32_t dataCentre = 0; dataCentre < this->byDataCentre.size(); ++dataCentre) {
            if (dataCentre != wanted.home && dataCentre != wanted.reserve && !visitCentre(dataCentre)) {
                return;
            }
        }
    }
    /** Rooms that the policy service has told about for the step, in the order of all(). */
    const std::vector<std::uint32_t> &told() const;
    /** Null if the worker can't be used. */
    Room *find(const workload::Life &worker);
    /** By the worker's number in the advice book. */
    Room *findAdvised(std::uint32_t adviceNumber);
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

private:
    /** A size of task for which no worker of the service has room. */
    struct Shortage {
        std::uint32_t service = 0;
        bool isFilling = false;
        work::Demand demand;

        /** A task of the other size fits nowhere either. */
        bool covers(std::uint32_t serviceNumber, bool fills, const work::Demand &other) const;
    };

    void rebuild(Timestamp now);
    /** Reads what has changed since the last plan. @return false if all has to be read anew */
    bool readChanges(Timestamp now);
    void readInTurn(Timestamp now);
    /** Reads one worker again, which may have come or gone. @return false if it needs a number for its data centre */
    bool read(Timestamp now, const workload::Life &life);
    /** Reads a room whose worker is known to be there. */
    void read(Timestamp now, std::uint32_t number);
    void add(const workload::Life &life, const workload::Worker &worker, std::uint32_t dataCentre);
    void remove(const workload::Life &life);
    bool isUsable(Timestamp now, const Room &room) const;
    void setUsable(Room &room, bool isUsable);
    /** Late answers make workers unusable, unless most of them owe one. */
    void judgeOverdue(Timestamp now);
    std::uint32_t numberOfService(const std::string &name);
    /** Drops what was noted for the step that was planned last. */
    void forgetStep();
    void countTasks(const WantedStep &wanted);

    const workload::Workload &state;
    const execution::WorkerViews &views;
    AdviceBook &advice;
    // Invariant: holds each worker of the ledger once; a room whose worker has gone is empty until another takes its number.
    std::vector<Room> rooms;
    std::vector<std::uint32_t> emptyRooms;
    absl::flat_hash_map<workload::Life, std::uint32_t, workload::LifeHash> byWorker;
    /** Numbers of rooms, in rising order. */
    std::vector<std::vector<std::uint32_t>> byDataCentre;
    std::vector<std::uint32_t> byAdviceNumber;
    std::vector<std::string> services;
    std::vector<bool> spareServices;
    /** In the order of their names, so that the first of equals doesn't depend on which worker came first. */
    std::vector<std::string> dataCentres;
    /** Workers of each data centre that can be used. */
    std::vector<std::uint32_t> usableWorkers;
    std::size_t overdueWorkers = 0;
    bool mayAvoidOverdue = true;
    workload::ChangeLog<workload::Life>::Position readUntil = 0;
    /** Each once, however long no plan is made. */
    absl::flat_hash_set<workload::Life, workload::LifeHash> changedViews;
    /** Rooms by the time at which time alone changes them. */
    execution::DueQueue<std::uint32_t> dueRooms;
    /** Rooms that a plan has changed. */
    std::vector<std::uint32_t> touched;
    std::size_t nextInTurn = 0;
    std::uint64_t readCount = 0;
    /** Rooms with superseded runs. */
    std::set<std::uint32_t> withSuperseded;
    std::vector<Shortage> shortages;
    /** Where a task was found to fit last: the next one often does as well. */
    std::uint32_t lastFit = 0;
    /** Rooms that hold something of the step that is being planned. */
    std::vector<std::uint32_t> ofStep;
    std::vector<std::uint32_t> toldOfStep;
    bool isComingCounted = false;
};

} // namespace paddlepier::planning

#endif
