// Base of the dispatcher's tests: a dispatcher with its ledger and its workers in virtual time.
//
// step() advances the time by 10 ms and executes the dispatcher's orders and proposals: an answer arrives after 10 ms unless a test
// sets another delay, a commit after 20 ms. Orders and answers are lost or delayed according to `networkFaults`.
//
// Thread safety: none.

#ifndef PADDLEPIER_EXECUTION_DISPATCHERFIXTURE_H
#define PADDLEPIER_EXECUTION_DISPATCHERFIXTURE_H

#include "paddlepier/execution/dispatcher.h"
#include "paddlepier/execution/fakeworkers.h"
#include "paddlepier/workload/applycommand.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace paddlepier::execution
{

/** Probabilities with which the network loses or delays orders, in per cent. */
struct NetworkFaults {
    unsigned int requestLossPercent = 0;
    unsigned int answerLossPercent = 0;
    unsigned int delayPercent = 0;
};

class DispatcherFixture
{
public:
    DispatcherFixture()
        : workers([this](const workload::TaskKey &key) -> const work::StepSpecT & { return this->state.findJob(key.job)->stepSpec(key.step); })
    {
        work::ChangeConfigurationT configuration;
        configuration.version = 1;
        auto &queue = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>());
        queue->name = "quick";
        queue->host = "jobs.example";
        queue->pathPrefix = "/quick/";
        queue->service = "pool";
        queue->maxAttempts = 3;
        auto &advised = configuration.queues.emplace_back(std::make_unique<work::QueueSpecT>(*queue));
        advised->name = "advised";
        advised->pathPrefix = "/advised/";
        advised->advice = std::make_unique<work::AdvicePolicyT>();
        advised->advice->decisionMillis = 50;
        advised->advice->perWorkerMillis = 1;
        advised->advice->validMillis = 2000;
        configuration.services.emplace_back(std::make_unique<work::ServiceSpecT>())->name = "pool";
        this->apply(std::move(configuration));
    }

    template<typename Table>
    workload::Outcome apply(Table table)
    {
        return workload::applyCommand(this->state, absl::ToUnixMillis(this->now), std::move(table));
    }

    /** @param reportsBirth whether the first incarnation reports its birth time, as later ones always do */
    void addWorker(const std::string &id, std::uint32_t processors = 4000, const std::string &address = "", bool reportsBirth = false)
    {
        work::RegisterWorkerT registration;
        registration.id = id;
        registration.born = reportsBirth ? static_cast<std::uint64_t>(absl::ToUnixMillis(this->now)) : 0;
        this->workers.workers[id].born = registration.born;
        registration.service = "pool";
        registration.address = address.empty() ? id : address;
        registration.capacity = std::make_unique<work::Demand>(processors, 10'000, 0);
        this->workers.workers[id].capacity = processors;
        this->registrations[id] = registration;
        this->apply(std::move(registration));
    }

    /** Restarts the worker under its id; the new incarnation announces itself. */
    void restartWorker(const std::string &id)
    {
        this->workers.restart(this->now, id);
        this->announce(id);
    }

    /** The current incarnation announces itself. */
    void announce(const std::string &id)
    {
        work::RegisterWorkerT &registration = this->registrations.at(id);
        // Each incarnation counts its announcements from 1.
        registration.sequence = registration.born == this->workers.workers[id].born ? registration.sequence + 1 : 1;
        registration.born = this->workers.workers[id].born;
        this->apply(registration);
        this->dispatcher->markChanged();
    }

    /** The current incarnation announces another capacity. */
    void setCapacity(const std::string &id, std::uint32_t processors)
    {
        this->registrations.at(id).capacity = std::make_unique<work::Demand>(processors, 10'000, 0);
        this->announce(id);
    }

    /** The incarnation under @p id that was announced last. */
    workload::Incarnation incarnationOf(const std::string &id) const
    {
        return workload::incarnationOf(this->state.findLatestWorker(id)->registration);
    }

    void addJob(const std::string &id, std::uint32_t tasks, std::uint32_t millis, std::uint32_t steps = 1, bool mayRunCopies = false, bool isGang = false)
    {
        work::SubmitJobT command;
        command.id = id;
        command.queue = this->queueOfJobs;
        command.spec = std::make_unique<work::JobSpecT>();
        for (std::uint32_t number = 0; number < steps; ++number) {
            auto &step = command.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
            step->count = tasks;
            step->estimatedMillis = millis;
            step->mayRunCopies = mayRunCopies;
            step->isGang = isGang;
            step->demand = std::make_unique<work::Demand>(1000, 100, 0);
            if (number > 0) {
                step->after = {number - 1};
            }
        }
        this->apply(std::move(command));
        if (this->dispatcher) {
            this->dispatcher->markChanged();
        }
    }

    /** Submits a job of one step; @p change modifies its specification. */
    template<typename Change>
    void submit(const std::string &id, std::uint32_t tasks, std::uint32_t millis, Change change)
    {
        work::SubmitJobT command;
        command.id = id;
        command.queue = this->queueOfJobs;
        command.spec = std::make_unique<work::JobSpecT>();
        auto &step = command.spec->steps.emplace_back(std::make_unique<work::StepSpecT>());
        step->count = tasks;
        step->estimatedMillis = millis;
        step->demand = std::make_unique<work::Demand>(1000, 100, 0);
        change(*command.spec, *step);
        this->apply(std::move(command));
        this->dispatcher->markChanged();
    }

    void electLeader()
    {
        this->answers.clear();
        this->watches.clear();
        this->commits.clear();
        this->advice.clear();
        this->dispatcher = std::make_unique<Dispatcher>(this->state, DispatchOptions(), ++this->term, this->now);
    }

    void runFor(Duration time)
    {
        for (const Timestamp end = this->now + time; this->now < end;) {
            this->step();
        }
    }

    template<typename Condition>
    bool runUntil(Condition isMet, Duration timeout = absl::Seconds(60))
    {
        for (const Timestamp end = this->now + timeout; this->now < end && !isMet();) {
            this->step();
        }
        return isMet();
    }

    bool isCompleted(const std::string &job) const
    {
        return this->state.findJob(job)->state() == work::JobState::Completed;
    }

    workload::Workload state;
    FakeWorkers workers;
    /** The last announcement of each worker. */
    std::map<std::string, work::RegisterWorkerT> registrations;
    NetworkFaults networkFaults;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::unique_ptr<Dispatcher> dispatcher;
    std::mt19937 random{7};
    Duration answerDelay = absl::Milliseconds(10);
    /** Another instance relays the polls and repeats those of idle workers for as long as the order allows; otherwise a poll is sent once. */
    bool hasRelay = false;
    /** Queue of the jobs that are submitted from now on: `quick`, or `advised`, which requires advice of the policy service. */
    std::string queueOfJobs = "quick";
    Duration adviceDelay = absl::ZeroDuration();
    /** Acknowledgements don't reach another incarnation than the addressed one, as the processes ensure. */
    bool bindsAcknowledgements = false;
    std::function<bool(const workload::StepKey &, const std::string &worker)> isPermitted = [](const workload::StepKey &, const std::string &) { return true; };
    /** How much later a worker receives the order; such an order gets no answer. */
    std::function<Duration(const WorkerCall &)> delayOf = [](const WorkerCall &) { return absl::ZeroDuration(); };
    /** Called for every call before it is executed. */
    std::function<void(const WorkerCall &)> onCall = [](const WorkerCall &) {};
    /** Called for every advice request, with the answer that the dispatcher will handle. */
    std::function<void(const AdviceRequest &, const AdviceAnswer &)> onAdvice = [](const AdviceRequest &, const AdviceAnswer &) {};
    /** Called for every answer before the dispatcher handles it. */
    std::function<void(std::uint64_t call)> onAnswer = [](std::uint64_t) {};
    /** Called at the beginning of each step. */
    std::function<void()> onStep = [] {};

protected:
    /** Executes an order at the incarnation that is there; only the one that is addressed gets an acknowledgement. */
    WorkerAnswer execute(WorkerCall call)
    {
        auto *poll = std::get_if<PollOrder>(&call.order);
        if (poll != nullptr && this->bindsAcknowledgements && this->workers.workers[call.worker.id].born != call.worker.born) {
            poll->lastSequence = 0;
        }
        return this->workers.execute(this->now, call);
    }

private:
    struct DelayedCall {
        Timestamp at;
        WorkerCall call;
        /** Incarnation that received the call: what a worker holds back ends with it. */
        std::uint64_t born = 0;
    };
    struct PendingAnswer {
        Timestamp at;
        std::uint64_t call;
        WorkerAnswer answer;
    };
    struct PendingAdvice {
        Timestamp at;
        std::uint64_t request;
        AdviceAnswer answer;
    };
    struct PendingCommit {
        Timestamp at;
        Proposal proposal;
    };

    bool chance(unsigned int percent)
    {
        return this->random() % 100 < percent;
    }

    void step()
    {
        this->now += absl::Milliseconds(10);
        this->onStep();
        this->workers.advance(this->now);
        this->executeDelayedCalls();
        if (!this->dispatcher) {
            return;
        }
        this->advanceWatches();
        this->deliverDue();
        DispatchEffects effects = this->dispatcher->step(this->now, absl::ToUnixMillis(this->now));
        for (Proposal &proposal : effects.proposals) {
            this->commits.push_back({this->now + absl::Milliseconds(20), std::move(proposal)});
        }
        for (const WorkerCall &call : effects.calls) {
            this->send(call);
        }
        for (const AdviceRequest &request : effects.adviceRequests) {
            const bool isLost = this->chance(this->networkFaults.answerLossPercent);
            const AdviceAnswer answer = isLost ? AdviceAnswer() : this->adviceFor(request);
            this->onAdvice(request, answer);
            this->advice.push_back({this->now + request.decisionTime + this->adviceDelay, request.id, answer});
        }
    }

    AdviceAnswer adviceFor(const AdviceRequest &request) const
    {
        AdviceAnswer answer;
        answer.isAnswered = true;
        for (const workload::Incarnation &worker : request.workers) {
            if (this->isPermitted(request.step, worker.id)) {
                answer.tickets.emplace_back().worker = worker.id;
            }
        }
        return answer;
    }

    void send(const WorkerCall &call)
    {
        this->onCall(call);
        const bool isPoll = std::holds_alternative<PollOrder>(call.order);
        const WorkerAnswer noAnswer;
        const Duration delay = this->delayOf(call);
        if (this->workers.workers[call.worker.id].isCut || this->chance(this->networkFaults.requestLossPercent)) {
            this->answers.push_back({this->now + call.timeout, call.id, noAnswer});
        } else if (delay > absl::ZeroDuration()) {
            this->delayCall(call, delay);
        } else if (!isPoll && this->chance(this->networkFaults.delayPercent)) {
            this->delayCall(call, absl::Milliseconds(2000 + this->random() % 10'000));
        } else {
            const WorkerAnswer answer = this->execute(call);
            const auto *poll = std::get_if<PollOrder>(&call.order);
            if (this->hasRelay && poll != nullptr && poll->watch > absl::ZeroDuration() && reportsNoChange(call, *poll, answer)) {
                this->watches.push_back({this->now + poll->watch, call});
                return;
            }
            const bool isLost = this->chance(this->networkFaults.answerLossPercent);
            this->answers.push_back({this->now + (isLost ? call.timeout : this->answerDelay), call.id, isLost ? noAnswer : answer});
        }
    }

    void delayCall(const WorkerCall &call, Duration delay)
    {
        this->delayedCalls.push_back({this->now + delay, call, this->workers.workers[call.worker.id].born});
        this->answers.push_back({this->now + call.timeout, call.id, WorkerAnswer()});
    }

    /** Repeats the watched polls of idle workers, as the relaying instance does, until a worker reports a change. */
    void advanceWatches()
    {
        for (auto watch = this->watches.begin(); watch != this->watches.end();) {
            const WorkerCall &call = watch->call;
            const auto &order = std::get<PollOrder>(call.order);
            const bool isCut = this->workers.workers[call.worker.id].isCut;
            const WorkerAnswer answer = isCut ? WorkerAnswer() : this->workers.execute(this->now, call);
            if (this->now < watch->until && reportsNoChange(call, order, answer)) {
                ++watch;
                continue;
            }
            const bool isLost = this->chance(this->networkFaults.answerLossPercent);
            const Timestamp at = this->now + (isLost ? watch->until - this->now + call.timeout : isCut ? call.timeout : this->answerDelay);
            this->answers.push_back({at, call.id, isLost ? WorkerAnswer() : answer});
            watch = this->watches.erase(watch);
        }
    }

    void executeDelayedCalls()
    {
        for (auto order = this->delayedCalls.begin(); order != this->delayedCalls.end();) {
            if (order->at > this->now) {
                ++order;
                continue;
            }
            const FakeWorkers::Worker &worker = this->workers.workers[order->call.worker.id];
            if (!worker.isCut && worker.born == order->born) {
                this->workers.execute(this->now, order->call);
            }
            order = this->delayedCalls.erase(order);
        }
    }

    void deliverDue()
    {
        for (auto commit = this->commits.begin(); commit != this->commits.end();) {
            if (commit->at > this->now) {
                ++commit;
                continue;
            }
            work::EntryT entry;
            entry.atMillis = absl::ToUnixMillis(this->now);
            entry.command = std::move(commit->proposal.command);
            const std::uint64_t id = commit->proposal.id;
            commit = this->commits.erase(commit);
            this->dispatcher->handleOutcome(this->now, id, this->state.apply(entry));
        }
        while (!this->advice.empty() && this->advice.front().at <= this->now) {
            const PendingAdvice due = this->advice.front();
            this->advice.pop_front();
            this->dispatcher->handleAdvice(this->now, due.request, due.answer);
        }
        for (auto answer = this->answers.begin(); answer != this->answers.end();) {
            if (answer->at > this->now) {
                ++answer;
                continue;
            }
            const PendingAnswer due = *answer;
            answer = this->answers.erase(answer);
            this->onAnswer(due.call);
            this->dispatcher->handleAnswer(this->now, due.call, due.answer);
        }
    }

    std::uint64_t term = 0;
    std::deque<DelayedCall> delayedCalls;
    struct Watch {
        Timestamp until;
        WorkerCall call;
    };
    std::deque<Watch> watches;
    std::deque<PendingAnswer> answers;
    /** Answered one after the other. */
    std::deque<PendingAdvice> advice;
    std::deque<PendingCommit> commits;
};

} // namespace paddlepier::execution

#endif
