// Distribution of advice requests over callers. Without the reserved callers, short requests queue behind long ones and
// are answered too late; a caller that is gone or failed must get no requests.

#include "paddlepier/cluster/advicecallerpool.h"

#include <catch2/catch.hpp>

namespace paddlepier::cluster
{

namespace
{

class AdviceCallerPoolFixture
{
public:
    AdviceCallerPoolFixture()
    {
        for (const char *name : {"a", "b", "c", "d"}) {
            this->callers.markAlive(this->now, name);
        }
    }

    AdviceCallerPool callers;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

TEST_CASE_METHOD(AdviceCallerPoolFixture, "assignCaller_allCallersBusyTooLong_returnsNone")
{
    int accepted = 0;
    while (accepted < 100 && !this->callers.assignCaller(this->now, absl::Milliseconds(500)).instance.empty()) {
        ++accepted;
    }
    // Three of the four callers accept long requests, one each: a second one would queue for half a second.
    CHECK(accepted == 3);
    CHECK_FALSE(this->callers.assignCaller(this->now, absl::Milliseconds(20)).instance.empty());
    CHECK_FALSE(this->callers.assignCaller(this->now + absl::Milliseconds(400), absl::Milliseconds(500)).instance.empty());
}

TEST_CASE_METHOD(AdviceCallerPoolFixture, "availableForLong_busyOrFailedCallers_countsOnlyCallersAcceptingLongRequests")
{
    CHECK(this->callers.availableForLong(this->now) == 3);
    const std::string busy = this->callers.assignCaller(this->now, absl::Milliseconds(500)).instance;
    CHECK(this->callers.availableForLong(this->now) == 2);
    CHECK(this->callers.availableForLong(this->now + absl::Milliseconds(300)) == 3);
    this->callers.recordFailure(this->now, busy);
    CHECK(this->callers.availableForLong(this->now + absl::Milliseconds(300)) == 2);
    CHECK(this->callers.availableForLong(this->now + absl::Seconds(5)) == 0);
}

TEST_CASE_METHOD(AdviceCallerPoolFixture, "assignCaller_callersNotSeenRecently_usesOnlyReachableOne")
{
    this->now += absl::Seconds(5);
    CHECK(this->callers.assignCaller(this->now, absl::Milliseconds(20)).instance.empty());
    this->callers.markAlive(this->now, "c");
    CHECK(this->callers.assignCaller(this->now, absl::Milliseconds(20)).instance == "c");
}

TEST_CASE_METHOD(AdviceCallerPoolFixture, "assignCaller_afterFailure_avoidsThatCaller")
{
    const std::string first = this->callers.assignCaller(this->now, absl::Milliseconds(20)).instance;
    this->callers.recordCompletion(this->now, first, absl::Milliseconds(20));
    this->callers.recordFailure(this->now, first);
    for (int question = 0; question < 6; ++question) {
        CHECK(this->callers.assignCaller(this->now, absl::Milliseconds(20)).instance != first);
    }
}

} // namespace paddlepier::cluster
