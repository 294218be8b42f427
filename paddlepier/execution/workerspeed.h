// Estimate of how long a worker takes for the same work, relative to the other workers of its service, with its uncertainty.
//
// An observation is the ratio of a run's time to the time that the run takes on a typical worker, weighted by the share of the run that it
// covers: all observations of one run weigh as much as one run, since they share the error of its estimate. The estimate is the mean of the
// logarithms of the ratios, shrunk towards a typical worker while few runs were observed. Workers of equal speed therefore stay near 1, and a
// worker at half the usual speed is told apart after some three to six runs. One observation changes the estimate by at most a half.
//
// Example:
//     speed.record(1.9, 1.0); // a whole run took 1.9 times as long as usual
//     const double factor = speed.slowness();
//
// Thread safety: none. Cost: O(1).

#ifndef PADDLEPIER_EXECUTION_WORKERSPEED_H
#define PADDLEPIER_EXECUTION_WORKERSPEED_H

namespace paddlepier::execution
{

class WorkerSpeed
{
public:
    /** A worker of which nothing is known. */
    WorkerSpeed() = default;
    /** Continues an estimate with the given meanRatio() and weight(); values that no estimate can have are replaced by the nearest ones. */
    WorkerSpeed(double initialMeanRatio, double initialWeight);

    /** Ignored unless both values are positive numbers. */
    void record(double ratio, double weightOfRatio);

    /** Expected ratio of a run's time to that on a typical worker: 1 is a typical worker, 2 one that is half as fast. */
    double slowness() const;
    /** Standard deviation of the logarithm of slowness(): 0.1 is an uncertainty of some 10 %. */
    double uncertainty() const;
    /** Mean of the observed ratios, without the shrinkage. */
    double meanRatio() const;
    /** Number of runs that the estimate is based on, up to a maximum; older runs count less from there on. */
    double weight() const;

private:
    double meanLogRatio = 0;
    double observedWeight = 0;
};

} // namespace paddlepier::execution

#endif
