// Forecasts whether a job can still meet its objective.

#include "paddlepier/planning/objectiveforecast.h"

#include <algorithm>
#include <vector>

namespace paddlepier::planning
{

namespace
{

/** The objective includes the time of one advice request for each step, about this many workers. */
constexpr double workersOfOneQuestion = 30;

/** A job counts as late up to this many times its objective. */
constexpr double lateFactor = 3;

double adviceMillis(const work::QueueSpecT &queue)
{
    return queue.advice ? queue.advice->decisionMillis + workersOfOneQuestion * queue.advice->perWorkerMillis : 0;
}

/** Duration of the longest chain of steps in milliseconds; steps for which @p isCounted returns false count as 0. */
template<typename Predicate>
double longestChain(const work::JobSpecT &spec, const work::QueueSpecT &queue, double typicalRatio, Predicate isCounted)
{
    std::vector<double> ends;
    double longest = 0;
    for (std::uint32_t number = 0; number < spec.steps.size(); ++number) {
        const work::StepSpecT &step = *spec.steps[number];
        double start = 0;
        for (const std::uint32_t earlier : step.after) {
            start = std::max(start, ends.at(earlier));
        }
        const double duration = isCounted(number) ? step.estimatedMillis * typicalRatio + adviceMillis(queue) : 0;
        ends.push_back(start + duration);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

double wholeChain(const work::JobSpecT &spec, const work::QueueSpecT &queue, double typicalRatio)
{
    return longestChain(spec, queue, typicalRatio, [](std::uint32_t) { return true; });
}

/** @param wholeMillis  longest chain of all steps; @param remainingMillis  that of the unfinished ones */
ObjectiveForecast forecastEnd(const work::QueueSpecT &queue, double wholeMillis, double remainingMillis, double ageMillis)
{
    const double objective = queue.stretch * wholeMillis + queue.targetLatencyMillis;
    const double earliestEnd = ageMillis + remainingMillis;
    ObjectiveForecast forecast;
    forecast.remainingMillis = remainingMillis;
    forecast.slackMillis = objective - earliestEnd;
    forecast.lateSlackMillis = lateFactor * objective - earliestEnd;
    forecast.status = forecast.slackMillis >= 0       ? ObjectiveStatus::InTime
                      : forecast.lateSlackMillis >= 0 ? ObjectiveStatus::Late
                                                      : ObjectiveStatus::Unattainable;
    return forecast;
}

} // namespace

ObjectiveForecast forecastObjective(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis, double typicalRatio)
{
    const std::vector<workload::Step> &steps = job.occurrences().at(occurrence).steps;
    const double age = static_cast<double>(wallMillis - std::max(job.submittedAtMillis(), job.dueMillis(occurrence)));
    const double remaining = longestChain(job.spec(), job.queue(), typicalRatio, [&steps](std::uint32_t number) { return !steps[number].isDone(); });
    return forecastEnd(job.queue(), wholeChain(job.spec(), job.queue(), typicalRatio), remaining, age);
}

ObjectiveForecast forecastObjective(const work::JobSpecT &spec, const work::QueueSpecT &queue, double typicalRatio)
{
    const double chain = wholeChain(spec, queue, typicalRatio);
    return forecastEnd(queue, chain, chain, 0);
}

Duration predictedDuration(const work::StepSpecT &step, double typicalRatio, const execution::WorkerView &worker)
{
    if (step.isLasting || step.estimatedMillis == 0) {
        return absl::InfiniteDuration();
    }
    return absl::Milliseconds(step.estimatedMillis) * typicalRatio * worker.slowness;
}

ObjectiveForecaster::ObjectiveForecaster(const std::map<std::string, double> &typicalRatiosByQueue)
    : typicalRatios(typicalRatiosByQueue)
{
}

double ObjectiveForecaster::typicalRatio(const std::string &queue) const
{
    const auto typical = this->typicalRatios.find(queue);
    return typical == this->typicalRatios.end() ? 1.0 : typical->second;
}

ObjectiveForecast ObjectiveForecaster::forecast(const work::JobSpecT &spec, const work::QueueSpecT &queue) const
{
    return forecastObjective(spec, queue, this->typicalRatio(queue.name));
}

ObjectiveForecast ObjectiveForecaster::forecast(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis) const
{
    return forecastObjective(job, occurrence, wallMillis, this->typicalRatio(job.queue().name));
}

} // namespace paddlepier::planning
