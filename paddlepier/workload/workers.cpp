// Workload: registration and lookup of workers, and evacuation of data centres.

#include "paddlepier/workload/workload.h"

#include <iterator>
#include <limits>

namespace paddlepier::workload
{

Outcome Workload::registerWorker(const work::RegisterWorkerT &command)
{
    const Incarnation incarnation = incarnationOf(command);
    const Worker *latest = this->findLatestWorker(command.id);
    // Announced by an earlier incarnation: the worker has restarted since.
    if (latest != nullptr && incarnationOf(latest->registration).isAfter(incarnation)) {
        return {};
    }
    Worker &worker = this->workerByIncarnation[incarnation];
    // Delayed announcement: a later one, perhaps with a smaller capacity, is already in effect.
    if (command.sequence < worker.registration.sequence) {
        return {};
    }
    const bool wasDraining = worker.registration.isDraining;
    this->unindexWorker(worker.registration);
    worker.registration = command;
    worker.registration.isDraining = command.isDraining || wasDraining;
    this->indexWorker(worker.registration);
    return {};
}

void Workload::indexWorker(const work::RegisterWorkerT &registration)
{
    this->incarnationsByAddress[registration.address].insert(incarnationOf(registration));
    this->incarnationsByMachine[registration.machine].insert(incarnationOf(registration));
    this->workerChangeLog.record(incarnationOf(registration));
}

void Workload::unindexWorker(const work::RegisterWorkerT &registration)
{
    const auto removeFrom = [incarnation = incarnationOf(registration)](auto &index, const std::string &name) {
        const auto found = index.find(name);
        if (found != index.end() && found->second.erase(incarnation) > 0 && found->second.empty()) {
            index.erase(found);
        }
    };
    removeFrom(this->incarnationsByAddress, registration.address);
    removeFrom(this->incarnationsByMachine, registration.machine);
    this->workerChangeLog.record(incarnationOf(registration));
}

Outcome Workload::changeEvacuation(const work::ChangeEvacuationT &command)
{
    if (command.dataCentre.empty()) {
        return failure(ErrorCode::InvalidArgument, "dataCentre: empty, expected the name of the data centre to evacuate");
    }
    if (command.isEvacuated) {
        this->evacuated.insert(command.dataCentre);
    } else {
        this->evacuated.erase(command.dataCentre);
    }
    this->workerChangeLog.invalidateAll();
    return {};
}

const Worker *Workload::findWorker(const Incarnation &incarnation) const
{
    const auto found = this->workerByIncarnation.find(incarnation);
    return found == this->workerByIncarnation.end() ? nullptr : &found->second;
}

const Worker *Workload::findLatestWorker(const std::string &id) const
{
    const auto next = this->workerByIncarnation.upper_bound({id, std::numeric_limits<std::uint64_t>::max()});
    if (next == this->workerByIncarnation.begin() || std::prev(next)->first.id != id) {
        return nullptr;
    }
    return &std::prev(next)->second;
}

const std::map<Incarnation, Worker> &Workload::workers() const
{
    return this->workerByIncarnation;
}

const std::set<std::string, std::less<>> &Workload::evacuatedDataCentres() const
{
    return this->evacuated;
}

bool Workload::isEvacuated(const Worker &worker) const
{
    return !this->evacuated.empty() && this->evacuated.contains(worker.registration.zone);
}

const std::set<Incarnation> &Workload::incarnationsAtAddress(const std::string &address) const
{
    static const std::set<Incarnation> none;
    const auto found = this->incarnationsByAddress.find(address);
    return found == this->incarnationsByAddress.end() ? none : found->second;
}

const std::set<Incarnation> &Workload::incarnationsOfMachine(const std::string &machine) const
{
    static const std::set<Incarnation> none;
    const auto found = this->incarnationsByMachine.find(machine);
    return found == this->incarnationsByMachine.end() ? none : found->second;
}

} // namespace paddlepier::workload
