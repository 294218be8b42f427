// What is due, in the order of its time.

#include "paddlepier/execution/timerqueue.h"

#include <catch2/catch.hpp>

#include <string>

namespace paddlepier::execution
{

namespace
{

class DueQueueFixture
{
public:
    const Timestamp begin = absl::UnixEpoch();
    DueQueue<std::string> queue;
};

} // namespace

TEST_CASE_METHOD(DueQueueFixture, "take_withSeveralDue_givesTheLongestDueFirstAndOnce")
{
    this->queue.set("late", this->begin + absl::Seconds(2));
    this->queue.set("early", this->begin + absl::Seconds(1));
    this->queue.set("future", this->begin + absl::Seconds(9));
    const Timestamp now = this->begin + absl::Seconds(3);
    CHECK(this->queue.take(now) == "early");
    CHECK(this->queue.take(now) == "late");
    CHECK_FALSE(this->queue.take(now));
}

TEST_CASE_METHOD(DueQueueFixture, "set_ofAKeyThatIsThere_movesIt")
{
    this->queue.set("a", this->begin);
    this->queue.set("a", this->begin + absl::Seconds(2));
    CHECK_FALSE(this->queue.take(this->begin + absl::Seconds(1)));
    this->queue.set("a", this->begin);
    CHECK(this->queue.take(this->begin) == "a");
    CHECK_FALSE(this->queue.take(absl::InfiniteFuture()));
}

} // namespace paddlepier::execution
