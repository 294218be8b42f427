// Decides at submission whether a job is accepted, or refused because the work before it would make it late.
//
// Load pattern: under overload, accepting everything makes every job late, and the callers learn nothing. A job is refused if
//  - Backlog: the work of the same or higher urgency, divided by the capacity that more urgent queues leave, takes longer than the job may
//    wait and still meet its objective; or
//  - TeamShare: its team holds more work than its share of what is still free: (limit - backlog) x weight / weights of the active teams,
//    where the limit is the work for which such a job could just wait (dynamic threshold). A team without competition may fill a
//    larger part of the limit, and yields as soon as others submit. A job's own work isn't compared, so that its size doesn't decide.
// Nothing is refused while at most one cell of demand waits (short bursts drain by themselves), while less than 85 % of the capacity is reserved
// (what is free could serve the job), while the service has a lasting job (its
// capacity never becomes free, so that no wait can be forecast), and in the first 2 s of a term (no rates have been measured).
//
// Also accepts a job whose proposal may still be committed: its caller must not be told that nothing was stored.
//
// Example:
//     const Decision decision = controller.decide({id, team, queue, spec}, capacity, wallMillis);
//     if (decision.refusal != Refusal::None) { replyLater(decision.retryAfterSeconds); }
//
// Thread safety: none; owned by the control thread. Cost: decide() is that of Backlog::update() and O(teams + log jobs).

#ifndef PADDLEPIER_ADMISSION_ADMISSIONCONTROLLER_H
#define PADDLEPIER_ADMISSION_ADMISSIONCONTROLLER_H

#include "paddlepier/admission/backlog.h"
#include "paddlepier/execution/cellload.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/workload/workload.h"

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <string>

namespace paddlepier::admission
{

enum class Refusal { None, Backlog, TeamShare };

const char *nameOf(Refusal refusal);

/** A job that its caller wants to submit; valid while the decision is made. */
struct Submission {
    const std::string &id;
    /** Empty for none. */
    const std::string &team;
    const work::QueueSpecT &queue;
    const work::JobSpecT &spec;
};

struct Decision {
    Refusal refusal = Refusal::None;
    /** How long the job would wait for the work before it. */
    std::int64_t forecastMillis = 0;
    /** 0 if the job is accepted. */
    std::uint32_t retryAfterSeconds = 0;
};

class AdmissionController
{
public:
    /** @param typicalRatiosByQueue  see planning/objectiveforecast.h  @param startMillis  when this leader began, in milliseconds since 1970 */
    AdmissionController(const workload::Workload &workloadState, const std::map<std::string, double> &typicalRatiosByQueue, std::int64_t startMillis);

    /** Applies the ledger's changes; called regularly, so that the change log reaches back. */
    void update(std::int64_t wallMillis);
    /** @param capacity  that of the queue's service */
    Decision decide(const Submission &submission, const execution::ServiceCapacity &capacity, std::int64_t wallMillis);

    /** An accepted job has been proposed to the ledger. */
    void recordProposal(const std::string &id);
    /** @param isDefinite  false if the proposal may still be committed; the job is then accepted for the rest of the term */
    void recordOutcome(const std::string &id, bool isDefinite);

private:
    bool isEnabled(const Submission &submission, const execution::ServiceCapacity &capacity, std::int64_t wallMillis) const;
    void readWeights();
    double weightOf(const Holder &holder) const;
    /** Sum of the weights of the holders with work of this priority and of @p own. */
    double activeWeight(const work::QueueSpecT &queue, const Holder &own) const;

    const workload::Workload &state;
    const planning::ObjectiveForecaster forecaster;
    const std::int64_t startedAt;
    Backlog backlog;
    absl::flat_hash_set<std::string> proposedJobs;
    /** By team, from this version of the configuration. */
    std::map<std::string, double> weights;
    std::uint64_t weightsVersion = 0;
    /** Weight of jobs without a team, and of a team that is no longer configured. */
    double averageWeight = 1;
};

} // namespace paddlepier::admission

#endif
