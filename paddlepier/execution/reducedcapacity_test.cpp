// Workers whose room shrinks below what they have promised, and grows again.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

class ShrinkingRoomFixture : public DispatcherFixture
{
public:
    /** The worker says so; from then on the stand-in holds starts to it. */
    void setRoom(const std::string &worker, std::uint32_t processors)
    {
        work::RegisterWorkerT registration = this->state.findWorker({worker})->registration;
        registration.capacity = std::make_unique<work::Demand>(processors, 10'000, 0);
        registration.sequence = ++this->sequence;
        this->apply(std::move(registration));
        this->workers.workers[worker].capacity = processors;
        this->dispatcher->noteChange();
    }

    std::size_t runsOn(const std::string &worker)
    {
        return this->workers.workers[worker].runs.size();
    }

    std::uint64_t sequence = 1;
};

} // namespace

TEST_CASE_METHOD(ShrinkingRoomFixture, "roomThatShrinksBelowItsRuns_getsNothingUntilTheyFit")
{
    this->addWorker("w1");
    this->newLeader();
    this->runFor(absl::Seconds(1));
    this->addJob("long", 4, 4000);
    REQUIRE(this->runUntil([this] { return this->runsOn("w1") == 4; }, absl::Seconds(2)));
    this->setRoom("w1", 2000);
    this->addJob("next", 2, 500);
    this->runFor(absl::Seconds(2));
    CHECK(this->runsOn("w1") == 4);
    CHECK(this->runUntil([this] { return this->isCompleted("long") && this->isCompleted("next"); }, absl::Seconds(10)));
    CHECK(this->workers.problems.empty());
}

TEST_CASE_METHOD(ShrinkingRoomFixture, "startsUnderWay_whenTheRoomShrinks_goElsewhere")
{
    this->addWorker("w1");
    this->newLeader();
    this->runFor(absl::Seconds(1));
    this->weather.lostBefore = 100;
    this->addJob("a", 4, 800);
    REQUIRE(this->runUntil([this] { return this->state.findWorker({"w1"})->runs.size() == 4; }, absl::Seconds(1)));
    this->setRoom("w1", 1500);
    this->weather.lostBefore = 0;
    this->addWorker("w2");
    this->dispatcher->noteChange();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(20)));
    CHECK(this->workers.problems.empty());
}

TEST_CASE_METHOD(ShrinkingRoomFixture, "gangWhoseWorkersShrink_beforeAllHaveBegun_beginsElsewhereAsAWhole")
{
    for (const char *id : {"w1", "w2"}) {
        this->addWorker(id, 2000);
    }
    this->newLeader();
    this->runFor(absl::Seconds(1));
    this->weather.lostBefore = 60;
    this->addJob("a", 4, 800, 1, false, true);
    REQUIRE(this->runUntil([this] { return this->state.findWorker({"w1"})->runs.size() == 2; }, absl::Seconds(1)));
    this->setRoom("w1", 1000);
    this->weather.lostBefore = 0;
    this->addWorker("w3", 4000);
    this->dispatcher->noteChange();
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(30)));
    CHECK(this->workers.problems.empty());
}

TEST_CASE_METHOD(ShrinkingRoomFixture, "roomThatGrowsAgain_isUsed")
{
    this->addWorker("w1");
    this->newLeader();
    this->runFor(absl::Seconds(1));
    this->setRoom("w1", 0);
    this->addJob("a", 4, 500);
    this->runFor(absl::Seconds(3));
    CHECK(this->workers.starts == 0);
    this->setRoom("w1", 4000);
    CHECK(this->runUntil([this] { return this->isCompleted("a"); }, absl::Seconds(3)));
}

TEST_CASE_METHOD(ShrinkingRoomFixture, "announcementOfTheFormerRoom_heldUpUntilAfterTheNext_changesNothing")
{
    this->addWorker("w1");
    this->newLeader();
    const work::RegisterWorkerT former = this->state.findWorker({"w1"})->registration;
    this->setRoom("w1", 1000);
    this->apply(work::RegisterWorkerT(former));
    CHECK(this->state.findWorker({"w1"})->registration.capacity->milliProcessors() == 1000);
}

TEST_CASE_METHOD(ShrinkingRoomFixture, "roomsThatShrinkAndGrowAtRandom_whileOrdersGoAstray_areKeptTo")
{
    for (int number = 0; number < 8; ++number) {
        this->addWorker(absl::StrCat("w", number));
    }
    this->newLeader();
    this->weather.lostBefore = 10;
    this->weather.lostAfter = 10;
    for (int round = 0; round < 40; ++round) {
        this->addJob(absl::StrCat("job-", round), 1 + this->random() % 8, 200 + this->random() % 1500, 1, round % 3 == 0, round % 7 == 0);
        this->setRoom(absl::StrCat("w", this->random() % 8), 1000 * (this->random() % 5));
        if (round % 10 == 9) {
            this->newLeader();
        }
        this->runFor(absl::Milliseconds(400));
    }
    this->weather = {};
    for (int number = 0; number < 8; ++number) {
        this->setRoom(absl::StrCat("w", number), 4000);
    }
    for (int round = 0; round < 40; ++round) {
        CHECK(this->runUntil([&] { return this->isCompleted(absl::StrCat("job-", round)); }));
    }
    CHECK(this->workers.problems.empty());
}

} // namespace paddlepier::execution
