// A leader whose process is slower than the orders and answers that it has to handle, in virtual time.
//
// Guards against an overloaded leader (12.1 of 13.1 s of control time in the dispatcher's step) that takes its own slowness for unresponsive
// workers: 26 to 38 polls a second time out while their answers lie unread, the next polls grant no lease, and ten seconds later healthy workers
// end their runs. Guards also against a next leader that sends a stop for each of 809 runs placed and not started, and is overloaded at once.

#include "paddlepier/execution/dispatcher.h"

#include "paddlepier/execution/fakeworkers.h"
#include "paddlepier/workload/applycommand.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <deque>
#include <memory>

namespace paddlepier::execution
{

namespace
{

/** Longer than any test, and short enough that the percentage rises between polls. */
constexpr std::uint32_t runMillis = 60'000;

/** A leader whose process handles orders and answers one after the other. */
class OverloadFixture
{
public:
    OverloadFixture()
        : workers([this](const workload::TaskKey &key) -> const work::StepSpecT & { return this->state.findJob(key.job)->stepSpec(key.step); })
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
        queue->name = "standing";
        queue->service = "pool";
        queue->maxAttempts = 3;
        configuration.services.emplace_back(std::make_unique<work::ServiceSpecT>())->name = "pool";
        this->apply(std::move(configuration));
    }

    /** Each worker has capacity for one task. */
    void addWorkers(std::uint32_t count)
    {
        for (std::uint32_t number = 0; number < count; ++number) {
            work::RegisterWorkerT registration;
            registration.id = absl::StrCat("w", number);
            registration.service = "pool";
            registration.address = registration.id;
            registration.capacity = std::make_unique<work::Demand>(1000, 10'000, 0);
            this->workers.workers[registration.id].capacity = 1000;
            this->apply(std::move(registration));
        }
    }

    void addJob(std::uint32_t tasks)
    {
        work::SubmitJobT command;
        command.id = "a";
        command.queue = "standing";
        command.spec = std::make_unique<work::JobSpecT>();
        auto &step = command.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = tasks;
        step->estimatedMillis = runMillis;
        step->demand = std::make_unique<work::Demand>(1000, 100, 0);
        this->apply(std::move(command));
        this->dispatcher->markChanged();
    }

    void electLeader()
    {
        this->commits.clear();
        this->orders.clear();
        this->answers.clear();
        this->dispatcher = std::make_unique<Dispatcher>(this->state, DispatchOptions(), ++this->term, this->now);
    }

    void runFor(Duration time)
    {
        for (const Timestamp end = this->now + time; this->now < end;) {
            this->step();
        }
    }

    template<typename Table>
    workload::Outcome apply(Table table)
    {
        return workload::applyCommand(this->state, absl::ToUnixMillis(this->now), std::move(table));
    }

    workload::Workload state;
    FakeWorkers workers;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::unique_ptr<Dispatcher> dispatcher;
    /** Elapsed time to handle one order or answer, given the process' share of a processor. */
    Duration cost = absl::ZeroDuration();
    /** The process neither sends nor reads. */
    bool isStuck = false;
    std::size_t stops = 0;

private:
    struct Commit {
        Timestamp at;
        Proposal proposal;
    };
    struct Answer {
        /** When it arrives at this process. */
        Timestamp at;
        Timestamp deadline;
        std::uint64_t call;
        WorkerAnswer answer;
    };

    void step()
    {
        this->now += absl::Milliseconds(10);
        this->workers.advance(this->now);
        this->commitDue();
        this->handleWithinBudget();
        DispatchEffects effects = this->dispatcher->step(this->now, absl::ToUnixMillis(this->now));
        for (Proposal &proposal : effects.proposals) {
            this->commits.push_back({this->now + absl::Milliseconds(20), std::move(proposal)});
        }
        for (WorkerCall &call : effects.calls) {
            this->stops += std::holds_alternative<StopOrder>(call.order) ? 1 : 0;
            this->orders.push_back(std::move(call));
        }
    }

    void commitDue()
    {
        while (!this->commits.empty() && this->commits.front().at <= this->now) {
            Commit commit = std::move(this->commits.front());
            this->commits.pop_front();
            work::EntryT entry;
            entry.atMillis = absl::ToUnixMillis(this->now);
            entry.command = std::move(commit.proposal.command);
            this->dispatcher->handleOutcome(this->now, commit.proposal.id, this->state.apply(entry));
        }
    }

    /** Orders and answers are handled alternately, as by the threads of a process. */
    void handleWithinBudget()
    {
        if (this->isStuck) {
            return;
        }
        for (this->freeAt = std::max(this->freeAt, this->now - absl::Milliseconds(10)); this->freeAt < this->now; this->freeAt += this->cost) {
            const bool hasSent = this->sendNext();
            const bool hasRead = this->readNext();
            if (!hasSent && !hasRead) {
                break;
            }
            this->freeAt += hasSent && hasRead ? this->cost : absl::ZeroDuration();
        }
    }

    bool sendNext()
    {
        if (this->orders.empty()) {
            return false;
        }
        const WorkerCall call = std::move(this->orders.front());
        this->orders.pop_front();
        const auto *poll = std::get_if<PollOrder>(&call.order);
        const Duration wait = poll == nullptr ? absl::ZeroDuration() : poll->wait;
        this->answers.push_back({this->now + wait + absl::Milliseconds(10), this->now + call.timeout, call.id, this->workers.execute(this->now, call)});
        return true;
    }

    bool readNext()
    {
        const auto due = std::find_if(this->answers.begin(), this->answers.end(), [this](const Answer &answer) { return answer.at <= this->now; });
        if (due == this->answers.end()) {
            return false;
        }
        const Answer answer = *due;
        this->answers.erase(due);
        this->dispatcher->handleAnswer(this->now, answer.call, this->now > answer.deadline ? WorkerAnswer() : answer.answer);
        return true;
    }

    std::uint64_t term = 0;
    std::deque<Commit> commits;
    std::deque<WorkerCall> orders;
    std::deque<Answer> answers;
    Timestamp freeAt = absl::InfinitePast();
};

} // namespace

TEST_CASE_METHOD(OverloadFixture, "lastingRuns_whileTheLeaderIsSlowerThanItsPolls_keepRunning")
{
    constexpr std::uint32_t workerCount = 120;
    this->addWorkers(workerCount);
    this->electLeader();
    this->addJob(workerCount);
    this->runFor(absl::Seconds(5));
    REQUIRE(this->workers.starts == workerCount);
    // 240 polls and as many answers a second would take 2.9 s of this process.
    this->cost = absl::Milliseconds(6);
    this->runFor(absl::Seconds(30));
    CHECK(this->workers.starts == workerCount);
    CHECK(this->stops == 0);
    CHECK(this->workers.violations.empty());
}

TEST_CASE_METHOD(OverloadFixture, "newLeader_withRunsThatWereNeverStarted_settlesThemWithoutAStopForEach")
{
    constexpr std::uint32_t workerCount = 120;
    this->addWorkers(workerCount);
    this->electLeader();
    this->runFor(absl::Seconds(1));
    this->addJob(workerCount);
    // The first leader is lost after its placements and before its starts.
    this->isStuck = true;
    this->runFor(absl::Milliseconds(500));
    this->isStuck = false;
    REQUIRE(this->state.findWorker({"w0"})->runs.size() == 1);
    this->electLeader();
    this->runFor(absl::Seconds(5));
    CHECK(this->stops == 0);
    CHECK(this->workers.starts == workerCount);
    CHECK(this->workers.violations.empty());
}

} // namespace paddlepier::execution
