// Advice answers kept for a new leader. Without them a new leader requests again, at up to a second each, what the old one
// knew. An answer that is dropped after a lost call, or kept without bound, is as bad.

#include "paddlepier/cluster/adviceanswerlog.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <set>

namespace paddlepier::cluster
{

namespace
{

class AdviceAnswerLogFixture
{
public:
    /** Records an answer to the leader of @p term that permits every second one of @p workers workers. */
    void answer(const std::string &step, std::uint64_t term, int workers = 2)
    {
        work::AdviceCallT call;
        call.step = step;
        call.term = term;
        execution::AdviceAnswer answer;
        answer.isAnswered = true;
        for (int index = 0; index < workers; ++index) {
            call.workers.push_back(absl::StrCat("worker-with-an-id-", index));
            call.born.push_back(1000 + index);
            if (index % 2 == 0) {
                answer.tickets.emplace_back().worker = call.workers.back();
            }
        }
        this->log.record(this->now, call, answer);
    }

    std::vector<std::string> pendingSteps()
    {
        std::vector<std::string> steps;
        for (const auto &answer : this->log.pendingBatch(this->now).answers) {
            steps.push_back(answer->step);
        }
        return steps;
    }

    using Steps = std::vector<std::string>;

    AdviceAnswerLog log;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

// Guards against sending each answer twice while the leader doesn't change.
TEST_CASE_METHOD(AdviceAnswerLogFixture, "pendingBatch_sameTerm_isEmpty")
{
    this->answer("j.0.0", 7);
    this->log.acknowledge(7, {});
    CHECK(this->pendingSteps().empty());
}

TEST_CASE_METHOD(AdviceAnswerLogFixture, "pendingBatch_newTerm_hasAnswersNewestFirstWithIncarnations")
{
    this->answer("j.0.0", 7);
    this->answer("j.0.1", 7);
    this->log.acknowledge(8, {});
    CHECK(this->pendingSteps() == Steps{"j.0.1", "j.0.0"});
    const auto batch = this->log.pendingBatch(this->now);
    CHECK(batch.answers[0]->born == std::vector<std::uint64_t>{1000, 1001});
    CHECK(batch.answers[0]->isPermitted == std::vector<bool>{true, false});
}

// Guards against losing answers with a presence call that got no reply, and against an acknowledgement that is taken for a later term's.
TEST_CASE_METHOD(AdviceAnswerLogFixture, "pendingBatch_callLost_repeatsUntilAcknowledgedInEachTerm")
{
    this->answer("j.0.0", 7);
    this->log.acknowledge(8, {});
    const auto lost = this->log.pendingBatch(this->now);
    CHECK(this->pendingSteps() == Steps{"j.0.0"});
    this->log.acknowledge(8, lost.numbers);
    CHECK(this->pendingSteps().empty());
    this->log.acknowledge(9, {});
    CHECK(this->pendingSteps() == Steps{"j.0.0"});
    // The late reply of an earlier leader.
    this->log.acknowledge(8, lost.numbers);
    CHECK(this->pendingSteps() == Steps{"j.0.0"});
}

// Guards against an old build that leads: it ignores the answers, and would be sent the same ones with each call.
TEST_CASE_METHOD(AdviceAnswerLogFixture, "pendingBatch_leaderWithoutTerm_isEmpty")
{
    this->answer("j.0.0", 7);
    this->log.acknowledge(8, {});
    this->log.acknowledge(0, this->log.pendingBatch(this->now).numbers);
    CHECK(this->pendingSteps().empty());
    this->log.acknowledge(9, {});
    CHECK(this->pendingSteps() == Steps{"j.0.0"});
}

// Guards against presence calls that grow with the log, and against answers that are never sent because newer ones fill each call.
TEST_CASE_METHOD(AdviceAnswerLogFixture, "pendingBatch_manyAnswers_sendsAllInBoundedCalls")
{
    for (int step = 0; step < 60; ++step) {
        this->answer(absl::StrCat("0123456789abcdef.0.", step), 7, 60);
    }
    this->log.acknowledge(8, {});
    std::set<std::string> received;
    for (int call = 0; call < 60 && received.size() < 60; ++call) {
        AdviceAnswerLog::Batch batch = this->log.pendingBatch(this->now);
        REQUIRE_FALSE(batch.answers.empty());
        for (const auto &answer : batch.answers) {
            received.insert(answer->step);
        }
        work::PresenceCallT presence;
        presence.answers = std::move(batch.answers);
        CHECK(wire::pack(presence).size() <= AdviceAnswerLog::maxBatchBytes);
        this->log.acknowledge(8, batch.numbers);
    }
    CHECK(received.size() == 60);
}

TEST_CASE_METHOD(AdviceAnswerLogFixture, "record_oldOrTooManyAnswers_keepsRecentOnes")
{
    this->answer("old.0.0", 7);
    this->now += absl::Seconds(61);
    this->log.acknowledge(8, {});
    CHECK(this->pendingSteps().empty());
    for (int step = 0; step < 5000; ++step) {
        this->answer(absl::StrCat("j.0.", step), 8, 30);
    }
    this->log.acknowledge(9, {});
    std::size_t total = 0;
    for (auto batch = this->log.pendingBatch(this->now); !batch.answers.empty(); batch = this->log.pendingBatch(this->now)) {
        total += batch.answers.size();
        this->log.acknowledge(9, batch.numbers);
    }
    CHECK(total > 100);
    CHECK(total <= 500);
}

// Guards against an answer without start times, which could be taken for one about a restarted worker.
TEST_CASE_METHOD(AdviceAnswerLogFixture, "record_callWithoutStartTimes_keepsNothing")
{
    work::AdviceCallT call;
    call.step = "j.0.0";
    call.workers = {"w"};
    call.term = 7;
    execution::AdviceAnswer answer;
    answer.isAnswered = true;
    this->log.record(this->now, call, answer);
    this->log.acknowledge(8, {});
    CHECK(this->pendingSteps().empty());
}

} // namespace paddlepier::cluster
