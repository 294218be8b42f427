// Aggregate: one backend server as the ledger knows it.
//
// A Worker guards its own capacity: reserve() refuses what doesn't fit, whoever asks, so that no order of commands can
// give away more processors, memory or accelerators than the worker has.
//
// Thread safety: none; owned by the ledger.

#ifndef PADDLEPIER_LEDGER_WORKER_H
#define PADDLEPIER_LEDGER_WORKER_H

#include "paddlepier/ledger/resources.h"
#include "paddlepier/wire/ledger_generated.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace paddlepier::ledger
{

/** Identity of a task: its job's number and its place in the job. */
struct TaskId {
    std::uint64_t job = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr): a false report of this version
};

class Worker
{
public:
    explicit Worker(wire::WorkerRecordT workerRecord);

    const std::string &name() const;
    const wire::RegisterWorkerT &registration() const;
    const wire::WorkerRecordT &record() const;

    /** Takes over changed facts; reservations stay. */
    void update(const wire::RegisterWorkerT &registration);
    void setDrainedByOperator(bool drained);

    /** No new work: the worker or an operator said so. */
    bool isDraining() const;

    /** What is neither reserved nor beyond the capacity announced last. */
    Resources available() const;
    const Resources &reserved() const;
    /** Tasks that hold a reservation here. */
    const std::set<TaskId> &tasks() const;

    /** @return false, without any change, if @p need doesn't fit, the task is here already or the worker is draining */
    bool reserve(const TaskId &task, const Resources &need);
    /** Restores a reservation from a snapshot. */
    void restore(const TaskId &task, const Resources &need);
    void release(const TaskId &task, const Resources &need);

private:
    wire::WorkerRecordT data;
    // Invariant: the sum of what the tasks in `held` need.
    Resources reservedSum;
    std::set<TaskId> held;
};

/** True if the two differ in a fact that placement or routing uses. */
bool differs(const wire::RegisterWorkerT &left, const wire::RegisterWorkerT &right);

} // namespace paddlepier::ledger

#endif
