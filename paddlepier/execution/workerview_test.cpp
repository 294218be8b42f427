// WorkerView: leases on a slow clock, suspicion after failures, and unresponsive workers.

#include "paddlepier/execution/workerview.h"

#include <catch2/catch.hpp>

namespace paddlepier::execution
{

namespace
{

class WorkerViewFixture
{
public:
    static constexpr Duration lease = absl::Seconds(10);
    const Timestamp begin = absl::UnixEpoch() + absl::Hours(1);
    WorkerView view{begin, lease};
};

} // namespace

TEST_CASE_METHOD(WorkerViewFixture, "lease_ofEarlierLeaders_expiresOnlyAfterTheLongestOne")
{
    CHECK_FALSE(this->view.hasLeaseExpired(this->begin + lease));
    CHECK(this->view.hasLeaseExpired(this->begin + lease + absl::Seconds(1)));
}

TEST_CASE_METHOD(WorkerViewFixture, "lease_onASlowClock_expiresOnlyWhenThatClockIsPastIt")
{
    const Timestamp later = this->begin + absl::Seconds(60);
    this->view.recordAnswer(later, 5000);
    this->view.recordLease(this->view.leaseEnd(later, lease));
    // A clock that is 2 % slow reaches the lease's end 200 ms late.
    CHECK_FALSE(this->view.hasLeaseExpired(later + lease + absl::Milliseconds(200)));
    CHECK(this->view.hasLeaseExpired(later + lease + absl::Seconds(1)));
}

TEST_CASE_METHOD(WorkerViewFixture, "leaseEnd_afterAnOlderReading_isNotShortened")
{
    this->view.recordAnswer(this->begin, 5000);
    const std::int64_t end = this->view.leaseEnd(this->begin, lease);
    this->view.recordAnswer(this->begin + absl::Milliseconds(10), 4990);
    CHECK(this->view.leaseEnd(this->begin + absl::Milliseconds(10), lease) >= end);
}

TEST_CASE_METHOD(WorkerViewFixture, "suspicion_afterConsecutiveFailures_doublesAndIsBounded")
{
    this->view.recordFailedRun(this->begin, {"failing", 0, 0}, true);
    const Duration first = this->view.suspectUntil - this->begin;
    this->view.recordFailedRun(this->begin, {"failing", 0, 0}, true);
    CHECK(this->view.suspectUntil - this->begin == 2 * first);
    for (int failure = 0; failure < 40; ++failure) {
        this->view.recordFailedRun(this->begin, {"failing", 0, 0}, true);
    }
    CHECK(this->view.suspectUntil - this->begin < absl::Seconds(20));
    this->view.recordDoneRun();
    CHECK(this->view.consecutiveFailures == 0);
}

TEST_CASE_METHOD(WorkerViewFixture, "isMinority_withHalfOfTheViewsOrMore_isFalse")
{
    const auto isSilent = [](const WorkerView &candidate) { return candidate.isUnresponsive(); };
    WorkerViews views;
    for (const char *id : {"w1", "w2", "w3", "w4"}) {
        views.try_emplace({id}, this->begin, lease);
    }
    views.at({"w1"}).recordFailedCall(this->begin);
    CHECK(isMinority(views, isSilent));
    views.at({"w2"}).recordFailedCall(this->begin);
    CHECK_FALSE(isMinority(views, isSilent));
}

} // namespace paddlepier::execution
