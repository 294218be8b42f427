// Aggregate: one job with its tasks.
//
// A Job guards the life of its tasks. Every change names the epoch under which it was seen; a change under an older
// epoch has no effect. A task is `Placed`, `Running` or `Stopping` exactly as long as it holds a reservation on its
// worker; each method returns which reservations ended.
//
//     Queued -> Placed -> Running -> Succeeded | Failed | Cancelled | Lost
//        ^         |         |
//        +---------+---------+   attempt ended otherwise; after a backoff
//
// A task may be what takes its workers down. One under which worker after worker is lost is given up; a service is started
// again, but ever more seldom, until it has run for long.
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
 * Workers lost under one task after which it is given up, unless it is a service: each start may cost a worker and all that runs
 * there. Not fewer, since a cut can't be told from a loss here.
 */
constexpr std::uint32_t maxLosses = 4;

/** How an attempt ended, as far as the ledger can know. */
enum class AttemptEnd { Succeeded, Failed, Stopped, NeverStarted, Unknown };

/** A reservation that a change has ended. */
struct Released {
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

    /** Folds the states of the tasks into one. */
    wire::TaskState state() const;
    bool hasEnded() const;
    /** Number of tasks in @p state. */
    std::uint32_t count(wire::TaskState state) const;

    /** Indexes of the tasks that may be placed at @p atMicros; for a gang all of them or none. */
    std::vector<std::uint32_t> placeable(std::int64_t atMicros) const;
    /** When the first queued task may be placed, microseconds since 1970; INT64_MAX if none is queued. */
    std::int64_t nextPlaceableAt() const;

    bool isQueued(std::uint32_t index) const;
    void place(std::uint32_t index, const std::string &worker, std::uint64_t epoch);

    /** @return false if the lease is not the task's current one */
    bool started(std::uint32_t index, std::uint64_t epoch, std::int64_t atMicros);
    std::vector<Released> ended(std::uint32_t index, std::uint64_t epoch, AttemptEnd end, std::int64_t atMicros);
    /** Queued tasks end at once, active ones once they have stopped. */
    void cancel(std::int64_t atMicros);
    /** Asks for a stop after which the task is queued again. */
    void move(std::uint32_t index);

    /** True if (index, epoch) is the current lease of an active task. */
    bool holds(std::uint32_t index, std::uint64_t epoch) const;

    /** The record with its tasks, for a snapshot. */
    wire::JobRecordT pack() const;

private:
    void endTask(wire::TaskRecordT &task, AttemptEnd end, std::int64_t atMicros);
    void restartGang(std::int64_t atMicros);
    void requeue(wire::TaskRecordT &task, std::int64_t atMicros, bool countAttempt);
    /** The worker was lost, or cut off, while the task may have run there. */
    void requeueAfterLoss(wire::TaskRecordT &task, std::int64_t atMicros);
    void recordEnd(std::int64_t atMicros);
    bool mayRetry(const wire::TaskRecordT &task) const;

    wire::JobRecordT data; // without tasks
    // Invariant: one element for each index; `counts` holds their number by state.
    std::vector<wire::TaskRecordT> taskList;
    std::uint32_t counts[static_cast<std::size_t>(wire::TaskState::MAX) + 1] = {};

    void setState(wire::TaskRecordT &task, wire::TaskState state);
};

} // namespace paddlepier::ledger

#endif
