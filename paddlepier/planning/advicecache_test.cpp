// How long tickets of the policy service are used.

#include "paddlepier/planning/advicecache.h"

#include <catch2/catch.hpp>

namespace paddlepier::planning
{

namespace
{

class AdviceBookFixture
{
public:
    AdviceBookFixture()
    {
        this->policy.decisionMillis = 50;
        this->policy.perWorkerMillis = 10;
        this->policy.validMillis = 2000;
    }

    /** Asks about one worker, which takes the service 60 ms, and takes the answer after @p delay. */
    void askAndAnswer(Duration delay)
    {
        const execution::AdviceQuestion question = this->book.ask(this->now, this->step, "queue", {this->worker}, this->policy);
        this->now += delay;
        execution::AdviceAnswer answer;
        answer.isAnswered = true;
        answer.good.emplace_back().worker = this->worker.id;
        this->book.answer(this->now, question.id, answer);
    }

    bool hasTicketAt(Timestamp at) const
    {
        return this->book.validTicket(at, this->step, this->worker) != nullptr;
    }

    const workload::StepKey step{"job", 0, 0};
    const workload::Life worker{"w1", 1};
    work::AdvicePolicyT policy;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    AdviceBook book;
};

} // namespace

TEST_CASE_METHOD(AdviceBookFixture, "ticket_ofAnAnswerThatWasLongOnItsWay_endsAsIfItHadComeAtOnce")
{
    const Timestamp asked = this->now;
    this->askAndAnswer(absl::Milliseconds(700));
    CHECK(this->hasTicketAt(this->now));
    // The service gave it after 60 ms at the earliest, and 250 ms are left for the order.
    CHECK(this->hasTicketAt(asked + absl::Milliseconds(1800)));
    CHECK_FALSE(this->hasTicketAt(asked + absl::Milliseconds(1820)));
}

TEST_CASE_METHOD(AdviceBookFixture, "ticket_ofAnAnswerThatCameEarly_countsFromTheAnswer")
{
    this->askAndAnswer(absl::Milliseconds(20));
    CHECK(this->hasTicketAt(this->now + absl::Milliseconds(1740)));
    CHECK_FALSE(this->hasTicketAt(this->now + absl::Milliseconds(1760)));
}

} // namespace paddlepier::planning
