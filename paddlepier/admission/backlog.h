// The work of accepted jobs that waits or is left of active runs, by service, priority and holder.
//
// Load pattern: with thousands of jobs waiting, each submission has to know how long the work before it takes. Work is measured in
// milliprocessor-milliseconds: demand x estimate x typical ratio of the queue. The work that is left of active runs falls as time passes,
// without any change of the ledger; it is kept as the sum of demand and of demand x forecast end, so that it can be evaluated at any time.
//
// Doesn't count jobs whose objective is unattainable, since they are planned after all others; lasting jobs, which have no amount of work;
// and occurrences that aren't due. The checkpoint of a stopped run is opaque: its task counts in full.
//
// Example:
//     backlog.update(wallMillis);
//     const std::int64_t ahead = backlog.workUpTo("pool", queue.priority, wallMillis);
//
// Thread safety: none; owned by the admission controller. Cost: update() is O(tasks of the changed jobs x log of all jobs), and O(jobs)
// when the typical ratio of a queue has changed or the change log doesn't reach back; a query is O(priorities + teams).

#ifndef PADDLEPIER_ADMISSION_BACKLOG_H
#define PADDLEPIER_ADMISSION_BACKLOG_H

#include "paddlepier/admission/workrate.h"
#include "paddlepier/execution/timerqueue.h"
#include "paddlepier/planning/objectiveforecast.h"
#include "paddlepier/workload/workload.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::admission
{

/** Who holds a part of a backlog: a team, or all jobs without a team of one queue. */
struct Holder {
    std::string team;
    /** Empty for a team. */
    std::string queue;

    auto operator<=>(const Holder &) const = default;
};

Holder holderOf(const std::string &team, const std::string &queue);

class Backlog
{
public:
    Backlog(const workload::Workload &workloadState, const planning::ObjectiveForecaster &jobForecaster, std::int64_t startMillis);

    /** Applies the changes since the last call; must precede the queries. @param wallMillis  milliseconds since 1970 */
    void update(std::int64_t wallMillis);

    /** Work of this and all more urgent priorities. */
    std::int64_t workUpTo(const std::string &service, std::uint32_t priority, std::int64_t wallMillis) const;
    std::int64_t workOf(const std::string &service, std::uint32_t priority, const Holder &holder, std::int64_t wallMillis) const;
    /** Holders that have jobs of this priority. */
    std::vector<Holder> activeHolders(const std::string &service, std::uint32_t priority) const;
    /** Work a millisecond that was accepted of more urgent priorities; see workrate.h. */
    double moreUrgentRate(const std::string &service, std::uint32_t priority, std::int64_t wallMillis) const;
    /** Demand of the waiting tasks whose earlier steps are done, of all priorities, in thousandths of a processor. */
    std::int64_t waitingDemand(const std::string &service) const;
    /** Whether an accepted job of the service that hasn't ended has a lasting step. */
    bool hasLastingJob(const std::string &service) const;
    /** Number of evaluations of a job so far, as a measure of the cost. */
    std::uint64_t evaluatedJobs() const;

private:
    struct Amount {
        std::int64_t waitingWork = 0;
        std::int64_t waitingDemand = 0;
        std::int64_t runningDemand = 0;
        /** Sum of demand x forecast end, in milliseconds since `origin`. */
        std::int64_t runningUntil = 0;
        std::int64_t jobs = 0;

        void add(const Amount &other, std::int64_t sign);
        std::int64_t workAt(std::int64_t millisSinceOrigin) const;
    };
    struct PriorityBacklog {
        Amount total;
        std::map<Holder, Amount> byHolder;
        WorkRate accepted;
    };
    struct ServiceBacklog {
        std::map<std::uint32_t, PriorityBacklog> byPriority;
        std::int64_t lastingJobs = 0;
    };
    /** What a job contributes to the sums. */
    struct Contribution {
        std::string service;
        std::string queue;
        std::uint32_t priority = 0;
        Holder holder;
        Amount amount;
        bool isLasting = false;
    };

    void rebuild(std::int64_t wallMillis);
    /** Evaluates again the jobs of queues whose typical ratio differs from the assumed one. */
    void applyChangedRatios(std::int64_t wallMillis);
    void updateJob(const std::string &id, std::int64_t wallMillis, bool isRebuilding);
    void add(const Contribution &contribution, std::int64_t sign);
    Amount evaluate(const workload::Job &job, std::int64_t wallMillis);
    /** Adds the work of one occurrence. @return when it next changes by the passing of time alone */
    std::int64_t addOccurrence(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis, Amount &amount) const;
    PriorityBacklog &priorityBacklog(const std::string &service, std::uint32_t priority);
    const PriorityBacklog *findPriority(const std::string &service, std::uint32_t priority) const;

    const workload::Workload &state;
    const planning::ObjectiveForecaster &forecaster;
    /** Times are relative to this, so that their products with demands fit 64 bits. */
    const std::int64_t origin;
    std::map<std::string, ServiceBacklog> byService;
    /** All jobs that haven't ended, including those that contribute nothing. */
    absl::flat_hash_map<std::string, Contribution> byJob;
    /** Jobs by the time at which their contribution changes without a change of the ledger. */
    execution::TimerQueue<std::string> timers;
    workload::ChangeLog<std::string>::Position readUntil = 0;
    /** By queue: typical ratio that the contributions are based on. */
    std::map<std::string, double> assumedRatios;
    std::uint64_t evaluationCount = 0;
};

} // namespace paddlepier::admission

#endif
