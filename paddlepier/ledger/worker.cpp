// Aggregate: one backend server.

#include "paddlepier/ledger/worker.h"

#include <memory>

namespace paddlepier::ledger
{

Worker::Worker(wire::WorkerRecordT workerRecord)
    : data(std::move(workerRecord))
{
}

const std::string &Worker::name() const
{
    return this->data.registration->worker;
}

const wire::RegisterWorkerT &Worker::registration() const
{
    return *this->data.registration;
}

const wire::WorkerRecordT &Worker::record() const
{
    return this->data;
}

void Worker::update(const wire::RegisterWorkerT &registration)
{
    this->data.registration = std::make_unique<wire::RegisterWorkerT>(registration);
}

void Worker::setDrainedByOperator(bool drained)
{
    this->data.drainedByOperator = drained;
}

bool Worker::isDraining() const
{
    return this->data.drainedByOperator || this->data.registration->draining;
}

Resources Worker::available() const
{
    return minus(this->data.registration->capacity, this->reservedSum);
}

const Resources &Worker::reserved() const
{
    return this->reservedSum;
}

const std::set<TaskId> &Worker::tasks() const
{
    return this->held;
}

bool Worker::reserve(const TaskId &task, const Resources &need)
{
    if (this->isDraining() || this->held.contains(task) || !fits(need, this->available())) {
        return false;
    }
    this->restore(task, need);
    return true;
}

void Worker::restore(const TaskId &task, const Resources &need)
{
    this->held.insert(task);
    this->reservedSum = plus(this->reservedSum, need);
}

void Worker::release(const TaskId &task, const Resources &need)
{
    if (this->held.erase(task) > 0) {
        this->reservedSum = minus(this->reservedSum, need);
    }
}

bool differs(const wire::RegisterWorkerT &left, const wire::RegisterWorkerT &right)
{
    const bool sameCapacity = fits(left.capacity, right.capacity) && fits(right.capacity, left.capacity);
    return !sameCapacity || left.partner != right.partner || left.rack != right.rack || left.address != right.address || left.slots != right.slots
           || left.connections != right.connections || left.draining != right.draining;
}

} // namespace paddlepier::ledger
