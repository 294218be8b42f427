// The leader's overload control for one term: decides on submissions, answers those that are refused, and reports them.
//
// A refusal is answered with CallOutcome::Overloaded and the delay after which the caller should submit the job again. The decision itself
// is made by admission/admissioncontroller.h.
//
// Example:
//     if (const auto refusal = control.refusalOf(now, {id, team, queue, spec}, capacity, wallMillis)) { reply(*refusal); }
//
// Thread safety: none; owned by the control thread. Cost: that of AdmissionController.

#ifndef PADDLEPIER_CLUSTER_OVERLOADCONTROL_H
#define PADDLEPIER_CLUSTER_OVERLOADCONTROL_H

#include "paddlepier/admission/admissioncontroller.h"
#include "paddlepier/base/clock.h"
#include "paddlepier/base/counters.h"
#include "paddlepier/base/logratelimiter.h"
#include "paddlepier/workload/workload.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace paddlepier::cluster
{

class OverloadControl
{
public:
    OverloadControl(const workload::Workload &state,
                    const std::map<std::string, double> &typicalRatiosByQueue,
                    Counters &processCounters,
                    std::int64_t startMillis);
    ~OverloadControl();

    OverloadControl(const OverloadControl &) = delete;
    OverloadControl &operator=(const OverloadControl &) = delete;

    /** @return the answer to a refused submission, of which nothing may be proposed; nothing if it is accepted */
    std::optional<work::WorkReplyT>
    refusalOf(Timestamp now, const admission::Submission &submission, const execution::ServiceCapacity &capacity, std::int64_t wallMillis);
    /** See AdmissionController. */
    void update(std::int64_t wallMillis);
    void recordProposal(const std::string &id);
    void recordOutcome(const std::string &id, bool isDefinite);

private:
    admission::AdmissionController controller;
    Counter &refusedForBacklog;
    Counter &refusedForTeamShare;
    /** Gauge: forecast wait of the job that was submitted last, in milliseconds; 0 while this process doesn't lead. */
    Counter &forecastWait;
    LogRateLimiter refusalLog;
};

} // namespace paddlepier::cluster

#endif
