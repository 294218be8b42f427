// Forecasts whether a job can still meet its objective if it is served immediately.
//
// The objective of a job is the duration of its longest chain of steps times the queue's stretch, plus the queue's target latency. Up to
// three times that duration the job counts as late; after that, serving it has no value. Estimates are corrected by the typical ratio of run
// time to estimate of the queue. The duration of a task on a given worker also depends on the speed of that worker.
//
// Thread safety: none; owned by the planner. Cost: O(steps).

#ifndef PADDLEPIER_PLANNING_OBJECTIVEFORECAST_H
#define PADDLEPIER_PLANNING_OBJECTIVEFORECAST_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/workerview.h"
#include "paddlepier/workload/job.h"

#include <cstdint>
#include <map>
#include <string>

namespace paddlepier::planning
{

/** The best result that a job can still reach if it is served immediately; enumerators are in descending order of value. */
enum class ObjectiveStatus { InTime, Late, Unattainable };

/** Forecast for an occurrence of a job, assuming that it is served immediately from now on. */
struct ObjectiveForecast {
    ObjectiveStatus status = ObjectiveStatus::InTime;
    /** How long it may still wait and meet the objective; negative if it no longer can. */
    double slackMillis = 0;
    /** Duration of the longest chain of unfinished steps. */
    double remainingMillis = 0;
    /** How long it may still wait without its status becoming Unattainable. */
    double lateSlackMillis = 0;

    /**
     * It can meet its objective, but not if it first waits as long as its remaining work takes. The bound is relative to the work because
     * it is the last moment at which a higher rank helps a job of that length.
     */
    bool hasLowSlack() const
    {
        return this->status == ObjectiveStatus::InTime && this->slackMillis < this->remainingMillis;
    }
};

/**
 * @param wallMillis  milliseconds since 1970
 * @param typicalRatio  typical ratio of run time to estimate in the job's queue
 */
ObjectiveForecast forecastObjective(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis, double typicalRatio);

/** Forecast for a job that isn't in the ledger yet and would be submitted to @p queue now. */
ObjectiveForecast forecastObjective(const work::JobSpecT &spec, const work::QueueSpecT &queue, double typicalRatio);

/** Expected duration of a task of @p step on the worker; infinite if the step has no estimate or is lasting. */
Duration predictedDuration(const work::StepSpecT &step, double typicalRatio, const execution::WorkerView &worker);

/** Makes forecasts with the typical run time of each queue, as learned so far. */
class ObjectiveForecaster
{
public:
    /** @param typicalRatiosByQueue  see forecastObjective(); for a queue without an entry the ratio is 1 */
    explicit ObjectiveForecaster(const std::map<std::string, double> &typicalRatiosByQueue);

    double typicalRatio(const std::string &queue) const;
    ObjectiveForecast forecast(const work::JobSpecT &spec, const work::QueueSpecT &queue) const;
    ObjectiveForecast forecast(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis) const;

private:
    const std::map<std::string, double> &typicalRatios;
};

} // namespace paddlepier::planning

#endif
