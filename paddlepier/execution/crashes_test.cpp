// Tasks that take down each worker that starts them.
//
// Two tasks of one queue crashed every worker that started them, some 10 ms after the start. Each worker was back with a new life
// within three seconds, the leader saw the old life replaced, and placed the task again 50 ms later, thirty times until the end of
// the day: nothing bounded it, since the end of a run that goes with its worker counted as nothing. The same in virtual time:
//
//     "event":"worker.lost","worker":"w0","why":"replaced","silentMillis":2010,"runs":" bad.0.0.0#1/running/2020 good.0.0.0#1/..."
//     "event":"step.placed","step":"bad.0.0","queue":"quick","ageMillis":2090,"runs":" 0@w0.1"
//     "event":"worker.lost","worker":"w0.1","why":"replaced","silentMillis":2010,"runs":" bad.0.0.0#2/running/2020 good.0.0.0#2/..."
//
// The loss was recognised as one (`replaced`, with the run held by the ledger) by each leader, so that neither starts without an
// answer nor changes of the leader were the cause. The tasks beside it shared its fate each time, and didn't end either.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <set>

namespace paddlepier::execution
{

namespace
{

/** Workers of a cell that come back at their address, with a new id, some time after they have crashed. */
class CrashFixture : public DispatcherFixture
{
public:
    CrashFixture()
    {
        this->onStep = [this] { this->bringBack(); };
        this->workers.crashes = [this](const workload::TaskKey &key, std::uint32_t) { return this->crashing.contains(key.job); };
    }

    void addCell(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            const std::string host = absl::StrCat("w", number);
            this->addWorker(host, 4000, host);
        }
        this->newLeader();
        this->runFor(absl::Seconds(1));
    }

    work::JobState stateOf(const std::string &job) const
    {
        return this->state.findJob(job)->state();
    }

    bool hasEnded(const std::string &job) const
    {
        return this->state.findJob(job)->hasEnded();
    }

    /** Jobs all of whose tasks take their workers down. */
    std::set<std::string> crashing;
    Duration backAfter = absl::Seconds(2);

private:
    void bringBack()
    {
        std::vector<std::string> due;
        for (auto &[id, worker] : this->workers.workers) {
            if (worker.crashedAt + this->backAfter <= this->now) {
                worker.crashedAt = absl::InfiniteFuture();
                worker.isCut = false;
                due.push_back(id);
            }
        }
        for (const std::string &id : due) {
            const std::string host = id.substr(0, id.find('.'));
            this->addWorker(absl::StrCat(host, ".", ++this->lives), 4000, host);
        }
        if (!due.empty() && this->dispatcher) {
            this->dispatcher->noteChange();
        }
    }

    std::size_t lives = 0;
};

} // namespace

TEST_CASE_METHOD(CrashFixture, "taskThatCrashesItsWorkers_isGivenUpWithinItsBound")
{
    this->addCell(12);
    this->crashing = {"bad"};
    this->addJob("bad", 1, 800);
    this->addJob("good", 12, 800);
    CHECK(this->runUntil([this] { return this->hasEnded("bad"); }, absl::Seconds(30)));
    this->runFor(absl::Seconds(5));
    CHECK(this->stateOf("bad") == work::JobState::Failed);
    CHECK(this->isCompleted("good"));
    CHECK(this->workers.problems.empty());
}

TEST_CASE_METHOD(CrashFixture, "tasksThatCrashTheirWorkersTogether_throughChangesOfLeader_areGivenUpWithinTheirBound")
{
    this->addCell(12);
    this->crashing = {"bad", "worse"};
    this->addJob("bad", 2, 800);
    this->addJob("worse", 2, 800);
    for (int term = 0; term < 8; ++term) {
        this->runFor(absl::Milliseconds(1700));
        this->newLeader();
    }
    CHECK(this->runUntil([this] { return this->hasEnded("bad") && this->hasEnded("worse"); }, absl::Seconds(30)));
    CHECK(this->workers.problems.empty());
}

} // namespace paddlepier::execution
