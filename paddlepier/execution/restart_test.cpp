// Workers that start again under the id that they had.
//
// Tasks that had run to their end were started a second time, 0.4 s after that end, and jobs of several steps stood still at their first
// step for as long as the day lasted, though most of the room was free. Both happened only on workers that had started again under their id
// a moment before.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

class RestartFixture : public DispatcherFixture
{
public:
    /** A cell of one worker on which @p ends tasks have ended. */
    void addWorkerWithHistory(std::uint32_t ends)
    {
        this->addWorker("w0");
        this->newLeader();
        this->runFor(absl::Seconds(1));
        this->addJob("before", ends, 50);
        REQUIRE(this->runUntil([this] { return this->isCompleted("before"); }));
        this->runFor(absl::Seconds(1));
    }

    /** The worker crashes, is silent for @p silence, and starts again under its id. */
    void restart(const std::string &id, Duration silence = absl::Seconds(1))
    {
        this->workers.workers[id].isCut = true;
        this->runFor(silence);
        this->restartWorker(id);
        this->runFor(absl::Milliseconds(700));
    }
};

} // namespace

TEST_CASE_METHOD(RestartFixture, "worker_startedAgainUnderItsId_runsNoTaskAgainThatHasEnded")
{
    this->addWorkerWithHistory(40);
    this->restart("w0");
    this->addJob("after", 10, 300);
    CHECK(this->runUntil([this] { return this->isCompleted("after"); }, absl::Seconds(10)));
    CHECK(this->workers.problems.empty());
}

TEST_CASE_METHOD(RestartFixture, "worker_startedAgainUnderItsId_leavesNoJobAtItsFirstStep")
{
    this->addWorkerWithHistory(40);
    this->restart("w0");
    this->addJob("steps", 1, 200, 2);
    CHECK(this->runUntil([this] { return this->isCompleted("steps"); }, absl::Seconds(5)));
    CHECK(this->workers.problems.empty());
}

} // namespace paddlepier::execution
