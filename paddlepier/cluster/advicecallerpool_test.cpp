// Distribution of advice requests over callers. Without the reserved callers, short requests queue behind long ones and
// are answered too late; a caller that is gone or failed must get no requests. Without the measured overhead, slow callers
// get as many requests as fast ones, and with a fixed order the first callers get nearly all.

#include "paddlepier/cluster/advicecallerpool.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

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

    /** Sends requests of this cost one after another, @p interval apart; each caller adds its overhead. @return requests by caller */
    std::map<std::string, int> run(int requests, Duration cost, Duration interval)
    {
        std::map<std::string, int> used;
        for (int request = 0; request < requests; ++request) {
            for (const auto &[name, overhead] : this->overheads) {
                this->callers.markAlive(this->now, name);
            }
            const AssignedCaller assigned = this->callers.assignCaller(this->now, cost);
            REQUIRE_FALSE(assigned.instance.empty());
            ++used[assigned.instance];
            this->callers.recordAnswer(this->now + cost + this->overheads[assigned.instance], assigned);
            this->now += cost + interval;
        }
        return used;
    }

    AdviceCallerPool callers;
    std::map<std::string, Duration> overheads{{"a", {}}, {"b", {}}, {"c", {}}, {"d", {}}};
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
    const AssignedCaller busy = this->callers.assignCaller(this->now, absl::Milliseconds(500));
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
    const AssignedCaller first = this->callers.assignCaller(this->now, absl::Milliseconds(20));
    this->callers.recordFailure(this->now, first);
    for (int question = 0; question < 6; ++question) {
        CHECK(this->callers.assignCaller(this->now, absl::Milliseconds(20)).instance != first.instance);
    }
}

// Guards against a fixed order, which sent nearly all short requests through the caller with the first name.
TEST_CASE_METHOD(AdviceCallerPoolFixture, "assignCaller_equalCallers_usesThemEvenly")
{
    for (const Duration cost : {absl::Milliseconds(20), absl::Milliseconds(500)}) {
        for (const auto &[name, requests] : this->run(100, cost, absl::Milliseconds(5))) {
            CHECK(requests == 25);
        }
    }
}

// Guards against callers with a third of the processor share getting as many requests as the others.
TEST_CASE_METHOD(AdviceCallerPoolFixture, "assignCaller_slowCallers_usesFastOnesAndTriesSlowOnesAgain")
{
    this->overheads = {{"a", absl::Milliseconds(90)}, {"b", absl::Milliseconds(30)}, {"c", absl::Milliseconds(28)}, {"d", absl::Milliseconds(90)}};
    std::map<std::string, int> used = this->run(2000, absl::Milliseconds(15), absl::Milliseconds(15));
    CHECK(used["b"] + used["c"] > 1900);
    CHECK(used["b"] > 700);
    CHECK(used["c"] > 700);
    CHECK(used["a"] >= 2);
    CHECK(used["d"] >= 2);
    // A caller that has become fast is found, and used like the others.
    this->overheads["a"] = absl::Milliseconds(28);
    this->run(1000, absl::Milliseconds(15), absl::Milliseconds(15));
    used = this->run(300, absl::Milliseconds(15), absl::Milliseconds(15));
    CHECK(used["a"] > 70);
}

// Guards against long requests on callers that are fast for short ones only, for example because their link is lossy.
TEST_CASE_METHOD(AdviceCallerPoolFixture, "assignCaller_longRequestsLateOnOneCaller_usesItForShortOnes")
{
    this->overheads["b"] = absl::Milliseconds(400);
    this->run(8, absl::Milliseconds(500), absl::Milliseconds(20));
    CHECK(this->callers.overheadOf(this->now, "b", true) > absl::Milliseconds(200));
    this->overheads["b"] = absl::ZeroDuration();
    CHECK(this->run(40, absl::Milliseconds(20), absl::ZeroDuration())["b"] > 5);
    CHECK(this->run(8, absl::Milliseconds(500), absl::Milliseconds(20))["b"] == 0);
}

// Guards against long requests occupying the callers that answer short ones fastest.
TEST_CASE_METHOD(AdviceCallerPoolFixture, "assignCaller_longRequests_leavesFastestCallerToShortOnes")
{
    this->overheads = {{"a", absl::Milliseconds(60)}, {"b", absl::Milliseconds(60)}, {"c", {}}, {"d", absl::Milliseconds(60)}};
    this->run(20, absl::Milliseconds(20), absl::Milliseconds(5));
    for (int request = 0; request < 3; ++request) {
        CHECK(this->callers.assignCaller(this->now, absl::Milliseconds(500)).instance != "c");
    }
    CHECK(this->callers.availableForLong(this->now) == 0);
    CHECK(this->callers.assignCaller(this->now, absl::Milliseconds(20)).instance == "c");
}

// Guards against an unanswered request leaving no trace once the failure avoidance has ended.
TEST_CASE_METHOD(AdviceCallerPoolFixture, "recordFailure_afterAvoidance_stillPrefersOthers")
{
    const AssignedCaller lost = this->callers.assignCaller(this->now, absl::Milliseconds(20));
    this->now += absl::Milliseconds(200);
    this->callers.recordFailure(this->now, lost);
    this->now += absl::Seconds(2);
    CHECK(this->run(60, absl::Milliseconds(20), absl::Milliseconds(10))[lost.instance] == 0);
}

// Guards against requests queueing behind one whose answer is overdue, as if its caller were idle.
TEST_CASE_METHOD(AdviceCallerPoolFixture, "assignCaller_requestOverdue_avoidsItsCaller")
{
    const std::string late = this->callers.assignCaller(this->now, absl::Milliseconds(20)).instance;
    this->now += absl::Milliseconds(100);
    CHECK(this->run(8, absl::Milliseconds(20), absl::Milliseconds(5))[late] == 0);
}

} // namespace paddlepier::cluster
