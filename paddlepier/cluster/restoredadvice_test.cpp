// A new leader gets the advice answers of earlier terms from the instances that relayed them. Without this it requests the
// same advice again, and gangs wait a second for each answer; an answer that is applied to another incarnation would place
// tasks on workers that may not run them.

#include "paddlepier/cluster/adviceanswerlog.h"
#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <set>

namespace paddlepier::cluster
{

namespace
{

class RestoredAdviceFixture : public execution::DispatcherFixture
{
public:
    RestoredAdviceFixture()
    {
        this->queueOfJobs = "advised";
        this->isPermitted = [](const workload::StepKey &, const std::string &) { return false; };
        this->onAdvice = [this](const execution::AdviceRequest &request, const execution::AdviceAnswer &answer) {
            work::AdviceCallT call;
            call.step = request.step.text();
            call.term = this->leaderTerm;
            for (const workload::Incarnation &worker : request.workers) {
                call.workers.push_back(worker.id);
                call.born.push_back(worker.born);
                this->requested[request.step.job].insert(worker.id);
            }
            // The answers about each job are relayed by one instance.
            const auto instance = static_cast<std::size_t>(request.step.job.back() - '1');
            this->instances[instance].record(this->now, call, answer);
        };
        for (int number = 1; number <= 6; ++number) {
            this->addWorker(absl::StrCat("w", number), 4000, "", true);
        }
        this->startTerm();
        this->runFor(absl::Seconds(1));
    }

    void startTerm()
    {
        this->electLeader();
        ++this->leaderTerm;
        this->requested.clear();
    }

    /** One presence call of an instance to the leader, whose reply may be lost. @return the number of answers that were new to the leader */
    int reportPresence(AdviceAnswerLog &instance, bool isReplyLost = false)
    {
        const AdviceAnswerLog::Batch batch = instance.pendingBatch(this->now);
        int restored = 0;
        for (const auto &answer : batch.answers) {
            restored += this->dispatcher->restoreAdvice(*answer) ? 1 : 0;
        }
        if (!isReplyLost) {
            instance.acknowledge(this->leaderTerm, batch.numbers);
        }
        return restored;
    }

    std::uint64_t leaderTerm = 0;
    std::array<AdviceAnswerLog, 3> instances;
    /** Workers that this leader's requests have named, by job. */
    std::map<std::string, std::set<std::string>> requested;
};

} // namespace

// Guards against requesting again what surviving instances know, and against a lost instance's steps never being requested again.
TEST_CASE_METHOD(RestoredAdviceFixture, "leaderChange_oneOfThreeInstancesLost_requestsOnlyItsAnswersAgain")
{
    for (const char *job : {"job1", "job2", "job3"}) {
        this->addJob(job, 1, 1000);
    }
    this->runFor(absl::Seconds(1));
    REQUIRE(this->requested.size() == 3);
    this->startTerm();
    this->instances[2] = AdviceAnswerLog();
    for (AdviceAnswerLog &instance : this->instances) {
        // The first reply tells the instance that the term has changed.
        CHECK(this->reportPresence(instance) == 0);
    }
    CHECK(this->reportPresence(this->instances[0], true) == 1);
    // The reply was lost: the answers are sent again, and change nothing.
    CHECK(this->instances[0].pendingBatch(this->now).answers.size() == 1);
    CHECK(this->reportPresence(this->instances[0]) == 0);
    CHECK(this->reportPresence(this->instances[1]) == 1);
    CHECK(this->reportPresence(this->instances[2]) == 0);
    CHECK(this->reportPresence(this->instances[0]) == 0);
    this->runFor(absl::Seconds(1));
    CHECK_FALSE(this->requested.contains("job1"));
    CHECK_FALSE(this->requested.contains("job2"));
    CHECK(this->requested["job3"].size() == 6);
}

// Guards against starts without a valid ticket, and against naming forbidden workers again.
TEST_CASE_METHOD(RestoredAdviceFixture, "restoredPermission_withoutTicket_isRenewedBeforeTheStart")
{
    this->isPermitted = [](const workload::StepKey &, const std::string &worker) { return worker == "w1"; };
    this->addJob("job1", 1, 1000);
    REQUIRE(this->runUntil([this] { return !this->requested["job1"].empty(); }, absl::Seconds(1)));
    this->startTerm();
    this->reportPresence(this->instances[0]);
    CHECK(this->reportPresence(this->instances[0]) == 1);
    CHECK(this->runUntil([this] { return this->isCompleted("job1"); }, absl::Seconds(5)));
    CHECK(this->requested["job1"] == std::set<std::string>{"w1"});
    CHECK(this->workers.violations.empty());
}

// Guards against an answer about an earlier incarnation being taken for one about its successor.
TEST_CASE_METHOD(RestoredAdviceFixture, "restoreAdvice_workerRestarted_ignoresItsEntry")
{
    this->addJob("job1", 1, 1000);
    this->runFor(absl::Seconds(1));
    this->startTerm();
    this->restartWorker("w2");
    this->reportPresence(this->instances[0]);
    CHECK(this->reportPresence(this->instances[0]) == 1);
    this->runFor(absl::Seconds(1));
    CHECK(this->requested["job1"] == std::set<std::string>{"w2"});
}

// Guards against state for steps that have ended or never existed, and against malformed entries.
TEST_CASE_METHOD(RestoredAdviceFixture, "restoreAdvice_unknownOrMalformed_isIgnored")
{
    this->addJob("job1", 1, 1000);
    work::RelayedAdviceT advice;
    advice.workers = {"w1"};
    advice.born = {this->incarnationOf("w1").born};
    advice.isPermitted = {true};
    for (const char *step : {"other.0.0", "job1.1.0", "job1.0.1", "job1.0", "job1.0.x", ""}) {
        advice.step = step;
        CHECK_FALSE(this->dispatcher->restoreAdvice(advice));
    }
    advice.step = "job1.0.0";
    advice.isPermitted = {};
    CHECK_FALSE(this->dispatcher->restoreAdvice(advice));
    advice.isPermitted = {true};
    advice.born = {this->incarnationOf("w1").born + 1};
    CHECK_FALSE(this->dispatcher->restoreAdvice(advice));
    advice.born = {this->incarnationOf("w1").born};
    CHECK(this->dispatcher->restoreAdvice(advice));
}

} // namespace paddlepier::cluster
