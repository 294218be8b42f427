// Advice: requests of the leader's service, and presence calls, which report callers and the answers that they have relayed.

#include "paddlepier/base/log.h"
#include "paddlepier/cluster/workservice.h"

#include <algorithm>
#include <iterator>

namespace paddlepier::cluster
{

namespace
{

/**
 * Added to the expected time of a request, with half of its cost; after that it is sent through another instance. An instance that was
 * killed or cut off sends no error, and a quick job has about a second of slack.
 */
constexpr Duration adviceSlack = absl::Milliseconds(120);

} // namespace

void WorkService::presence(Timestamp now, const std::string &fromInstance, const work::PresenceCallT &call, const CallCallback &done)
{
    this->callers.markAlive(now, fromInstance);
    CallResult result;
    result.reply.outcome = work::CallOutcome::Accepted;
    for (const std::string &instance : this->node.knownInstances()) {
        result.reply.coreInstances.push_back(instance);
    }
    result.reply.term = this->node.replica().currentTerm();
    this->restoreAdvice(call.answers);
    done(result);
}

void WorkService::restoreAdvice(const std::vector<std::unique_ptr<work::RelayedAdviceT>> &answers)
{
    for (const auto &answer : answers) {
        this->restoredAdvice.add(this->dispatcher.restoreAdvice(*answer) ? 1 : 0);
    }
}

void WorkService::requestAdvice(Timestamp now, const execution::AdviceRequest &adviceRequest)
{
    const AssignedCaller assigned = this->callers.assignCaller(now, adviceRequest.decisionTime);
    if (assigned.instance.empty()) {
        this->dispatcher.handleAdvice(now, adviceRequest.id, {});
        return;
    }
    work::AdviceCallT call;
    call.step = adviceRequest.step.text();
    std::transform(adviceRequest.workers.begin(), adviceRequest.workers.end(), std::back_inserter(call.workers), [](const workload::Incarnation &incarnation) {
        return incarnation.id;
    });
    std::transform(adviceRequest.workers.begin(), adviceRequest.workers.end(), std::back_inserter(call.born), [](const workload::Incarnation &incarnation) {
        return incarnation.born;
    });
    call.term = this->node.replica().currentTerm();
    this->adviceCalls.add();
    const Timestamp deadline = assigned.expectedAt + adviceSlack + adviceRequest.decisionTime / 2;
    // The pool outlives the term, and needs the end of each request that it has assigned.
    const auto answered = [this, isActive = this->isTermActive, &pool = this->callers, assigned, now, adviceRequest](const ReceivedAdvice &received) {
        const Duration overhead = received.answer.isAnswered ? pool.recordAnswer(received.receivedAt, assigned) : absl::ZeroDuration();
        if (!received.answer.isAnswered) {
            pool.recordFailure(received.receivedAt, assigned);
        }
        if (!*isActive) {
            return;
        }
        const Timestamp handledAt = controlNow();
        log::info("advice",
                  received.answer.isAnswered ? "advice.answered" : "advice.failed",
                  {{"step", adviceRequest.step.text()},
                   {"caller", assigned.instance},
                   {"asked", adviceRequest.workers.size()},
                   {"permitted", received.answer.tickets.size()},
                   {"millis", absl::ToInt64Milliseconds(handledAt - now)},
                   {"expectedMillis", absl::ToInt64Milliseconds(adviceRequest.decisionTime)},
                   {"overheadMillis", absl::ToInt64Milliseconds(overhead)},
                   {"waitedMillis", absl::ToInt64Milliseconds(handledAt - received.receivedAt)}});
        if (received.answer.isAnswered) {
            this->adviceOverheads.record(overhead);
        }
        this->dispatcher.handleAdvice(handledAt, adviceRequest.id, received.answer);
    };
    this->requestAdviceVia(assigned.instance, call, deadline, answered);
}

} // namespace paddlepier::cluster
