// Estimates the speed of a worker relative to the others of its service.

#include "paddlepier/execution/workerspeed.h"

#include <algorithm>
#include <cmath>

namespace paddlepier::execution
{

namespace
{

/** Bounds of one observation, and of the estimate. */
constexpr double minRatio = 0.25;
constexpr double maxRatio = 8.0;

/** Bound of the difference of one observation from the estimate, as a logarithm; above that of a worker at .55 of the speed of another one at 1.2. */
constexpr double maxLogDifference = 0.8;

/** Standard deviation of the logarithm of one observation: the work of a task differs from its estimate by up to 30 %. */
constexpr double observationDeviation = 0.2;

/** Number of runs of a typical worker that the estimate starts with. */
constexpr double priorWeight = 1.5;

/** Twenty runs reduce the error of their estimates to some 5 %; a greater weight would follow a change of the speed too slowly. */
constexpr double maxWeight = 20;

} // namespace

WorkerSpeed::WorkerSpeed(double initialMeanRatio, double initialWeight)
{
    if (std::isfinite(initialMeanRatio) && std::isfinite(initialWeight)) {
        this->meanLogRatio = std::log(std::clamp(initialMeanRatio, minRatio, maxRatio));
        this->observedWeight = std::clamp(initialWeight, 0.0, maxWeight);
    }
}

void WorkerSpeed::record(double ratio, double weightOfRatio)
{
    if (!(ratio > 0 && weightOfRatio > 0)) {
        return;
    }
    const double expected = std::log(this->slowness());
    const double logRatio = std::clamp(std::log(std::clamp(ratio, minRatio, maxRatio)), expected - maxLogDifference, expected + maxLogDifference);
    this->observedWeight = std::min(this->observedWeight + weightOfRatio, maxWeight);
    this->meanLogRatio += std::min(1.0, weightOfRatio / this->observedWeight) * (logRatio - this->meanLogRatio);
}

double WorkerSpeed::slowness() const
{
    return std::exp(this->meanLogRatio * this->observedWeight / (this->observedWeight + priorWeight));
}

double WorkerSpeed::uncertainty() const
{
    return observationDeviation / std::sqrt(this->observedWeight + priorWeight);
}

double WorkerSpeed::meanRatio() const
{
    return std::exp(this->meanLogRatio);
}

double WorkerSpeed::weight() const
{
    return this->observedWeight;
}

} // namespace paddlepier::execution
