// Chooses the runs that are preempted for other work.
//
// Urgent work (priority 0) may preempt any run of a lower priority that saves checkpoints. Candidates are ordered by nearness to the step's
// other tasks, then by the status of their job (unattainable first), then youngest first; under scarcity this completes some jobs in time
// instead of making all late. Urgent work that is already late preempts nothing. Other queues preempt less urgent runs only for
// wide tasks, which would otherwise never get capacity, and only where the capacity is reserved for them (capacityreserver.h).
//
// Example:
//     preemptor.begin(now, wallMillis);
//     preemptor.preemptFor(pending, futureCapacities);
//     plan.preemptions = preemptor.drainPreemptions();
//
// Thread safety: none; owned by the planner. Cost: O(tasks of jobs with candidates), once a plan.

#ifndef PADDLEPIER_PLANNING_PREEMPTION_H
#define PADDLEPIER_PLANNING_PREEMPTION_H

#include "paddlepier/execution/runtrack.h"
#include "paddlepier/planning/capacityindex.h"
#include "paddlepier/planning/capacityreserver.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/workload/workload.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

namespace paddlepier::planning
{

struct PreemptionCandidate {
    workload::TaskKey key;
    WorkerCapacity *worker = nullptr;
    std::uint32_t priority = 0;
    std::uint32_t milliProcessors = 0;
    ObjectiveStatus objectiveStatus = ObjectiveStatus::InTime;
    std::int64_t submittedAtMillis = 0;
    bool isChosen = false;
};

class PreemptionCandidates
{
public:
    /** @param statusOfOccurrence  returns the objective status of an occurrence of a job */
    template<typename StatusOf>
    void collect(const workload::Workload &state, const execution::RunTracks &tracks, CapacityIndex &capacityIndex, StatusOf statusOfOccurrence)
    {
        this->runs.clear();
        for (const std::string &id : state.activeJobs()) {
            const workload::Job &job = *state.findJob(id);
            if (job.queue().priority == 0 || job.activeRunCount() == 0) {
                continue;
            }
            for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
                const std::size_t before = this->runs.size();
                this->addOccurrence(job, occurrence, tracks, capacityIndex);
                if (this->runs.size() > before) {
                    const ObjectiveStatus status = statusOfOccurrence(job, occurrence);
                    std::for_each(this->runs.begin() + static_cast<std::ptrdiff_t>(before), this->runs.end(), [status](PreemptionCandidate &run) {
                        run.objectiveStatus = status;
                    });
                }
            }
        }
        this->sort();
    }

    /** Passes all candidates that aren't chosen yet to @p visit until it returns false, those in the data centre @p preferred first. */
    template<typename Visit>
    void visitInOrder(std::uint32_t preferred, Visit visit)
    {
        for (const bool inPreferred : {true, false}) {
            for (PreemptionCandidate &run : this->runs) {
                const bool isInPreferred = preferred == noDataCentre || run.worker->dataCentre == preferred;
                if (!run.isChosen && isInPreferred == inPreferred && !visit(run)) {
                    return;
                }
            }
        }
    }

private:
    void addOccurrence(const workload::Job &job, std::uint32_t occurrence, const execution::RunTracks &tracks, CapacityIndex &capacityIndex);
    void sort();

    std::vector<PreemptionCandidate> runs;
};

/** A run to stop, and the waiting step that gets its capacity. */
struct Preemption {
    workload::TaskKey run;
    workload::StepKey servedStep;
};

/** Decides for each plan which runs are preempted. */
class Preemptor
{
public:
    Preemptor(const workload::Workload &workloadState,
              const execution::RunTracks &runTracks,
              const ObjectiveForecaster &jobForecaster,
              CapacityIndex &planIndex,
              const AdviceCache &cache);

    /** Begins a plan. */
    void begin(Timestamp at, std::int64_t wall);
    /** True if this plan may preempt runs on any worker for a step of that priority and forecast. */
    bool mayPreemptAnywhereFor(std::uint32_t priority, const ObjectiveForecast &forecast) const;
    /** Preempts runs for the waiting tasks of @p pending: those named by @p futureCapacities, or any run for urgent work if that is empty. */
    void preemptFor(const PendingStep &pending, const std::vector<FutureCapacity> &futureCapacities);
    /** The runs that this plan preempts. */
    std::vector<Preemption> drainPreemptions();

private:
    /** Preempts runs where the capacity reserved for a wide step becomes complete while its tickets are valid. */
    void preemptOnReserved(const PendingStep &pending, const std::vector<FutureCapacity> &futureCapacities);
    bool mayStopFor(const PendingStep &pending, const FutureCapacity &futureCapacity) const;
    void preemptAnywhere(const PendingStep &pending);
    void stopRuns(const PendingStep &pending, std::size_t missing);
    static bool isSuitable(const WorkerCapacity &worker, const PendingStep &pending, std::uint32_t service);
    /** Claims processors that are free or being released for up to @p missing tasks. @return the number of tasks that got some */
    std::size_t claimCapacity(WorkerCapacity &worker, const PendingStep &pending, std::size_t missing);

    const workload::Workload &state;
    const execution::RunTracks &tracks;
    const ObjectiveForecaster &forecaster;
    CapacityIndex &capacityIndex;
    const AdviceCache &adviceCache;
    Timestamp now;
    std::int64_t wallMillis = 0;
    PreemptionCandidates candidates;
    bool areCandidatesCollected = false;
    /** False while the pause after the last plan with preemptions lasts. */
    bool mayPreempt = true;
    /** Steps of this plan for which no run to preempt was found. */
    std::size_t unsuccessfulSteps = 0;
    Timestamp nextPreemption = absl::InfinitePast();
    std::vector<Preemption> preemptions;
};

} // namespace paddlepier::planning

#endif
