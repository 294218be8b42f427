// Wait times and shares of jobs served in time, under load patterns that are hard to schedule.

#include "paddlepier/planning/loadreplay.h"

#include <catch2/catch.hpp>

namespace paddlepier::planning
{

namespace
{

class WideTasksFixture
{
public:
    struct Served {
        double wide = 0;
        double small = 0;
        Duration wideWait;
    };

    /** Shares of jobs that end in time, and the 90th percentile of the wait of wide jobs, as means over several seeds. */
    static Served serve(double load)
    {
        constexpr int seeds = 5;
        Served served;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LoadReplay replay(seed, wideTasksPattern(load));
            replay.run(absl::Seconds(60));
            served.wide += replay.inTimeShare("wide") / seeds;
            served.small += replay.inTimeShare("small") / seeds;
            served.wideWait += replay.wait("wide", 0.9) / seeds;
        }
        return served;
    }
};

class PartitionFixture
{
public:
    static constexpr Duration partitionStart = absl::Seconds(14);

    struct Served {
        double dataCentres = 0;
        /** Share in time of the quick jobs submitted within 1.5 s before the partition. */
        double beforePartition = 0;
        double all = 0;
        double longJobs = 0;
    };

    static Served serve()
    {
        constexpr int seeds = 5;
        Served served;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LoadPattern pattern = quickBesideLongPattern(1.0);
            pattern.partition.start = partitionStart;
            LoadReplay replay(seed, pattern);
            replay.run(absl::Seconds(24));
            served.dataCentres += replay.meanDataCentresPerJob("quick") / seeds;
            served.beforePartition += replay.inTimeShare("quick", partitionStart - absl::Milliseconds(1500), partitionStart) / seeds;
            served.all += replay.inTimeShare("quick") / seeds;
            served.longJobs += replay.inTimeShare("long") / seeds;
        }
        return served;
    }
};

class LongJobsFixture
{
public:
    static double inTime(double load)
    {
        constexpr int seeds = 5;
        double share = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LoadReplay replay(seed, longJobsPattern(load));
            replay.run(absl::Seconds(60));
            share += replay.inTimeShare("long") / seeds;
        }
        return share;
    }
};

} // namespace

TEST_CASE_METHOD(LongJobsFixture, "longJobs_inOverload_arePartlyInTimeInsteadOfAllLate")
{
    const double calm = inTime(0.7);
    const double overloaded = inTime(1.2);
    INFO("in time " << calm << " of a calm load, " << overloaded << " of an overload");
    CHECK(calm > 0.9);
    CHECK(overloaded > 0.66);
}

TEST_CASE_METHOD(PartitionFixture, "quickJobs_whenADataCentreIsPartitioned_areMostlyPlacedCompletelyInOthers")
{
    const Served served = serve();
    INFO("data centres a job " << served.dataCentres << ", in time before the partition " << served.beforePartition << ", all " << served.all << ", long "
                               << served.longJobs);
    CHECK(served.dataCentres < 1.2);
    CHECK(served.beforePartition > 0.87);
    CHECK(served.all > 0.9);
    CHECK(served.longJobs > 0.95);
}

TEST_CASE_METHOD(WideTasksFixture, "wideTasks_besideManySmallOnes_areServedInTime")
{
    const Served served = serve(1.0);
    INFO("wide " << served.wide << ", small " << served.small << ", wait of nine tenths of the wide ones " << served.wideWait);
    CHECK(served.wide > 0.95);
    CHECK(served.small > 0.95);
    CHECK(served.wideWait < absl::Seconds(5));
}

TEST_CASE_METHOD(WideTasksFixture, "wideTasks_inOverload_keepSmallOnesInTime")
{
    const Served served = serve(1.4);
    INFO("wide " << served.wide << ", small " << served.small);
    CHECK(served.wide > 0.72);
    CHECK(served.small > 0.9);
}

} // namespace paddlepier::planning
