// The ledger of one data centre: the only authority over its workers, jobs, leases and requests that must not be repeated.
//
// A deterministic state machine. Its commands come from the replicated log in a single order, and applying the same
// commands yields the same state in every replica. Nothing here reads a clock: each entry carries a timestamp that its
// leader assigned.
//
// Invariants that hold for any sequence of commands:
//  - the reservations of a worker never exceed its capacity (Worker::reserve);
//  - a task has at most one active placement, and its epoch grows with each placement (Job);
//  - either all placements of a group are applied or none;
//  - a request key is opened at most once (RequestTable).
//
// Example:
//     const Applied result = ledger.apply(entry);
//     if (result.error != ErrorCode::None) { ... }
//
// Thread safety: none; owned by the control thread. Complexity is stated at the members.

#ifndef PADDLEPIER_LEDGER_LEDGER_H
#define PADDLEPIER_LEDGER_LEDGER_H

#include "paddlepier/base/error.h"
#include "paddlepier/ledger/job.h"
#include "paddlepier/ledger/requesttable.h"
#include "paddlepier/ledger/worker.h"
#include "paddlepier/wire/ledger_generated.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::ledger
{

/** Result of one command. */
struct Applied {
    ErrorCode error = ErrorCode::None;
    std::string message;
    std::uint64_t job = 0;
    bool alreadyKnown = false;
    std::uint32_t placed = 0;
    /** Version of the configuration after the command. */
    std::uint64_t version = 0;
    wire::BeginResult begin = wire::BeginResult::Accepted;
};

/** Sums over the whole ledger, updated with each change, so that reading them is O(1). */
struct Totals {
    std::uint64_t queuedTasks = 0;
    std::uint64_t activeTasks = 0;
    std::uint64_t lostJobs = 0;
};

/** How long ended jobs are retained for `status` and `explain`, in microseconds. */
constexpr std::int64_t jobRetentionMicros = 24LL * 3600 * 1'000'000;

/** Maximum number of tasks of one job. */
constexpr std::uint32_t maxTasksPerJob = 10'000;

class Ledger
{
public:
    Ledger() = default;

    Applied apply(const wire::LedgerEntryT &entry);

    std::string snapshot() const;
    /** Replaces the whole state. @throws MalformedBodyError if @p bytes are not a snapshot */
    void restore(std::string_view bytes);

    const Worker *findWorker(std::string_view name) const;
    const Job *findJob(std::uint64_t id) const;
    const wire::RequestRecordT *findRequest(std::string_view partner, std::string_view key) const;

    const std::map<std::string, Worker, std::less<>> &workers() const;
    const std::map<std::uint64_t, Job> &jobs() const;
    /** Jobs with at least one queued task. */
    const std::set<std::uint64_t> &queuedJobs() const;
    const Resources &reservedBy(const std::string &partner) const;
    Totals totals() const;
    /** Epoch of the next placement. */
    std::uint64_t upcomingEpoch() const;
    /** The newest accepted configuration; version 0 before the first one. */
    const wire::ConfigurationT &configuration() const;
    /** Time of the newest applied entry, microseconds since 1970. */
    std::int64_t lastAppliedMicros() const;

    /** Empties and returns the names of the workers that changed since the last call, for derived indexes. */
    std::vector<std::string> drainChangedWorkers();
    /** Empties and returns the jobs whose tasks changed since the last call. */
    std::vector<std::uint64_t> drainChangedJobs();

private:
    Applied registerWorker(const wire::RegisterWorkerT &command);
    Applied removeWorker(const wire::RemoveWorkerT &command);
    Applied drainWorker(const wire::DrainWorkerT &command);
    Applied submitJob(const wire::SubmitJobT &command);
    Applied cancelJob(const wire::CancelJobT &command);
    Applied placeTasks(const wire::PlaceTasksT &command);
    Applied reportTasks(const wire::ReportTasksT &command);
    Applied changeConfiguration(const wire::ChangeConfigurationT &command);
    Applied expireLeases(const wire::ExpireLeasesT &command);

    bool placeGroup(const wire::PlacementGroupT &group);
    bool reserveFor(const wire::PlacementT &placement);
    void endAttempt(const wire::TaskLease &lease, const std::string &worker, AttemptEnd end);
    void endAttempts(const std::vector<wire::TaskLease> &leases, const std::string &worker, AttemptEnd end);
    void release(const Job &job, const ReleasedReservation &released);
    /** Moves the services off @p worker if it is draining; tasks of other kinds stay until they end. */
    void moveServices(const Worker &worker);
    template<typename Change>
    void changeJob(Job &job, Change change);
    void markWorkerChanged(const std::string &name);
    /** Removes the state of ended jobs whose retention has ended. */
    void removeEndedJobs();

    std::map<std::string, Worker, std::less<>> workerByName;
    std::map<std::uint64_t, Job> jobById;
    absl::flat_hash_map<std::string, std::uint64_t> jobBySubmission;
    RequestTable requests;
    wire::ConfigurationT currentConfiguration;
    std::uint64_t nextJob = 1;
    std::uint64_t nextEpoch = 1;
    std::int64_t appliedMicros = 0;

    // Derived from the above; rebuilt by restore():
    std::set<std::uint64_t> queued;
    // In the order in which the jobs ended.
    std::deque<std::uint64_t> endedJobs;
    absl::flat_hash_map<std::string, Resources> reservedByPartner;
    Totals sums;
    absl::flat_hash_set<std::string> changedWorkers;
    absl::flat_hash_set<std::uint64_t> changedJobs;
};

/** Key under which a submission is recorded. */
std::string submissionKey(std::string_view partner, std::string_view submissionId);

} // namespace paddlepier::ledger

#endif
