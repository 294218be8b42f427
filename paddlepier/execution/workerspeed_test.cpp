// Estimates of a worker's speed from single observations.

#include "paddlepier/execution/workerspeed.h"

#include <catch2/catch.hpp>

#include <random>

namespace paddlepier::execution
{

namespace
{

class WorkerSpeedFixture
{
public:
    /** The estimate of a worker after @p runs runs, whose work is off by up to 30 per cent. */
    WorkerSpeed observed(double speed, int runs)
    {
        WorkerSpeed estimate;
        std::uniform_real_distribution<double> work(0.7, 1.3);
        for (int run = 0; run < runs; ++run) {
            estimate.record(work(this->random) / speed, 1.0);
        }
        return estimate;
    }

    static constexpr int workers = 1000;
    std::mt19937 random{11};
};

} // namespace

// Guards against slow workers that get work for long since too few of their runs have been seen, and against penalties, which begin at 1.2, for
// workers of typical speed whose tasks happened to be large.
TEST_CASE_METHOD(WorkerSpeedFixture, "workerSpeed_afterFourRunsOfUnequalWork_tellsOnlySlowWorkersApart")
{
    int wrong = 0;
    for (int worker = 0; worker < workers; ++worker) {
        const double slow = this->observed(0.55, 4).slowness();
        const double fast = this->observed(1.2, 4).slowness();
        const double typical = this->observed(1.0, worker % 40).slowness();
        wrong += slow < 1.2 || slow < 1.3 * fast || typical > 1.2 || typical < 0.83 ? 1 : 0;
    }
    CHECK(wrong < workers / 100);
    CHECK(WorkerSpeed().uncertainty() > 2 * this->observed(1.0, 20).uncertainty());
}

// Guards against a worker that is avoided since one of its runs was held up by something else, or that is never seen to have changed.
TEST_CASE_METHOD(WorkerSpeedFixture, "workerSpeed_ofAWorkerThatChanges_followsManyRunsButNotOne")
{
    WorkerSpeed estimate = this->observed(1.0, 200);
    estimate.record(1000, 1.0);
    CHECK(estimate.slowness() < 1.2);
    for (int run = 0; run < 30; ++run) {
        estimate.record(2.0, 1.0);
    }
    CHECK(estimate.slowness() > 1.6);
}

// Guards against long runs that count as many because they are seen many times.
TEST_CASE_METHOD(WorkerSpeedFixture, "workerSpeed_observedInPartsOfARun_weighsAsMuchAsTheRun")
{
    WorkerSpeed parts;
    for (int part = 0; part < 10; ++part) {
        parts.record(1.5, 0.1);
    }
    CHECK(parts.weight() == Approx(1.0));
    CHECK(WorkerSpeed(1.5, 1.0).slowness() == Approx(parts.slowness()));
}

} // namespace paddlepier::execution
