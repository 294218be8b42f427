// Aggregate: one backend server as recorded in the ledger.
//
// A Worker guards its own capacity: reserve() rejects whatever doesn't fit, so that no order of commands can reserve
// more processors, memory or accelerators than the worker has.
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

/** Identity of a task: the number of its job and its index in the job. */
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

    /** Replaces the registration; reservations are unchanged. */
    void update(const wire::RegisterWorkerT &registration);
    void setDrainedByOperator(bool drained);

    /** True if the worker gets no new work, at its own request or an operator's. */
    bool isDraining() const;

    /** Free capacity: the capacity announced last minus all reservations. */
    Resources available() const;
    const Resources &reserved() const;
    /** Tasks that hold a reservation here. */
    const std::set<TaskId> &tasks() const;

    /** @return false, without any change, if @p need doesn't fit, the task already holds a reservation here or the worker is draining */
    bool reserve(const TaskId &task, const Resources &need);
    /** Restores a reservation from a snapshot. */
    void restore(const TaskId &task, const Resources &need);
    void release(const TaskId &task, const Resources &need);

private:
    wire::WorkerRecordT data;
    // Invariant: the sum of the reservations of the tasks in `held`.
    Resources reservedSum;
    std::set<TaskId> held;
};

/** True if the two differ in a field that placement or routing uses. */
bool differs(const wire::RegisterWorkerT &left, const wire::RegisterWorkerT &right);

} // namespace paddlepier::ledger

#endif
