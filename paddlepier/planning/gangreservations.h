// Reserves capacity for gangs that need several workers, and decides when and where each of them starts.
//
// A gang starts only when all its members have capacity at the same time, on workers that the policy service permits, each with a valid
// ticket. In a busy cell that moment never comes by itself: smaller work takes each slot as soon as it is free, the gang's tickets expire, and it
// requests advice again and again. Load pattern: a third of the cell's work is gangs of about twenty members, a third of the workers is permitted for
// each, and up to several cells of less urgent work wait.
//
// For each gang, in the order of the plan, its start is computed from the predicted ends of the runs on its permitted workers, as the minimum over
// groups of similarly fast workers of waiting time plus duration on the slowest one: all members run as long as the slowest. The chosen capacity is
// reserved against later steps, and the tickets are renewed by one request that names only the chosen workers, sent so that the answer arrives by the
// start. The capacity that idles for all reservations is bounded; gangs beyond the bound wait without a reservation and without requests.
//
// Reservations last for one plan and are computed again in the next; the workers chosen before are preferred, so that the choice is stable. A worker
// that is lost, drains or is suspected is thereby replaced at once, and a new leader needs no state but the ledger and the advice.
//
// Example:
//     gangReservations.begin(now);
//     if (gangReservations.appliesTo(queue, step)) { const GangDecision decision = gangReservations.decide(now, pending); }
//
// Thread safety: none; owned by the planner. Cost: decide() is O(permitted workers x runs on each x log of it), begin() O(workers).

#ifndef PADDLEPIER_PLANNING_GANGRESERVATIONS_H
#define PADDLEPIER_PLANNING_GANGRESERVATIONS_H

#include "paddlepier/base/clock.h"
#include "paddlepier/planning/advicecache.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/capacityreserver.h"
#include "paddlepier/planning/suitability.h"
#include "paddlepier/workload/workload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace paddlepier::planning
{

/** Capacity for some members of a gang on one worker. */
struct GangShare {
    WorkerCapacity *worker = nullptr;
    std::uint32_t tasks = 0;
};

enum class GangAction {
    /** Nothing can be done now; capacity may be reserved. */
    Wait,
    /** All members can start now on the given workers, whose tickets are valid. */
    Start,
    /** The tickets of the given workers must be renewed for the start. */
    RenewTickets,
    /** Too few workers are known to be permitted: more advice is needed. */
    RequestAdvice
};

struct GangDecision {
    GangAction action = GangAction::Wait;
    /** Time until all members have capacity, by the predicted ends of runs; infinite if there is no such time. */
    Duration wait = absl::InfiniteDuration();
    /** Workers that get the members, or whose tickets are to be renewed. */
    std::vector<GangShare> shares;
};

class GangReservations
{
public:
    GangReservations(const workload::Workload &workloadState,
                     const ObjectiveForecaster &jobForecaster,
                     CapacityIndex &planIndex,
                     CapacityReserver &capacityReserver,
                     AdviceCache &cache);

    /** Begins a plan: all reservations of the previous one are discarded. */
    void begin();
    /**
     * True for a gang of several members in a queue that isn't urgent (priority 0), if the configuration has a less urgent queue for the same service,
     * whose work would otherwise take the capacity.
     */
    bool appliesTo(const work::QueueSpecT &queue, const work::StepSpecT &step);
    /** True if no more capacity may idle for reservations in this plan. */
    bool isIdleLimitReached();
    /** Decides about the waiting tasks of a gang and reserves the capacity that it waits for. The step must have been begun in the capacity index. */
    GangDecision decide(Timestamp now, const PendingStep &pending);

    /** Removes the state of jobs for which @p hasEnded returns true; O(gangs). */
    template<typename Predicate>
    void removeEndedJobs(Predicate hasEnded)
    {
        std::erase_if(this->chosenWorkers, [&hasEnded](const auto &entry) { return hasEnded(entry.first.job); });
    }

private:
    /** Capacity for one more member, on one worker. */
    struct Slot {
        WorkerCapacity *worker;
        /** Time until the capacity is free. */
        Duration wait;
        double slowness;
        /** Infinite if the queue needs no advice. */
        Timestamp ticketValidUntil;
        /** Sort key: the wait, less a bonus that keeps the choice stable. */
        Duration rank;
    };
    struct Choice {
        /** Until all members have capacity. */
        Duration wait = absl::InfiniteDuration();
        /** Until the gang has ended. */
        Duration end = absl::InfiniteDuration();
        std::vector<Slot> slots;
        bool needsTickets = false;
    };

    /** Capacity for up to all members on each permitted worker; sorted by rank. */
    std::vector<Slot> permittedSlots(Timestamp now, const PendingStep &pending);
    void addSlots(std::vector<Slot> &slots, WorkerCapacity &worker, Timestamp ticketValidUntil, const PendingStep &pending);
    bool isEligible(const WorkerCapacity &worker, const PendingStep &pending) const;
    /** The choice that ends first; infinite if there are too few slots. */
    Choice choose(Timestamp now, const PendingStep &pending, const std::vector<Slot> &slots) const;
    Choice chooseAmong(Timestamp now, const PendingStep &pending, const std::vector<Slot> &slots, double maxSlowness, bool withTicketsOnly) const;
    void reserve(const PendingStep &pending, const std::vector<GangShare> &shares);
    static std::vector<GangShare> sharesOf(const std::vector<Slot> &slots);
    void updateIdleLimit();

    const workload::Workload &state;
    const ObjectiveForecaster &forecaster;
    CapacityIndex &capacityIndex;
    CapacityReserver &reserver;
    AdviceCache &adviceCache;
    /** Millicores that idle for reservations of this plan, and their bound. */
    std::int64_t idleProcessors = 0;
    std::int64_t idleLimit = 0;
    bool isIdleLimitKnown = false;
    /** Members of the gang that is being decided about that fit into its permitted workers when these are empty. */
    std::size_t fitsWhenEmpty = 0;
    /** Whether reservations apply to a queue, by its name; valid for `configurationVersion`. */
    std::map<std::string, bool> appliesByQueue;
    std::uint64_t configurationVersion = 0;
    /** Workers chosen by the last decision about each gang that waits. */
    std::map<workload::StepKey, std::set<workload::Incarnation>> chosenWorkers;
};

} // namespace paddlepier::planning

#endif
