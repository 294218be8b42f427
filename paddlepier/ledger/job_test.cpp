// State of a job's tasks after attempts have ended.

#include "paddlepier/ledger/job.h"

#include <catch2/catch.hpp>

namespace paddlepier::ledger
{

namespace
{

constexpr std::int64_t microsPerSecond = 1'000'000;

class LedgerJobFixture
{
public:
    static Job make(wire::JobKind kind)
    {
        wire::JobRecordT record;
        record.id = 1;
        record.spec = std::make_unique<wire::JobSpecT>();
        record.spec->kind = kind;
        record.spec->tasks = 1;
        record.spec->maxAttempts = 3;
        return Job(std::move(record));
    }

    /** Starts the task repeatedly, each time on a worker that is then lost. @return the number of starts, at most @p maxStarts */
    std::uint32_t loseWorkers(Job &job, std::uint32_t maxStarts)
    {
        std::uint32_t starts = 0;
        for (; starts < maxStarts && !job.hasEnded(); ++starts) {
            this->now = std::max(this->now, job.nextPlaceableAt());
            job.place(0, "w", starts + 1);
            job.markStarted(0, starts + 1, this->now);
            this->now += microsPerSecond;
            job.endAttempt(0, starts + 1, AttemptEnd::Unknown, this->now);
        }
        return starts;
    }

    std::int64_t now = microsPerSecond;
};

} // namespace

// Guards against endless restarts of a task that crashes each of its workers: if only attempts reported as failed count, such a
// task is queued again at once, without a bound.
TEST_CASE_METHOD(LedgerJobFixture, "batchTask_allWorkersLost_isAbandonedWithinBound")
{
    Job job = make(wire::JobKind::Batch);
    CHECK(this->loseWorkers(job, 20) <= 5);
    CHECK(job.state() == wire::TaskState::Failed);
}

TEST_CASE_METHOD(LedgerJobFixture, "gang_allWorkersLost_isAbandonedWithinBound")
{
    Job job = make(wire::JobKind::Gang);
    CHECK(this->loseWorkers(job, 20) <= 5);
    CHECK(job.state() == wire::TaskState::Failed);
}

TEST_CASE_METHOD(LedgerJobFixture, "service_allWorkersLost_isRestartedWithBackoff")
{
    Job job = make(wire::JobKind::Service);
    CHECK(this->loseWorkers(job, 10) == 10);
    CHECK(this->now > 60 * microsPerSecond);
}

TEST_CASE_METHOD(LedgerJobFixture, "settledService_workerLost_isRestartedAtOnce")
{
    Job job = make(wire::JobKind::Service);
    this->loseWorkers(job, 6);
    this->now = std::max(this->now, job.nextPlaceableAt());
    job.place(0, "w", 100);
    job.markStarted(0, 100, this->now);
    this->now += 120 * microsPerSecond;
    job.endAttempt(0, 100, AttemptEnd::Unknown, this->now);
    CHECK(job.nextPlaceableAt() <= this->now);
}

TEST_CASE_METHOD(LedgerJobFixture, "stoppingTask_attemptGone_isNotCountedAsLoss")
{
    Job job = make(wire::JobKind::Batch);
    job.place(0, "w", 1);
    job.requestMove(0);
    job.endAttempt(0, 1, AttemptEnd::Unknown, this->now);
    CHECK(job.tasks()[0].losses == 0);
    CHECK(job.state() == wire::TaskState::Queued);
}

} // namespace paddlepier::ledger
