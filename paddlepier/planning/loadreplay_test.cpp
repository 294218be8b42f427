// How long work waits, and how much of it is served in time, under load patterns that are hard to serve.

#include "paddlepier/planning/loadreplay.h"

#include <catch2/catch.hpp>

namespace paddlepier::planning
{

namespace
{

/**
 * Accelerators at some 80 % use if @p load is 1: gangs of one or two tasks that need two, four or all eight accelerators of a worker, and
 * many small tasks of less urgent jobs that need one.
 */
class WideTasksFixture
{
public:
    static LoadPattern pattern(double load = 1.0)
    {
        LoadKind wide;
        wide.queue = "wide";
        wide.priority = 1;
        wide.stretch = 2.2;
        wide.jobsPerSecond = 1.84 * load;
        wide.mostTasks = 2;
        wide.milliProcessors = 31'000;
        wide.memoryMegabytes = 45'000;
        wide.accelerators = {2, 4, 8, 8};
        wide.leastMillis = 1800;
        wide.mostMillis = 5400;
        wide.isGang = true;
        wide.saving = 0.9;
        wide.decisionMillis = 490;
        wide.perWorkerMillis = 7;
        wide.permitted = 0.35;
        LoadKind small;
        small.queue = "small";
        small.priority = 2;
        small.stretch = 4;
        small.targetLatencyMillis = 3000;
        small.jobsPerSecond = 1.9 * load;
        small.leastTasks = 1;
        small.mostTasks = 7;
        small.milliProcessors = 5600;
        small.memoryMegabytes = 11'000;
        small.accelerators = {1};
        small.leastMillis = 1900;
        small.mostMillis = 5700;
        small.saving = 0.8;
        small.decisionMillis = 140;
        small.perWorkerMillis = 2;
        small.permitted = 0.45;
        LoadPattern made;
        made.workers = 13;
        made.kinds = {wide, small};
        return made;
    }

    struct Served {
        double wide = 0;
        double small = 0;
        Duration wideWait;
    };

    /** Shares of jobs that end in time, and the wait that nine tenths of the wide ones stay below: means of some seeds. */
    static Served serve(double load)
    {
        constexpr int seeds = 5;
        Served served;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LoadReplay replay(seed, pattern(load));
            replay.run(absl::Seconds(60));
            served.wide += replay.inTime("wide") / seeds;
            served.small += replay.inTime("small") / seeds;
            served.wideWait += replay.wait("wide", 0.9) / seeds;
        }
        return served;
    }
};

} // namespace

TEST_CASE_METHOD(WideTasksFixture, "wideTasks_besideManySmallOnes_areServedInTime")
{
    const Served served = serve(1.0);
    INFO("wide " << served.wide << ", small " << served.small << ", wait of nine tenths of the wide ones " << served.wideWait);
    CHECK(served.wide > 0.95);
    CHECK(served.small > 0.95);
    CHECK(served.wideWait < absl::Seconds(5));
}

TEST_CASE_METHOD(WideTasksFixture, "wideTasks_inOverload_leaveSmallOnesTheirTime")
{
    const Served served = serve(1.4);
    INFO("wide " << served.wide << ", small " << served.small);
    CHECK(served.wide > 0.72);
    CHECK(served.small > 0.9);
}

} // namespace paddlepier::planning
