// TimerQueue: order of expiry, and rescheduling of keys.

#include "paddlepier/execution/timerqueue.h"

#include <catch2/catch.hpp>

#include <string>

namespace paddlepier::execution
{

namespace
{

class TimerQueueFixture
{
public:
    const Timestamp begin = absl::UnixEpoch();
    TimerQueue<std::string> queue;
};

} // namespace

TEST_CASE_METHOD(TimerQueueFixture, "popExpired_withSeveralDue_returnsTheLongestDueFirstAndOnce")
{
    this->queue.schedule("late", this->begin + absl::Seconds(2));
    this->queue.schedule("early", this->begin + absl::Seconds(1));
    this->queue.schedule("future", this->begin + absl::Seconds(9));
    const Timestamp now = this->begin + absl::Seconds(3);
    CHECK(this->queue.popExpired(now) == "early");
    CHECK(this->queue.popExpired(now) == "late");
    CHECK_FALSE(this->queue.popExpired(now));
}

TEST_CASE_METHOD(TimerQueueFixture, "schedule_ofAScheduledKey_movesIt")
{
    this->queue.schedule("a", this->begin);
    this->queue.schedule("a", this->begin + absl::Seconds(2));
    CHECK_FALSE(this->queue.popExpired(this->begin + absl::Seconds(1)));
    this->queue.schedule("a", this->begin);
    CHECK(this->queue.popExpired(this->begin) == "a");
    CHECK_FALSE(this->queue.popExpired(absl::InfiniteFuture()));
}

TEST_CASE_METHOD(TimerQueueFixture, "advance_ofAScheduledKey_movesItToAnEarlierTimeOnly")
{
    this->queue.schedule("a", this->begin + absl::Seconds(2));
    this->queue.advance("a", this->begin + absl::Seconds(3));
    CHECK_FALSE(this->queue.popExpired(this->begin + absl::Seconds(1)));
    CHECK(this->queue.popExpired(this->begin + absl::Seconds(2)) == "a");
    this->queue.advance("a", this->begin + absl::Seconds(9));
    this->queue.advance("a", this->begin + absl::Seconds(4));
    CHECK(this->queue.popExpired(this->begin + absl::Seconds(4)) == "a");
}

} // namespace paddlepier::execution
