// Workload: application of commands, and queries of the state.

#include "paddlepier/workload/workload.h"

#include "paddlepier/wire/codec.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace paddlepier::workload
{

namespace
{

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

Outcome Workload::failure(ErrorCode error, const std::string &message)
{
    return {error, message, {}, {}};
}

Outcome Workload::apply(const std::vector<std::uint8_t> &command)
{
    return this->apply(wire::unpack<work::EntryT>(command));
}

Outcome Workload::apply(const work::EntryT &entry)
{
    this->appliedAt = std::max(this->appliedAt, entry.atMillis);
    this->removeEndedJobs();
    switch (entry.command.type) {
    case work::Command::ChangeConfiguration:
        return this->changeConfiguration(*entry.command.AsChangeConfiguration());
    case work::Command::SubmitJob:
        return this->submitJob(*entry.command.AsSubmitJob());
    case work::Command::CancelJob:
        return this->cancelJob(*entry.command.AsCancelJob());
    case work::Command::PlaceRuns:
        return this->placeRuns(*entry.command.AsPlaceRuns());
    case work::Command::RecordEnds:
        return this->recordEnds(*entry.command.AsRecordEnds());
    case work::Command::RegisterWorker:
        return this->registerWorker(*entry.command.AsRegisterWorker());
    case work::Command::RemoveWorker:
        return this->removeWorker(*entry.command.AsRemoveWorker());
    case work::Command::ChangeEvacuation:
        return this->changeEvacuation(*entry.command.AsChangeEvacuation());
    case work::Command::VerifyStart:
        return this->verifyStart(*entry.command.AsVerifyStart());
    case work::Command::NONE:
        break;
    }
    return failure(ErrorCode::Internal, "log entry without a command");
}

bool Workload::hasHistory() const
{
    return this->appliedAt > 0;
}

Outcome Workload::changeConfiguration(const work::ChangeConfigurationT &command)
{
    if (command.version == this->currentConfiguration.version && command.text != this->currentConfiguration.text) {
        return failure(ErrorCode::Conflict, absl::StrCat("version ", command.version, " already exists with different content"));
    }
    // A version that is not higher than the current one is acknowledged without effect.
    if (command.version > this->currentConfiguration.version) {
        this->currentConfiguration = command;
        this->teamQuotas.configure(command);
        this->workerChangeLog.invalidateAll();
    }
    return {};
}

Outcome Workload::submitJob(const work::SubmitJobT &command)
{
    const std::string address = queueAddress(command.host, command.pathPrefix);
    if (const Job *known = this->findJob(command.id)) {
        const bool isRepeated = address.empty() || known->queueAddress() == address;
        return isRepeated ? Outcome() : failure(ErrorCode::Conflict, absl::StrCat("the job id ", command.id, " is in use in another queue"));
    }
    const auto &queues = this->currentConfiguration.queues;
    const auto queue = std::find_if(queues.begin(), queues.end(), [&](const auto &candidate) {
        return address.empty() ? candidate->name == command.queue : queueAddress(candidate->host, candidate->pathPrefix) == address;
    });
    if (queue == queues.end()) {
        return failure(ErrorCode::UnknownRoute, absl::StrCat("unknown queue ", command.queue));
    }
    const auto added = this->jobById.emplace(command.id, Job(command.id, **queue, *command.spec, this->appliedAt, command.team)).first;
    this->updateJobIndexes(added->second);
    return {};
}

Outcome Workload::cancelJob(const work::CancelJobT &command)
{
    const auto found = this->jobById.find(command.id);
    if (found == this->jobById.end()) {
        return failure(ErrorCode::UnknownJob, absl::StrCat("unknown job ", command.id));
    }
    found->second.cancel(this->appliedAt);
    this->updateJobIndexes(found->second);
    return {};
}

Outcome Workload::verifyStart(const work::VerifyStartT &command)
{
    const TaskKey key(*command.task);
    const auto job = this->jobById.find(key.job);
    if (job == this->jobById.end()) {
        return failure(ErrorCode::UnknownJob, absl::StrCat("unknown job ", key.job));
    }
    job->second.verifyStart(key, command.run);
    return {};
}

std::size_t Workload::atomicGroupLength(const std::vector<std::unique_ptr<work::PlacementT>> &placements, std::size_t begin) const
{
    const TaskKey first(*placements[begin]->task);
    const Job *job = this->findJob(first.job);
    if (job == nullptr || !job->hasTask(first) || !job->stepSpec(first.step).isGang) {
        return 1;
    }
    std::size_t length = 1;
    while (begin + length < placements.size() && TaskKey(*placements[begin + length]->task).stepKey() == first.stepKey()) {
        ++length;
    }
    return length;
}

Outcome Workload::placeRuns(const work::PlaceRunsT &command)
{
    Outcome outcome;
    for (std::size_t begin = 0; begin < command.placements.size();) {
        const std::size_t length = this->atomicGroupLength(command.placements, begin);
        std::size_t accepted = 0;
        while (accepted < length && this->placeRun(*command.placements[begin + accepted])) {
            ++accepted;
        }
        for (std::size_t index = begin; index < begin + accepted; ++index) {
            if (accepted < length) {
                this->undoPlacement(*command.placements[index]);
            } else {
                outcome.placed.push_back(*command.placements[index]);
            }
        }
        begin += length;
    }
    return outcome;
}

bool Workload::placeRun(const work::PlacementT &placement)
{
    const TaskKey key(*placement.task);
    const auto job = this->jobById.find(key.job);
    const auto worker = this->workerByIncarnation.find(incarnationOf(placement));
    if (job == this->jobById.end() || worker == this->workerByIncarnation.end() || !job->second.mayPlace(key, placement.run)) {
        return false;
    }
    const work::StepSpecT &step = job->second.stepSpec(key.step);
    if (!worker->second.hasCapacityFor(step) || worker->second.superseded.contains(key) || this->isEvacuated(worker->second)) {
        return false;
    }
    if (!this->teamQuotas.headroomOf(job->second.team()).fits(step)) {
        return false;
    }
    this->reserveCapacity(worker->second, job->second, key);
    job->second.place(key, placement.run, worker->first, this->appliedAt);
    this->updateWaitingIndex(job->second);
    return true;
}

void Workload::reserveCapacity(Worker &worker, const Job &job, const TaskKey &key)
{
    const work::StepSpecT &step = job.stepSpec(key.step);
    worker.addRun(key, step);
    this->workerChangeLog.record(incarnationOf(worker.registration));
    this->teamQuotas.reserve(job.team(), quotaDemandOf(step));
}

bool Workload::releaseCapacity(Worker &worker, const Job &job, const TaskKey &key)
{
    const work::StepSpecT &step = job.stepSpec(key.step);
    if (!worker.removeRun(key, step)) {
        return false;
    }
    this->workerChangeLog.record(incarnationOf(worker.registration));
    this->teamQuotas.release(job.team(), quotaDemandOf(step));
    return true;
}

void Workload::addSuperseded(Worker &worker, const TaskKey &key, const SupersededRun &run)
{
    worker.addSuperseded(key, run);
    ++this->supersededByTask[key];
    this->workerChangeLog.record(incarnationOf(worker.registration));
    this->teamQuotas.reserve(run.team, run.quotaDemand);
}

void Workload::removeSuperseded(Worker &worker, const TaskKey &key)
{
    const SupersededRun &run = worker.superseded.at(key);
    this->teamQuotas.release(run.team, run.quotaDemand);
    const auto counted = this->supersededByTask.find(key);
    if (--counted->second == 0) {
        this->supersededByTask.erase(counted);
    }
    this->workerChangeLog.record(incarnationOf(worker.registration));
    worker.removeSuperseded(key);
}

void Workload::undoPlacement(const work::PlacementT &placement)
{
    work::RunEndT end;
    end.task = std::make_unique<work::TaskKeyT>(*placement.task);
    end.run = placement.run;
    end.kind = work::RunEndKind::Void;
    this->endRun(incarnationOf(placement), end);
}

Outcome Workload::recordEnds(const work::RecordEndsT &command)
{
    const Incarnation incarnation{command.worker, command.born};
    const auto worker = this->workerByIncarnation.find(incarnation);
    if (command.hasAnswered && worker != this->workerByIncarnation.end()) {
        this->resolveExpiredLeases(worker->second);
    }
    Outcome outcome;
    for (const auto &end : command.ends) {
        if (this->endRun(incarnation, *end)) {
            outcome.abandonedTasks.emplace_back(*end->task);
        }
    }
    return outcome;
}

bool Workload::endRun(const Incarnation &incarnation, const work::RunEndT &end)
{
    const auto worker = this->workerByIncarnation.find(incarnation);
    if (worker != this->workerByIncarnation.end()) {
        worker->second.lastSequence = std::max(worker->second.lastSequence, end.sequence);
    }
    const TaskKey key(*end.task);
    if (worker != this->workerByIncarnation.end()) {
        this->endSupersededRun(worker->second, key, end);
    }
    const auto job = this->jobById.find(key.job);
    const bool hadEnded = job == this->jobById.end() || job->second.hasEnded();
    if (job == this->jobById.end() || !job->second.endRun(key, end.run, incarnation, end.kind, end.checkpoint, this->appliedAt)) {
        return false;
    }
    if (worker != this->workerByIncarnation.end() && this->releaseCapacity(worker->second, job->second, key)) {
        if (end.kind == work::RunEndKind::Superseded) {
            const work::StepSpecT &step = job->second.stepSpec(key.step);
            this->addSuperseded(worker->second, key, {end.run, demandOf(step), job->second.team(), quotaDemandOf(step)});
        }
        if (end.kind == work::RunEndKind::Expired) {
            this->recordExpiredLease(worker->second, key, end.atLoss);
        }
    }
    if (!this->suspectTasks.empty()) {
        this->updateSuspect(key);
    }
    this->updateJobIndexes(job->second);
    return !hadEnded && job->second.failure().reason == work::JobFailureReason::WorkersLost;
}

void Workload::moveRun(const Incarnation &from, const Incarnation &to, const work::RunEndT &run)
{
    const TaskKey key(*run.task);
    const auto source = this->workerByIncarnation.find(from);
    const auto target = this->workerByIncarnation.find(to);
    const auto job = this->jobById.find(key.job);
    if (target == this->workerByIncarnation.end() || job == this->jobById.end() || !job->second.moveRun(key, run.run, from, to)) {
        return;
    }
    this->releaseCapacity(source->second, job->second, key);
    // The run is already on that worker: it is counted even if it exceeds the free capacity.
    this->reserveCapacity(target->second, job->second, key);
}

void Workload::endSupersededRun(Worker &worker, const TaskKey &key, const work::RunEndT &end)
{
    const auto found = worker.superseded.find(key);
    if (found == worker.superseded.end() || found->second.run != end.run) {
        return;
    }
    this->removeSuperseded(worker, key);
    const auto job = this->jobById.find(key.job);
    if (job != this->jobById.end()) {
        job->second.endSupersededRun(key, end.run, end.kind, this->appliedAt);
        if (end.kind == work::RunEndKind::Expired) {
            this->recordExpiredLease(worker, key, end.atLoss);
        }
        this->updateJobIndexes(job->second);
    }
}

void Workload::updateWaitingIndex(const Job &job)
{
    this->jobChangeLog.record(job.id());
    if (!job.hasEnded() && job.waitingTasks() > 0) {
        this->waitingJobIds.insert(job.id());
    } else {
        this->waitingJobIds.erase(job.id());
    }
}

void Workload::updateJobIndexes(Job &job)
{
    this->updateWaitingIndex(job);
    if (job.hasEnded()) {
        const auto first = this->suspectTasks.lower_bound({job.id(), 0, 0, 0});
        const auto last = std::find_if(first, this->suspectTasks.end(), [&job](const TaskKey &key) { return key.job != job.id(); });
        this->suspectTasks.erase(first, last);
    }
    if (!job.hasEnded() || job.activeRunCount() > 0) {
        this->activeJobIds.insert(job.id());
        return;
    }
    if (this->activeJobIds.erase(job.id()) > 0) {
        job.releasePayload();
        this->endedJobIds.push_back(job.id());
    }
}

void Workload::removeEndedJobs()
{
    while (!this->endedJobIds.empty()) {
        const auto job = this->jobById.find(this->endedJobIds.front());
        if (job->second.endedAtMillis() + jobRetentionMillis > this->appliedAt) {
            return;
        }
        this->jobById.erase(job);
        this->endedJobIds.pop_front();
    }
}

const work::ChangeConfigurationT &Workload::configuration() const
{
    return this->currentConfiguration;
}

const work::QueueSpecT *Workload::findQueue(std::string_view host, std::string_view path) const
{
    const work::QueueSpecT *best = nullptr;
    for (const auto &queue : this->currentConfiguration.queues) {
        const bool matches = absl::EqualsIgnoreCase(queue->host, toAbsl(host)) && absl::StartsWith(toAbsl(path), queue->pathPrefix);
        if (matches && (best == nullptr || queue->pathPrefix.size() > best->pathPrefix.size())) {
            best = queue.get();
        }
    }
    return best;
}

const work::ServiceSpecT *Workload::findService(std::string_view name) const
{
    for (const auto &service : this->currentConfiguration.services) {
        if (service->name == name) {
            return service.get();
        }
    }
    return nullptr;
}

const Teams &Workload::teams() const
{
    return this->teamQuotas;
}

const Job *Workload::findJob(const std::string &id) const
{
    const auto found = this->jobById.find(id);
    return found == this->jobById.end() ? nullptr : &found->second;
}

const Job *Workload::findJobAt(std::string_view host, std::string_view path) const
{
    if (path.size() < jobIdLength) {
        return nullptr;
    }
    const std::size_t prefixLength = path.size() - jobIdLength;
    const Job *job = this->findJob(std::string(path.substr(prefixLength)));
    return job != nullptr && job->queueAddress() == queueAddress(host, path.substr(0, prefixLength)) ? job : nullptr;
}

const std::set<std::string> &Workload::activeJobs() const
{
    return this->activeJobIds;
}

const std::set<std::string> &Workload::waitingJobs() const
{
    return this->waitingJobIds;
}

const std::set<TaskKey> &Workload::suspects() const
{
    return this->suspectTasks;
}

std::uint32_t Workload::supersededRunCount(const TaskKey &key) const
{
    const auto found = this->supersededByTask.find(key);
    return found == this->supersededByTask.end() ? 0 : found->second;
}

const ChangeLog<std::string> &Workload::jobChanges() const
{
    return this->jobChangeLog;
}

const ChangeLog<Incarnation> &Workload::workerChanges() const
{
    return this->workerChangeLog;
}

std::int64_t Workload::appliedAtMillis() const
{
    return this->appliedAt;
}

} // namespace paddlepier::workload
