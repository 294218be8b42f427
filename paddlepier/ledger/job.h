// Aggregate: one job with its tasks.
//
// A Job enforces the state transitions of its tasks. Every change names the epoch of the placement that it refers to; a
// change with an older epoch has no effect. A task holds a reservation on its worker exactly while it is `Placed`,
// `Running` or `Stopping`; a method that ends attempts returns the reservations to release.
//
//     Queued -> Placed -> Running -> Succeeded | Failed | Cancelled | Lost
//        ^         |         |
//        +---------+---------+   attempt ended otherwise; after a backoff
//
// A task may itself crash its workers. A task that loses worker after worker is abandoned. A service is restarted
// instead, with exponential backoff, until it has run long enough to rule out that its start crashes the worker.
//
// Thread safety: none; owned by the ledger.

#ifndef PADDLEPIER_LEDGER_JOB_H
#define PADDLEPIER_LEDGER_JOB_H

#include "paddlepier/ledger/worker.h"
#include "paddlepier/wire/ledger_generated.h"

#include <cstdint>
#include <string>
#include <vector>

namespace paddlepier::ledger
{

/**
 * Lost workers after which a task is abandoned, unless it is a service: each start may crash a worker and everything that runs there.
 * The bound isn't lower because the ledger can't tell a network partition from the loss of a worker.
 */
constexpr std::uint32_t maxLosses = 4;

/** How an attempt ended, as far as the ledger knows. */
enum class AttemptEnd { Succeeded, Failed, Stopped, NeverStarted, Unknown };

/** A reservation that has ended with an attempt and must be released. */
struct ReleasedReservation {
    TaskId task;
    std::string worker;
};

bool isActive(wire::TaskState state);
bool isFinal(wire::TaskState state);

class Job
{
public:
    explicit Job(wire::JobRecordT jobRecord);

    std::uint64_t id() const;
    const wire::JobSpecT &spec() const;
    const wire::JobRecordT &record() const;
    const std::vector<wire::TaskRecordT> &tasks() const;

    /** The state of the job, combined from the states of its tasks. */
    wire::TaskState state() const;
    bool hasEnded() const;
    /** Number of tasks in @p state. */
    std::uint32_t count(wire::TaskState state) const;

    /** Indexes of the tasks that may be placed at @p atMicros; for a gang, all of its tasks or none. */
    std::vector<std::uint32_t> placeable(std::int64_t atMicros) const;
    /** When the first queued task may be placed, microseconds since 1970; INT64_MAX if none is queued. */
    std::int64_t nextPlaceableAt() const;

    bool isQueued(std::uint32_t index) const;
    void place(std::uint32_t index, const std::string &worker, std::uint64_t epoch);

    /** @return false if the lease is not the task's current one */
    bool markStarted(std::uint32_t index, std::uint64_t epoch, std::int64_t atMicros);
    std::vector<ReleasedReservation> endAttempt(std::uint32_t index, std::uint64_t epoch, AttemptEnd end, std::int64_t atMicros);
    /** Cancels the job: queued tasks end at once, active tasks when they have stopped. */
    void cancel(std::int64_t atMicros);
    /** Requests a stop of the task, after which it is queued again. */
    void requestMove(std::uint32_t index);

    /** True if (index, epoch) is the current lease of an active task. */
    bool holds(std::uint32_t index, std::uint64_t epoch) const;

    /** The record including the tasks, for a snapshot. */
    wire::JobRecordT pack() const;

private:
    void endTask(wire::TaskRecordT &task, AttemptEnd end, std::int64_t atMicros);
    void restartGang(std::int64_t atMicros);
    void requeue(wire::TaskRecordT &task, std::int64_t atMicros, bool countAttempt);
    /** Queues or abandons a task whose worker was lost or partitioned while the task may have been running there. */
    void requeueAfterLoss(wire::TaskRecordT &task, std::int64_t atMicros);
    void recordEnd(std::int64_t atMicros);
    bool mayRetry(const wire::TaskRecordT &task) const;

    // Without the tasks, which are in `taskList`.
    wire::JobRecordT data;
    // Invariant: one element for each task index; `counts` holds their number by state.
    std::vector<wire::TaskRecordT> taskList;
    std::uint32_t counts[static_cast<std::size_t>(wire::TaskState::MAX) + 1] = {};

    void setState(wire::TaskRecordT &task, wire::TaskState state);
};

} // namespace paddlepier::ledger

#endif
