// The backlog follows the ledger and the passing of time.

#include "paddlepier/admission/admissionfixture.h"
#include "paddlepier/admission/backlog.h"

#include <catch2/catch.hpp>

namespace paddlepier::admission
{

namespace
{

class BacklogFixture : public AdmissionFixture
{
public:
    BacklogFixture()
    {
        this->backlog.update(this->wallMillis);
    }

    /** Work of all priorities in processor-seconds. */
    double work(std::int64_t atMillis)
    {
        this->wallMillis = atMillis;
        this->backlog.update(atMillis);
        return static_cast<double>(this->backlog.workUpTo("pool", 9, atMillis)) / 1e6;
    }

    planning::ObjectiveForecaster forecaster{this->typicalRatios};
    Backlog backlog{this->state, this->forecaster, start};
};

} // namespace

// Fails if runs count in full until they end, which would double the forecast of a busy cell.
TEST_CASE_METHOD(BacklogFixture, "backlog_whileRunsProgress_fallsWithoutLedgerChanges")
{
    const std::string job = this->store("batch", spec(3, 2000));
    CHECK(this->work(start) == 6);
    this->place({job, 0, 0, 0});
    CHECK(this->work(start + 500) == 5.5);
    CHECK(this->work(start + 2500) == 4);
    this->end({job, 0, 0, 0});
    CHECK(this->work(start + 2600) == 4);
}

// Fails if jobs that are planned after all others make new jobs wait in the forecast.
TEST_CASE_METHOD(BacklogFixture, "backlog_withUnattainableObjective_dropsTheJob")
{
    this->store("batch", spec(3, 2000));
    // The objective is 11 s; a job that is still waiting at 3 x 11 s - 2 s can't end within three times that.
    CHECK(this->work(start + 30'900) == 6);
    CHECK(this->work(start + 31'100) == 0);
    CHECK(this->backlog.activeHolders("pool", 2).empty());
    CHECK(this->backlog.waitingDemand("pool") == 0);
}

// Fails if estimates aren't corrected by the run times that were measured meanwhile.
TEST_CASE_METHOD(BacklogFixture, "backlog_withChangedTypicalRatio_isEvaluatedAgain")
{
    this->store("batch", spec(3, 2000));
    CHECK(this->work(start) == 6);
    this->typicalRatios["batch"] = 1.5;
    CHECK(this->work(start + 10) == 9);
}

// Fails if jobs of an earlier leader look like a burst that more urgent queues keep producing.
TEST_CASE_METHOD(BacklogFixture, "urgentRate_measuresAcceptedWorkButNotThatOfARebuild")
{
    for (int number = 0; number < 40; ++number) {
        this->store("urgent", spec(10, 100));
        this->work(start + (number + 1) * 100);
    }
    // 10 processors x 100 ms every 100 ms.
    CHECK(this->backlog.moreUrgentRate("pool", 2, start + 4000) == Approx(10'000).epsilon(0.1));
    CHECK(this->backlog.moreUrgentRate("pool", 0, start + 4000) == 0);
    Backlog later(this->state, this->forecaster, start + 4000);
    later.update(start + 4000);
    later.update(start + 5000);
    CHECK(later.moreUrgentRate("pool", 2, start + 5000) == 0);
}

// Fails if an incremental change is lost or applied twice, and if a submission scans all jobs.
TEST_CASE_METHOD(BacklogFixture, "backlog_afterRandomChanges_equalsRebuiltOneAndScansNothing")
{
    std::mt19937_64 random(7);
    std::map<workload::TaskKey, std::uint32_t> running;
    std::map<workload::TaskKey, std::uint32_t> runs;
    std::vector<std::string> jobs;
    for (int round = 0; round < 400; ++round) {
        this->wallMillis += static_cast<std::int64_t>(random() % 80);
        const std::string queue = random() % 3 == 0 ? "urgent" : "batch";
        jobs.push_back(this->store(queue, spec(3, 400 + random() % 4000), random() % 4 == 0 ? "" : teamName(random() % 3)));
        const workload::TaskKey key(jobs[random() % jobs.size()], 0, 0, random() % 3);
        const workload::Job *job = this->state.findJob(key.job);
        if (job != nullptr && job->mayPlace(key, runs[key] + 1)) {
            this->place(key, ++runs[key]);
            running[key] = runs[key];
        }
        if (running.size() > 5) {
            const auto ended = std::next(running.begin(), static_cast<std::ptrdiff_t>(random() % running.size()));
            this->end(ended->first, ended->second, random() % 3 == 0 ? work::RunEndKind::Stopped : work::RunEndKind::Done);
            running.erase(ended);
        }
        if (random() % 20 == 0) {
            work::CancelJobT cancel;
            cancel.id = jobs[random() % jobs.size()];
            this->apply(std::move(cancel));
        }
        this->backlog.update(this->wallMillis);
        Backlog rebuilt(this->state, this->forecaster, start);
        rebuilt.update(this->wallMillis);
        REQUIRE(this->backlog.waitingDemand("pool") == rebuilt.waitingDemand("pool"));
        for (const std::uint32_t priority : {0U, 2U}) {
            REQUIRE(this->backlog.workUpTo("pool", priority, this->wallMillis) == rebuilt.workUpTo("pool", priority, this->wallMillis));
            REQUIRE(this->backlog.activeHolders("pool", priority) == rebuilt.activeHolders("pool", priority));
            for (const Holder &holder : rebuilt.activeHolders("pool", priority)) {
                REQUIRE(this->backlog.workOf("pool", priority, holder, this->wallMillis) == rebuilt.workOf("pool", priority, holder, this->wallMillis));
            }
        }
    }
    // A job is evaluated when it is submitted, changes or ends, and when its objective becomes unattainable.
    CHECK(this->backlog.evaluatedJobs() < 400 * 6);
}

} // namespace paddlepier::admission
