// What becomes of a job's tasks when attempts end.

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

    /** Starts the task again and again on workers that are lost under it. @return how often, @p most at most */
    std::uint32_t loseWorkers(Job &job, std::uint32_t most)
    {
        std::uint32_t starts = 0;
        for (; starts < most && !job.hasEnded(); ++starts) {
            this->now = std::max(this->now, job.nextPlaceableAt());
            job.place(0, "w", starts + 1);
            job.started(0, starts + 1, this->now);
            this->now += microsPerSecond;
            job.ended(0, starts + 1, AttemptEnd::Unknown, this->now);
        }
        return starts;
    }

    std::int64_t now = microsPerSecond;
};

} // namespace

// A task whose every worker is lost under it was queued again at once and without end, since only attempts that were reported as
// failed counted.
TEST_CASE_METHOD(LedgerJobFixture, "batchTaskWhoseWorkersAreLost_isGivenUpWithinItsBound")
{
    Job job = make(wire::JobKind::Batch);
    CHECK(this->loseWorkers(job, 20) <= 5);
    CHECK(job.state() == wire::TaskState::Failed);
}

} // namespace paddlepier::ledger
