// The leader's overload control for one term.

#include "paddlepier/cluster/overloadcontrol.h"

#include "paddlepier/base/log.h"

#include <absl/strings/str_cat.h>

namespace paddlepier::cluster
{

namespace
{

/** Under overload, hundreds of jobs a second may be refused; a few lines a second show queues, teams and waits. */
constexpr std::int64_t refusalLinesPerSecond = 20;

} // namespace

OverloadControl::OverloadControl(const workload::Workload &state,
                                 const std::map<std::string, double> &typicalRatiosByQueue,
                                 Counters &processCounters,
                                 std::int64_t startMillis)
    : controller(state, typicalRatiosByQueue, startMillis)
    , refusedForBacklog(processCounters.counter("jobs_refused_backlog_total"))
    , refusedForTeamShare(processCounters.counter("jobs_refused_team_share_total"))
    , forecastWait(processCounters.counter("admission_forecast_wait_millis"))
    , refusalLog(refusalLinesPerSecond)
{
}

OverloadControl::~OverloadControl()
{
    this->forecastWait.set(0);
}

std::optional<work::WorkReplyT>
OverloadControl::refusalOf(Timestamp now, const admission::Submission &submission, const execution::ServiceCapacity &capacity, std::int64_t wallMillis)
{
    const admission::Decision decision = this->controller.decide(submission, capacity, wallMillis);
    this->forecastWait.set(decision.forecastMillis);
    if (decision.refusal == admission::Refusal::None) {
        return std::nullopt;
    }
    (decision.refusal == admission::Refusal::Backlog ? this->refusedForBacklog : this->refusedForTeamShare).add();
    const char *reason = admission::nameOf(decision.refusal);
    work::WorkReplyT reply;
    reply.outcome = work::CallOutcome::Overloaded;
    reply.message = absl::StrCat("the job was not accepted because of overload: ", reason);
    reply.retryAfterMillis = decision.retryAfterSeconds * 1000;
    const LogRateLimiter::Decision line = this->refusalLog.admit(reason, now);
    if (line.isAllowed) {
        log::info("jobs",
                  "job.refused",
                  {{"job", submission.id},
                   {"queue", submission.queue.name},
                   {"team", submission.team},
                   {"reason", reason},
                   {"forecastMillis", decision.forecastMillis},
                   {"retryAfterMillis", reply.retryAfterMillis},
                   {"suppressed", line.suppressedLines}});
    }
    return reply;
}

void OverloadControl::update(std::int64_t wallMillis)
{
    this->controller.update(wallMillis);
}

void OverloadControl::recordProposal(const std::string &id)
{
    this->controller.recordProposal(id);
}

void OverloadControl::recordOutcome(const std::string &id, bool isDefinite)
{
    this->controller.recordOutcome(id, isDefinite);
}

} // namespace paddlepier::cluster
