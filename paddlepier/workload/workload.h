// Replicated state machine of a region's workload: configuration, jobs, worker incarnations, and the runs that connect them.
//
// A placement reserves capacity on its worker in the same log entry that records it, so that two decisions can't use the same capacity.
// Only the recorded end of a run releases it. Team quotas are enforced in the same way: a placement that would exceed the quota is refused,
// even if the planner allowed it. The version of the accepted configuration only increases; different content under the current version is
// refused. Placements on workers of an evacuated data centre are refused; runs that are already there continue.
//
// Example:
//     Workload workload;
//     const Outcome outcome = workload.apply(wire::pack(entry));
//
// Thread safety: none; owned by the control thread. Cost: apply() is O(log n) per task in the command.

#ifndef PADDLEPIER_WORKLOAD_WORKLOAD_H
#define PADDLEPIER_WORKLOAD_WORKLOAD_H

#include "paddlepier/base/error.h"
#include "paddlepier/wire/workload_generated.h"
#include "paddlepier/workload/changelog.h"
#include "paddlepier/workload/incarnation.h"
#include "paddlepier/workload/job.h"
#include "paddlepier/workload/teams.h"
#include "paddlepier/workload/worker.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::workload
{

/** Retention of ended jobs: users require two minutes; the remaining 30 s allow for clock differences. */
constexpr std::int64_t jobRetentionMillis = 150'000;

/** Result of applying one command. */
struct Outcome {
    ErrorCode error = ErrorCode::None;
    std::string message;
    /** For PlaceRuns: the accepted placements. */
    std::vector<work::PlacementT> placed;
    /** For RemoveWorker and RecordEnds: tasks that were abandoned, with their jobs, because of repeated worker losses. */
    std::vector<TaskKey> abandonedTasks;
};

class Workload
{
public:
    using Outcome = workload::Outcome;

    Outcome apply(const std::vector<std::uint8_t> &command);
    Outcome apply(const work::EntryT &entry);
    std::string snapshot() const;
    /** @throws MalformedBodyError if @p bytes are not a snapshot */
    void restore(const std::string &bytes);
    bool hasHistory() const;
    static Outcome failure(ErrorCode error, const std::string &message);

    /** Version 0 until a configuration is accepted. */
    const work::ChangeConfigurationT &configuration() const;
    /** Queue of @p host with the longest path prefix that matches @p path; null if none matches. */
    const work::QueueSpecT *findQueue(std::string_view host, std::string_view path) const;
    const work::ServiceSpecT *findService(std::string_view name) const;
    const Teams &teams() const;
    const Job *findJob(const std::string &id) const;
    /**
     * The job that was accepted at exactly this host and path, whatever queue they select now; null if there is none. An id alone doesn't identify
     * a job to callers, who choose the ids.
     */
    const Job *findJobAt(std::string_view host, std::string_view path) const;
    const Worker *findWorker(const Incarnation &incarnation) const;
    /** Latest incarnation of the worker @p id; null if it is unknown. O(log workers). */
    const Worker *findLatestWorker(const std::string &id) const;
    const std::map<Incarnation, Worker> &workers() const;
    /** Jobs that have not ended, or that have active runs. */
    const std::set<std::string> &activeJobs() const;
    /** Of these, jobs that have not ended and have waiting tasks. */
    const std::set<std::string> &waitingJobs() const;
    /** Unfinished tasks with confirmed or unconfirmed worker losses. */
    const std::set<TaskKey> &suspects() const;
    /** Data centres whose workers accept no placements. */
    const std::set<std::string, std::less<>> &evacuatedDataCentres() const;
    bool isEvacuated(const Worker &worker) const;
    /** Incarnations registered with this address, or on this machine; O(log workers). */
    const std::set<Incarnation> &incarnationsAtAddress(const std::string &address) const;
    const std::set<Incarnation> &incarnationsOfMachine(const std::string &machine) const;
    /** Number of superseded runs of the task on all workers; O(log runs). */
    std::uint32_t supersededRunCount(const TaskKey &key) const;
    /** Jobs whose tasks, runs or state changed, and workers whose capacity or registration changed. Not part of a snapshot. */
    const ChangeLog<std::string> &jobChanges() const;
    const ChangeLog<Incarnation> &workerChanges() const;
    std::int64_t appliedAtMillis() const;

private:
    Outcome changeConfiguration(const work::ChangeConfigurationT &command);
    Outcome submitJob(const work::SubmitJobT &command);
    Outcome cancelJob(const work::CancelJobT &command);
    Outcome placeRuns(const work::PlaceRunsT &command);
    Outcome recordEnds(const work::RecordEndsT &command);
    Outcome registerWorker(const work::RegisterWorkerT &command);
    Outcome removeWorker(const work::RemoveWorkerT &command);
    Outcome changeEvacuation(const work::ChangeEvacuationT &command);
    Outcome verifyStart(const work::VerifyStartT &command);

    /** Number of placements from @p begin on that are accepted or refused together. */
    std::size_t atomicGroupLength(const std::vector<std::unique_ptr<work::PlacementT>> &placements, std::size_t begin) const;
    bool placeRun(const work::PlacementT &placement);
    /** Adds a run to the worker: reserves its capacity there and its share of the team's quota. */
    void reserveCapacity(Worker &worker, const Job &job, const TaskKey &key);
    /** Reverts reserveCapacity(). @return false if the worker has no such run */
    bool releaseCapacity(Worker &worker, const Job &job, const TaskKey &key);
    /** Adds a registration to the indexes by address and machine, and marks the worker as changed. */
    void indexWorker(const work::RegisterWorkerT &registration);
    void unindexWorker(const work::RegisterWorkerT &registration);
    void addSuperseded(Worker &worker, const TaskKey &key, const SupersededRun &run);
    void removeSuperseded(Worker &worker, const TaskKey &key);
    void undoPlacement(const work::PlacementT &placement);
    /** @return whether the task is abandoned because of this end */
    bool endRun(const Incarnation &worker, const work::RunEndT &end);
    /** Moves a run whose start was sent to @p from but reached @p to, the next incarnation of that worker. */
    void moveRun(const Incarnation &from, const Incarnation &to, const work::RunEndT &run);
    void endSupersededRun(Worker &worker, const TaskKey &key, const work::RunEndT &end);
    /** Records the loss of a worker for the tasks on it. @return the tasks that are abandoned because of it */
    std::vector<TaskKey> recordLosses(const Worker &worker, const work::RemoveWorkerT &command);
    /** Records that a run ended because its lease expired. */
    void recordExpiredLease(Worker &worker, const TaskKey &key, work::RunAtLoss atLoss);
    /** Clears the losses of a task that has run long enough not to be their cause. */
    void clearLosses(const TaskKey &key);
    /** Clears the unconfirmed losses of a worker that has responded again or was removed. */
    void resolveExpiredLeases(Worker &worker);
    /** Rebuilds the suspects and their unconfirmed losses from restored jobs and workers. */
    void restoreSuspects();
    /** Updates `suspectTasks` for one task. */
    void updateSuspect(const TaskKey &key);
    void updateJobIndexes(Job &job);
    void updateWaitingIndex(const Job &job);
    void removeEndedJobs();

    work::ChangeConfigurationT currentConfiguration;
    std::map<std::string, Job> jobById;
    std::map<Incarnation, Worker> workerByIncarnation;
    std::set<std::string, std::less<>> evacuated;
    std::int64_t appliedAt = 0;

    // Derived; rebuilt by restore():
    /** Quota usage of the runs and superseded runs of all workers. */
    Teams teamQuotas;
    std::set<std::string> activeJobIds;
    std::set<std::string> waitingJobIds;
    std::set<TaskKey> suspectTasks;
    std::map<std::string, std::set<Incarnation>> incarnationsByAddress;
    std::map<std::string, std::set<Incarnation>> incarnationsByMachine;
    std::map<TaskKey, std::uint32_t> supersededByTask;
    ChangeLog<std::string> jobChangeLog;
    ChangeLog<Incarnation> workerChangeLog;
    /** Fully ended jobs, in the order in which they became so. */
    std::deque<std::string> endedJobIds;
};

} // namespace paddlepier::workload

#endif
