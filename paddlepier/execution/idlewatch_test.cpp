// Idle workers whose polls another instance repeats: their cost to the leader, and how changes are reported.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

class IdleWatchFixture : public DispatcherFixture
{
public:
    IdleWatchFixture()
    {
        this->hasRelay = true;
        this->onCall = [this](const WorkerCall &call) {
            const auto *poll = std::get_if<PollOrder>(&call.order);
            this->polls += poll != nullptr ? 1 : 0;
            this->leasesOfWatches += poll != nullptr && poll->watch > absl::ZeroDuration() && call.leaseEndOnWorkerClock != 0 ? 1 : 0;
        };
    }

    void begin(std::size_t workerCount)
    {
        for (std::size_t number = 0; number < workerCount; ++number) {
            this->addWorker(absl::StrCat("w", number));
        }
        this->electLeader();
        this->runFor(absl::Seconds(2));
        this->polls = 0;
    }

    std::size_t polls = 0;
    std::size_t leasesOfWatches = 0;
};

} // namespace

TEST_CASE_METHOD(IdleWatchFixture, "idleWorkers_costTheLeaderOneOrderInTenSeconds")
{
    constexpr std::size_t workerCount = 200;
    this->begin(workerCount);
    this->runFor(absl::Seconds(30));
    CHECK(this->polls >= 2 * workerCount);
    CHECK(this->polls <= 3 * workerCount);
    CHECK(this->leasesOfWatches == 0);
}

TEST_CASE_METHOD(IdleWatchFixture, "job_onIdleWorkers_endsAsSoonAsItsRuns")
{
    this->begin(4);
    this->addJob("a", 4, 300);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Milliseconds(500)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(IdleWatchFixture, "run_longerThanALease_onAWorkerThatWasIdle_keepsItsLease")
{
    this->begin(1);
    this->addJob("a", 1, 25'000);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(26)));
    CHECK(this->workers.starts == 1);
}

TEST_CASE_METHOD(IdleWatchFixture, "watchWhoseAnswerIsLost_isAbandonedOnceARunIsPlaced")
{
    this->begin(4);
    this->networkFaults.answerLossPercent = 100;
    this->addJob("a", 1, 200);
    this->runFor(absl::Milliseconds(400));
    this->networkFaults.answerLossPercent = 0;
    // The poll in flight would continue for ten seconds.
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(4)));
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(IdleWatchFixture, "idleWorker_thatBecomesUnresponsive_isDetectedByItsWatch")
{
    this->begin(4);
    this->workers.workers["w0"].isCut = true;
    this->runFor(absl::Seconds(3));
    this->addJob("a", 8, 200);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Milliseconds(600)));
    CHECK(this->state.findWorker({"w0"})->runs.empty());
}

TEST_CASE_METHOD(IdleWatchFixture, "watchWhoseAnswerIsLost_isAbandonedAlthoughStartsContinue")
{
    this->addWorker("w0", 20'000);
    this->electLeader();
    this->runFor(absl::Seconds(2));
    this->networkFaults.answerLossPercent = 100;
    this->addJob("a", 1, 200);
    this->runFor(absl::Milliseconds(400));
    this->networkFaults.answerLossPercent = 0;
    for (int round = 0; round < 8; ++round) {
        this->addJob(absl::StrCat("b", round), 1, 200);
        this->runFor(absl::Milliseconds(500));
    }
    CHECK(this->isCompleted("a"));
    CHECK(this->workers.violations.empty());
}

} // namespace paddlepier::execution
