// The ledger of one data centre.

#include "paddlepier/ledger/ledger.h"

#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <unordered_set>

namespace paddlepier::ledger
{

namespace
{

using wire::TaskState;

Applied reject(ErrorCode error, std::string message)
{
    Applied applied;
    applied.error = error;
    applied.message = std::move(message);
    return applied;
}

std::uint64_t activeCount(const Job &job)
{
    return job.count(TaskState::Placed) + job.count(TaskState::Running) + job.count(TaskState::Stopping);
}

AttemptEnd toAttemptEnd(wire::AttemptOutcome outcome)
{
    switch (outcome) {
    case wire::AttemptOutcome::Succeeded:
        return AttemptEnd::Succeeded;
    case wire::AttemptOutcome::Failed:
        return AttemptEnd::Failed;
    case wire::AttemptOutcome::Stopped:
        break;
    }
    return AttemptEnd::Stopped;
}

} // namespace

std::string submissionKey(std::string_view partner, std::string_view submissionId)
{
    return absl::StrCat(std::string(partner), "/", std::string(submissionId));
}

Applied Ledger::apply(const wire::LedgerEntryT &entry)
{
    this->appliedMicros = std::max(this->appliedMicros, entry.atMicros);
    this->requests.removeExpired(this->appliedMicros);
    this->removeEndedJobs();
    const wire::CommandUnion &command = entry.command;
    switch (command.type) {
    case wire::Command::RegisterWorker:
        return this->registerWorker(*command.AsRegisterWorker());
    case wire::Command::RemoveWorker:
        return this->removeWorker(*command.AsRemoveWorker());
    case wire::Command::DrainWorker:
        return this->drainWorker(*command.AsDrainWorker());
    case wire::Command::SubmitJob:
        return this->submitJob(*command.AsSubmitJob());
    case wire::Command::CancelJob:
        return this->cancelJob(*command.AsCancelJob());
    case wire::Command::PlaceTasks:
        return this->placeTasks(*command.AsPlaceTasks());
    case wire::Command::ReportTasks:
        return this->reportTasks(*command.AsReportTasks());
    case wire::Command::ExpireLeases:
        return this->expireLeases(*command.AsExpireLeases());
    case wire::Command::OpenRequest: {
        Applied applied;
        const OpenOutcome outcome = this->requests.open(*command.AsOpenRequest());
        if (outcome == OpenOutcome::TableFull) {
            return reject(ErrorCode::Overloaded, "the table of recorded requests is full");
        }
        applied.alreadyKnown = outcome != OpenOutcome::Accepted;
        applied.begin = outcome == OpenOutcome::KeyReused ? wire::BeginResult::KeyReused
                        : applied.alreadyKnown            ? wire::BeginResult::InProgress
                                                          : wire::BeginResult::Accepted;
        return applied;
    }
    case wire::Command::CloseRequest: {
        const bool closed = this->requests.close(*command.AsCloseRequest());
        return closed ? Applied() : reject(ErrorCode::Conflict, "the key is held by another attempt");
    }
    case wire::Command::ChangeConfiguration:
        return this->changeConfiguration(*command.AsChangeConfiguration());
    case wire::Command::NONE:
        break;
    }
    return reject(ErrorCode::MalformedBody, "unknown command");
}

template<typename Change>
void Ledger::changeJob(Job &job, Change change)
{
    const std::uint64_t queuedBefore = job.count(TaskState::Queued);
    const std::uint64_t activeBefore = activeCount(job);
    const bool wasLost = job.state() == TaskState::Lost;
    const bool hadEnded = job.hasEnded();
    change(job);
    this->sums.queuedTasks += job.count(TaskState::Queued) - queuedBefore;
    this->sums.activeTasks += activeCount(job) - activeBefore;
    this->sums.lostJobs += static_cast<std::uint64_t>(job.state() == TaskState::Lost) - static_cast<std::uint64_t>(wasLost);
    if (job.count(TaskState::Queued) > 0) {
        this->queued.insert(job.id());
    } else {
        this->queued.erase(job.id());
    }
    if (job.hasEnded() && !hadEnded) {
        this->endedJobs.push_back(job.id());
    }
    this->changedJobs.insert(job.id());
}

void Ledger::markWorkerChanged(const std::string &name)
{
    this->changedWorkers.insert(name);
}

Applied Ledger::registerWorker(const wire::RegisterWorkerT &command)
{
    const auto found = this->workerByName.find(command.worker);
    if (found != this->workerByName.end()) {
        found->second.update(command);
    } else {
        wire::WorkerRecordT record;
        record.registration = std::make_unique<wire::RegisterWorkerT>(command);
        this->workerByName.emplace(command.worker, Worker(std::move(record)));
    }
    this->markWorkerChanged(command.worker);
    this->moveServices(this->workerByName.at(command.worker));
    return {};
}

Applied Ledger::removeWorker(const wire::RemoveWorkerT &command)
{
    const auto found = this->workerByName.find(command.worker);
    if (found == this->workerByName.end()) {
        return reject(ErrorCode::UnknownWorker, command.worker);
    }
    if (!found->second.tasks().empty()) {
        return reject(ErrorCode::Conflict, absl::StrCat(command.worker, " still holds tasks"));
    }
    this->workerByName.erase(found);
    this->markWorkerChanged(command.worker);
    return {};
}

Applied Ledger::drainWorker(const wire::DrainWorkerT &command)
{
    const auto found = this->workerByName.find(command.worker);
    if (found == this->workerByName.end()) {
        return reject(ErrorCode::UnknownWorker, absl::StrCat("no worker ", command.worker));
    }
    found->second.setDrainedByOperator(command.draining);
    this->markWorkerChanged(command.worker);
    this->moveServices(found->second);
    return {};
}

void Ledger::moveServices(const Worker &worker)
{
    if (!worker.isDraining()) {
        return;
    }
    this->markWorkerChanged(worker.name());
    for (const TaskId &task : worker.tasks()) {
        Job &job = this->jobById.at(task.job);
        if (job.spec().kind == wire::JobKind::Service) {
            this->changeJob(job, [&task](Job &changed) { changed.requestMove(task.index); });
        }
    }
}

Applied Ledger::submitJob(const wire::SubmitJobT &command)
{
    Applied applied;
    const std::string key = submissionKey(command.partner, command.submissionId);
    const auto known = this->jobBySubmission.find(key);
    if (known != this->jobBySubmission.end()) {
        applied.job = known->second;
        applied.alreadyKnown = true;
        return applied;
    }
    if (command.spec->tasks == 0 || command.spec->tasks > maxTasksPerJob) {
        return reject(ErrorCode::InvalidArgument, absl::StrCat("tasks must be from 1 to ", maxTasksPerJob));
    }
    wire::JobRecordT record;
    record.id = this->nextJob++;
    record.partner = command.partner;
    record.submissionId = command.submissionId;
    record.spec = std::make_unique<wire::JobSpecT>(*command.spec);
    record.submittedAtMicros = this->appliedMicros;
    applied.job = record.id;
    this->jobBySubmission.emplace(key, record.id);
    const auto added = this->jobById.emplace(applied.job, Job(std::move(record))).first;
    this->sums.queuedTasks += added->second.count(TaskState::Queued);
    this->queued.insert(added->first);
    this->changedJobs.insert(added->first);
    return applied;
}

Applied Ledger::cancelJob(const wire::CancelJobT &command)
{
    const auto found = this->jobById.find(command.job);
    if (found == this->jobById.end()) {
        return reject(ErrorCode::UnknownJob, absl::StrCat("no job ", command.job));
    }
    Applied applied;
    applied.job = command.job;
    applied.alreadyKnown = found->second.hasEnded();
    const std::int64_t at = this->appliedMicros;
    this->changeJob(found->second, [at](Job &job) { job.cancel(at); });
    for (const wire::TaskRecordT &task : found->second.tasks()) {
        if (isActive(task.state)) {
            this->markWorkerChanged(task.worker);
        }
    }
    return applied;
}

Applied Ledger::changeConfiguration(const wire::ChangeConfigurationT &command)
{
    wire::ConfigurationT &current = this->currentConfiguration;
    Applied applied;
    if (command.text == current.text && command.revision == current.revision) {
        applied.alreadyKnown = true;
        applied.version = current.version;
        return applied;
    }
    if (command.expectedVersion != current.version) {
        return reject(
            ErrorCode::Conflict,
            absl::StrCat(
                "the change was made against version ", command.expectedVersion, ", but version ", current.version, " (", current.revision, ") is accepted"));
    }
    ++current.version;
    current.revision = command.revision;
    current.text = command.text;
    applied.version = current.version;
    return applied;
}

bool Ledger::reserveFor(const wire::PlacementT &placement)
{
    const auto job = this->jobById.find(placement.job);
    const auto worker = this->workerByName.find(placement.worker);
    if (job == this->jobById.end() || worker == this->workerByName.end() || !job->second.isQueued(placement.index)) {
        return false;
    }
    return worker->second.reserve({placement.job, placement.index}, job->second.spec().resources);
}

bool Ledger::placeGroup(const wire::PlacementGroupT &group)
{
    std::size_t reserved = 0;
    while (reserved < group.placements.size() && this->reserveFor(*group.placements[reserved])) {
        ++reserved;
    }
    if (reserved < group.placements.size()) {
        for (std::size_t index = 0; index < reserved; ++index) {
            const wire::PlacementT &placement = *group.placements[index];
            const Resources need = this->jobById.at(placement.job).spec().resources;
            this->workerByName.at(placement.worker).release({placement.job, placement.index}, need);
        }
        return false;
    }
    for (const std::unique_ptr<wire::PlacementT> &placement : group.placements) {
        Job &job = this->jobById.at(placement->job);
        const std::uint64_t epoch = this->nextEpoch++;
        this->changeJob(job, [&placement, epoch](Job &changed) { changed.place(placement->index, placement->worker, epoch); });
        Resources &total = this->reservedByPartner[job.record().partner];
        total = plus(total, job.spec().resources);
    }
    return true;
}

Applied Ledger::placeTasks(const wire::PlaceTasksT &command)
{
    Applied applied;
    for (const std::unique_ptr<wire::PlacementGroupT> &group : command.groups) {
        if (this->placeGroup(*group)) {
            applied.placed += static_cast<std::uint32_t>(group->placements.size());
        }
        for (const std::unique_ptr<wire::PlacementT> &placement : group->placements) {
            this->markWorkerChanged(placement->worker);
            this->changedJobs.insert(placement->job);
        }
    }
    return applied;
}

void Ledger::release(const Job &job, const ReleasedReservation &released)
{
    const auto worker = this->workerByName.find(released.worker);
    if (worker != this->workerByName.end()) {
        worker->second.release(released.task, job.spec().resources);
    }
    Resources &total = this->reservedByPartner[job.record().partner];
    total = minus(total, job.spec().resources);
    this->markWorkerChanged(released.worker);
}

void Ledger::endAttempt(const wire::TaskLease &lease, const std::string &worker, AttemptEnd end)
{
    const auto found = this->jobById.find(lease.job());
    if (found == this->jobById.end() || !found->second.holds(lease.index(), lease.epoch())) {
        return;
    }
    Job &job = found->second;
    if (job.tasks()[lease.index()].worker != worker) {
        return;
    }
    std::vector<ReleasedReservation> released;
    const std::int64_t at = this->appliedMicros;
    this->changeJob(job, [&](Job &changed) { released = changed.endAttempt(lease.index(), lease.epoch(), end, at); });
    for (const ReleasedReservation &reservation : released) {
        this->release(job, reservation);
    }
}

void Ledger::endAttempts(const std::vector<wire::TaskLease> &leases, const std::string &worker, AttemptEnd end)
{
    for (const wire::TaskLease &lease : leases) {
        this->endAttempt(lease, worker, end);
    }
}

Applied Ledger::reportTasks(const wire::ReportTasksT &command)
{
    for (const wire::TaskLease &lease : command.started) {
        const auto found = this->jobById.find(lease.job());
        if (found != this->jobById.end()) {
            const std::int64_t at = this->appliedMicros;
            this->changeJob(found->second, [&lease, at](Job &job) { job.markStarted(lease.index(), lease.epoch(), at); });
        }
    }
    for (const std::unique_ptr<wire::FinishedAttemptT> &finished : command.finished) {
        this->endAttempt(finished->lease, command.worker, toAttemptEnd(finished->outcome));
    }
    this->endAttempts(command.gone, command.worker, AttemptEnd::Unknown);
    this->endAttempts(command.unstarted, command.worker, AttemptEnd::NeverStarted);
    return {};
}

Applied Ledger::expireLeases(const wire::ExpireLeasesT &command)
{
    this->endAttempts(command.leases, command.worker, AttemptEnd::Unknown);
    this->endAttempts(command.unstarted, command.worker, AttemptEnd::NeverStarted);
    return {};
}

void Ledger::removeEndedJobs()
{
    while (!this->endedJobs.empty()) {
        const auto found = this->jobById.find(this->endedJobs.front());
        if (found == this->jobById.end()) {
            this->endedJobs.pop_front();
            continue;
        }
        const wire::JobRecordT &record = found->second.record();
        if (record.endedAtMicros + jobRetentionMicros >= this->appliedMicros) {
            return;
        }
        this->sums.lostJobs -= static_cast<std::uint64_t>(found->second.state() == TaskState::Lost);
        this->jobBySubmission.erase(submissionKey(record.partner, record.submissionId));
        this->changedJobs.insert(found->first);
        this->jobById.erase(found);
        this->endedJobs.pop_front();
    }
}

std::string Ledger::snapshot() const
{
    wire::LedgerSnapshotT packed;
    packed.atMicros = this->appliedMicros;
    packed.nextJob = this->nextJob;
    packed.nextEpoch = this->nextEpoch;
    for (const auto &[name, worker] : this->workerByName) {
        packed.workers.push_back(std::make_unique<wire::WorkerRecordT>(worker.record()));
    }
    for (const auto &[id, job] : this->jobById) {
        packed.jobs.push_back(std::make_unique<wire::JobRecordT>(job.pack()));
    }
    packed.requests = this->requests.pack();
    packed.configuration = std::make_unique<wire::ConfigurationT>(this->currentConfiguration);
    return wire::pack(packed);
}

void Ledger::restore(std::string_view bytes)
{
    wire::LedgerSnapshotT packed = wire::unpack<wire::LedgerSnapshotT>(bytes);
    *this = Ledger();
    this->appliedMicros = packed.atMicros;
    this->nextJob = packed.nextJob;
    this->nextEpoch = packed.nextEpoch;
    for (std::unique_ptr<wire::WorkerRecordT> &record : packed.workers) {
        const std::string name = record->registration->worker;
        this->workerByName.emplace(name, Worker(std::move(*record)));
        this->markWorkerChanged(name);
    }
    std::vector<std::pair<std::int64_t, std::uint64_t>> ended;
    for (std::unique_ptr<wire::JobRecordT> &record : packed.jobs) {
        const std::uint64_t id = record->id;
        const Job &job = this->jobById.emplace(id, Job(std::move(*record))).first->second;
        this->jobBySubmission.emplace(submissionKey(job.record().partner, job.record().submissionId), id);
        this->sums.queuedTasks += job.count(TaskState::Queued);
        this->sums.activeTasks += activeCount(job);
        this->sums.lostJobs += static_cast<std::uint64_t>(job.state() == TaskState::Lost);
        for (const wire::TaskRecordT &task : job.tasks()) {
            if (isActive(task.state)) {
                this->workerByName.at(task.worker).restore({id, task.index}, job.spec().resources);
                Resources &total = this->reservedByPartner[job.record().partner];
                total = plus(total, job.spec().resources);
            }
        }
        if (job.count(TaskState::Queued) > 0) {
            this->queued.insert(id);
        }
        if (job.hasEnded()) {
            ended.emplace_back(job.record().endedAtMicros, id);
        }
        this->changedJobs.insert(id);
    }
    std::sort(ended.begin(), ended.end());
    for (const auto &[at, id] : ended) {
        this->endedJobs.push_back(id);
    }
    this->requests.restore(packed.requests);
    if (packed.configuration) {
        this->currentConfiguration = *packed.configuration;
    }
}

const Worker *Ledger::findWorker(std::string_view name) const
{
    const auto found = this->workerByName.find(name);
    return found == this->workerByName.end() ? nullptr : &found->second;
}

const Job *Ledger::findJob(std::uint64_t id) const
{
    const auto found = this->jobById.find(id);
    return found == this->jobById.end() ? nullptr : &found->second;
}

const wire::RequestRecordT *Ledger::findRequest(std::string_view partner, std::string_view key) const
{
    return this->requests.find(partner, key);
}

const std::map<std::string, Worker, std::less<>> &Ledger::workers() const
{
    return this->workerByName;
}

const std::map<std::uint64_t, Job> &Ledger::jobs() const
{
    return this->jobById;
}

const std::set<std::uint64_t> &Ledger::queuedJobs() const
{
    return this->queued;
}

const Resources &Ledger::reservedBy(const std::string &partner) const
{
    static const Resources none;
    const auto found = this->reservedByPartner.find(partner);
    return found == this->reservedByPartner.end() ? none : found->second;
}

const wire::ConfigurationT &Ledger::configuration() const
{
    return this->currentConfiguration;
}

Totals Ledger::totals() const
{
    return this->sums;
}

std::uint64_t Ledger::upcomingEpoch() const
{
    return this->nextEpoch;
}

std::int64_t Ledger::lastAppliedMicros() const
{
    return this->appliedMicros;
}

std::vector<std::string> Ledger::drainChangedWorkers()
{
    std::vector<std::string> names(this->changedWorkers.begin(), this->changedWorkers.end());
    this->changedWorkers.clear();
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<std::uint64_t> Ledger::drainChangedJobs()
{
    std::vector<std::uint64_t> ids(this->changedJobs.begin(), this->changedJobs.end());
    this->changedJobs.clear();
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace paddlepier::ledger
