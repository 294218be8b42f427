// Sharing of questions over callers.

#include "paddlepier/cluster/advicecallerpool.h"

#include <catch2/catch.hpp>

namespace paddlepier::cluster
{

namespace
{

class AdviceCallersFixture
{
public:
    AdviceCallersFixture()
    {
        for (const char *name : {"a", "b", "c", "d"}) {
            this->callers.noteAlive(this->now, name);
        }
    }

    AdviceCallers callers;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE_METHOD(AdviceCallersFixture, "choose_allCallersBusyForLong_isNobody")
{
    int taken = 0;
    while (taken < 100 && !this->callers.choose(this->now, absl::Milliseconds(500)).instance.empty()) {
        ++taken;
    }
    // Three of the four callers take long questions, one each: a second would wait for half a second.
    CHECK(taken == 3);
    CHECK_FALSE(this->callers.choose(this->now, absl::Milliseconds(20)).instance.empty());
    CHECK_FALSE(this->callers.choose(this->now + absl::Milliseconds(400), absl::Milliseconds(500)).instance.empty());
}

TEST_CASE_METHOD(AdviceCallersFixture, "freeForLong_isAsManyAsWouldTakeALongQuestion")
{
    CHECK(this->callers.freeForLong(this->now) == 3);
    const std::string busy = this->callers.choose(this->now, absl::Milliseconds(500)).instance;
    CHECK(this->callers.freeForLong(this->now) == 2);
    CHECK(this->callers.freeForLong(this->now + absl::Milliseconds(300)) == 3);
    this->callers.noteFailure(this->now, busy);
    CHECK(this->callers.freeForLong(this->now + absl::Milliseconds(300)) == 2);
    CHECK(this->callers.freeForLong(this->now + absl::Seconds(5)) == 0);
}

TEST_CASE_METHOD(AdviceCallersFixture, "choose_callerNotSeenForLong_isAnother")
{
    this->now += absl::Seconds(5);
    CHECK(this->callers.choose(this->now, absl::Milliseconds(20)).instance.empty());
    this->callers.noteAlive(this->now, "c");
    CHECK(this->callers.choose(this->now, absl::Milliseconds(20)).instance == "c");
}

TEST_CASE_METHOD(AdviceCallersFixture, "choose_callerThatFailed_isAnotherForAWhile")
{
    const std::string first = this->callers.choose(this->now, absl::Milliseconds(20)).instance;
    this->callers.noteEnd(this->now, first, absl::Milliseconds(20));
    this->callers.noteFailure(this->now, first);
    for (int question = 0; question < 6; ++question) {
        CHECK(this->callers.choose(this->now, absl::Milliseconds(20)).instance != first);
    }
}

} // namespace paddlepier::cluster
