// Observation of the workers' speed by the dispatcher, in virtual time.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

/** Eight workers with capacity for one task each. */
class SpeedFixture : public DispatcherFixture
{
public:
    SpeedFixture()
    {
        for (int number = 0; number < workerCount; ++number) {
            this->addWorker(absl::StrCat("w", number), 1000);
        }
        this->electLeader();
    }

    void setSpeeds(double slow, double others)
    {
        for (auto &[id, worker] : this->workers.workers) {
            worker.speed = id < "w2" ? slow : others;
        }
    }

    /** Runs @p jobs jobs one after the other, each with one task for each worker. */
    void runJobs(int jobs, std::uint32_t millis, bool isGang)
    {
        for (int number = 0; number < jobs; ++number) {
            const std::string id = absl::StrCat("job", ++this->lastJob);
            this->addJob(id, workerCount, millis, 1, false, isGang);
            REQUIRE(this->runUntil([this, &id] { return this->isCompleted(id); }));
        }
    }

    double slownessOf(const std::string &worker) const
    {
        return this->dispatcher->findView({worker})->slowness;
    }

    static constexpr int workerCount = 8;
    int lastJob = 0;
};

} // namespace

// Guards against workers whose speed is never learned, since they run only short tasks or gangs, and against a new leader that has to learn it again.
TEST_CASE_METHOD(SpeedFixture, "speed_ofUnevenWorkersAfterSixRuns_isToldApartAndKnownToTheNextLeader")
{
    const auto [millis, isGang] = GENERATE(table<std::uint32_t, bool>({{500, false}, {2200, false}, {750, true}, {4500, true}}));
    this->setSpeeds(0.55, 1.2);
    this->runJobs(6, millis, isGang);
    for (const bool isNewLeader : {false, true}) {
        for (const auto &[id, worker] : this->workers.workers) {
            CAPTURE(millis, isGang, isNewLeader, id);
            CHECK((id < "w2" ? this->slownessOf(id) > 1.3 : this->slownessOf(id) < 1.1));
        }
        this->electLeader();
    }
    CHECK(this->workers.violations.empty());
}

// Guards against penalties among equal workers in a queue whose estimates are too low.
TEST_CASE_METHOD(SpeedFixture, "speed_ofEqualWorkersWithWrongEstimates_staysNearOne")
{
    this->setSpeeds(0.75, 0.75);
    for (int round = 0; round < 6; ++round) {
        this->runJobs(1, 750, false);
        this->runJobs(1, 1500, true);
        for (const auto &[id, worker] : this->workers.workers) {
            CHECK(this->slownessOf(id) == Approx(1.0).margin(0.15));
        }
    }
}

// Guards against a run whose end was reported late, since its worker was cut off, and that would count as slowness.
TEST_CASE_METHOD(SpeedFixture, "speed_ofAWorkerThatWasCutOffDuringARun_isTypical")
{
    this->addJob("a", workerCount, 700);
    REQUIRE(this->runUntil([this] { return this->workers.workers["w0"].runs.size() == 1; }));
    this->runFor(absl::Milliseconds(100));
    this->workers.workers["w0"].isCut = true;
    this->runFor(absl::Seconds(4));
    this->workers.workers["w0"].isCut = false;
    REQUIRE(this->runUntil([this] { return this->isCompleted("a"); }));
    CHECK(this->slownessOf("w0") == Approx(1.0).margin(0.1));
}

// Guards against runs that are stopped as stalled on a slow worker, and against stalled ones that occupy it for long.
TEST_CASE_METHOD(SpeedFixture, "stalledRun_onASlowWorker_isStoppedLaterButAtMostThreeTimesAsLate")
{
    const auto [slowness, earliest, latest] = GENERATE(table<double, int, int>({{1, 1300, 2200}, {2, 2600, 3500}, {8, 3900, 4800}}));
    work::RecordEndsT record;
    record.worker = "w0";
    record.slowness = slowness;
    record.slownessWeight = 1000;
    this->apply(std::move(record));
    this->electLeader();
    Timestamp stoppedAt = absl::InfiniteFuture();
    this->onCall = [&](const WorkerCall &call) { stoppedAt = std::holds_alternative<StopOrder>(call.order) ? std::min(stoppedAt, this->now) : stoppedAt; };
    this->workers.workers["w0"].isStalling = true;
    this->addJob("a", workerCount, 1000);
    const Timestamp begin = this->now;
    this->runFor(absl::Seconds(6));
    CHECK(stoppedAt - begin > absl::Milliseconds(earliest));
    CHECK(stoppedAt - begin < absl::Milliseconds(latest));
}

} // namespace paddlepier::execution
