// How long work waits, and how much of it is served in time, under load patterns that are hard to serve.

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

    /** Shares of jobs that end in time, and the wait that nine tenths of the wide ones stay below: means of some seeds. */
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

class CutFixture
{
public:
    static constexpr Duration cutAt = absl::Seconds(14);

    struct Served {
        double dataCentres = 0;
        /** Of the quick jobs submitted within a second and a half before the cut. */
        double beforeCut = 0;
        double all = 0;
        double longJobs = 0;
    };

    static Served serve()
    {
        constexpr int seeds = 5;
        Served served;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            LoadPattern pattern = quickBesideLongPattern(1.0);
            pattern.partition.start = cutAt;
            LoadReplay replay(seed, pattern);
            replay.run(absl::Seconds(24));
            served.dataCentres += replay.meanDataCentresPerJob("quick") / seeds;
            served.beforeCut += replay.inTimeShare("quick", cutAt - absl::Milliseconds(1500), cutAt) / seeds;
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

TEST_CASE_METHOD(CutFixture, "quickJobs_whenADataCentreIsCutOff_areMostlyElsewhereAsAWhole")
{
    const Served served = serve();
    INFO("data centres a job " << served.dataCentres << ", in time before the cut " << served.beforeCut << ", all " << served.all << ", long "
                               << served.longJobs);
    CHECK(served.dataCentres < 1.2);
    CHECK(served.beforeCut > 0.87);
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

TEST_CASE_METHOD(WideTasksFixture, "wideTasks_inOverload_leaveSmallOnesTheirTime")
{
    const Served served = serve(1.4);
    INFO("wide " << served.wide << ", small " << served.small);
    CHECK(served.wide > 0.72);
    CHECK(served.small > 0.9);
}

} // namespace paddlepier::planning
