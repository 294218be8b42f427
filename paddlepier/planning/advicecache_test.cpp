// How long tickets of the policy service are treated as valid.

#include "paddlepier/planning/advicecache.h"

#include <catch2/catch.hpp>

namespace paddlepier::planning
{

namespace
{

class AdviceCacheFixture
{
public:
    AdviceCacheFixture()
    {
        this->policy.decisionMillis = 50;
        this->policy.perWorkerMillis = 10;
        this->policy.validMillis = 2000;
    }

    /** Makes a request about one worker, which takes the service 60 ms, and records the answer after @p delay. */
    void requestAndAnswer(Duration delay)
    {
        const execution::AdviceRequest request = this->cache.request(this->now, this->step, "queue", {this->worker}, this->policy);
        this->now += delay;
        execution::AdviceAnswer answer;
        answer.isAnswered = true;
        answer.tickets.emplace_back().worker = this->worker.id;
        this->cache.recordAnswer(this->now, request.id, answer);
    }

    bool hasTicketAt(Timestamp at) const
    {
        return this->cache.validTicket(at, this->step, this->worker) != nullptr;
    }

    const workload::StepKey step{"job", 0, 0};
    const workload::Incarnation worker{"w1", 1};
    work::AdvicePolicyT policy;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    AdviceCache cache;
};

} // namespace

TEST_CASE_METHOD(AdviceCacheFixture, "ticket_ofADelayedAnswer_expiresAsIfItHadArrivedImmediately")
{
    const Timestamp requestedAt = this->now;
    this->requestAndAnswer(absl::Milliseconds(700));
    CHECK(this->hasTicketAt(this->now));
    // The service issued the ticket after 60 ms at the earliest, and the last 250 ms are left for the order.
    CHECK(this->hasTicketAt(requestedAt + absl::Milliseconds(1800)));
    CHECK_FALSE(this->hasTicketAt(requestedAt + absl::Milliseconds(1820)));
}

TEST_CASE_METHOD(AdviceCacheFixture, "ticket_ofAnEarlyAnswer_isValidFromTheAnswer")
{
    this->requestAndAnswer(absl::Milliseconds(20));
    CHECK(this->hasTicketAt(this->now + absl::Milliseconds(1740)));
    CHECK_FALSE(this->hasTicketAt(this->now + absl::Milliseconds(1760)));
}

// Guards against an older report that takes away a valid ticket, and against one that counts as a ticket.
TEST_CASE_METHOD(AdviceCacheFixture, "restore_knownAndNewWorkers_keepsTicketAndAddsNone")
{
    this->requestAndAnswer(absl::Milliseconds(20));
    CHECK_FALSE(this->cache.restore(this->step, this->worker, false));
    CHECK(this->hasTicketAt(this->now));
    const workload::Incarnation other{"w2", 1};
    CHECK(this->cache.restore(this->step, other, true));
    CHECK(this->cache.validTicket(absl::InfinitePast(), this->step, other) == nullptr);
    std::map<std::uint32_t, AdviceStatus> statuses;
    this->cache.visitStatuses(this->now, this->step, [&statuses](std::uint32_t number, AdviceStatus status) { statuses[number] = status; });
    CHECK(statuses[this->cache.numberOf(this->worker)] == AdviceStatus::Permitted);
    CHECK(statuses[this->cache.numberOf(other)] == AdviceStatus::Expired);
}

} // namespace paddlepier::planning
