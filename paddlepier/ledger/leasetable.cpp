// Task leases of all workers.

#include "paddlepier/ledger/leasetable.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

#include <map>
#include <utility>

namespace paddlepier::ledger
{

namespace
{

using wire::TaskState;

/** Added to a lease on the leader's clock to cover the granularity of timers. */
constexpr Duration timerMargin = absl::Milliseconds(50);

/** Pause after a reply that the leader could hold back; it only limits announcements during a burst of events. */
constexpr Duration pauseAfterHeldReply = absl::Milliseconds(20);

/** A worker without tasks is removed this many lease times after its lease has expired. */
constexpr int removeAfterLeases = 6;

using LeaseKey = std::pair<std::uint64_t, std::uint32_t>;
using EpochByTask = std::map<LeaseKey, std::uint64_t>;

wire::RegisterWorkerT registrationOf(const wire::AnnounceRequestT &request)
{
    wire::RegisterWorkerT registration;
    registration.worker = request.worker;
    registration.partner = request.partner;
    registration.rack = request.rack;
    registration.address = request.address;
    registration.capacity = request.capacity;
    registration.slots = request.slots;
    registration.connections = request.connections;
    registration.draining = request.draining;
    return registration;
}

EpochByTask epochsOf(const std::vector<wire::TaskLease> &leases)
{
    EpochByTask epochs;
    for (const wire::TaskLease &lease : leases) {
        epochs[{lease.job(), lease.index()}] = lease.epoch();
    }
    return epochs;
}

EpochByTask epochsOf(const std::vector<std::unique_ptr<wire::FinishedAttemptT>> &attempts)
{
    EpochByTask epochs;
    for (const auto &attempt : attempts) {
        epochs[{attempt->lease.job(), attempt->lease.index()}] = attempt->lease.epoch();
    }
    return epochs;
}

bool contains(const EpochByTask &epochs, const TaskId &task, std::uint64_t epoch)
{
    const auto found = epochs.find({task.job, task.index});
    return found != epochs.end() && found->second == epoch;
}

template<typename Command>
wire::CommandUnion toCommand(Command command)
{
    wire::CommandUnion commandUnion;
    commandUnion.Set(std::move(command));
    return commandUnion;
}

} // namespace

LeaseTable::LeaseTable(const TimingSettings &timingSettings, std::uint64_t leaderTerm, std::uint64_t nextEpoch, Timestamp leaderSince, LeaseGuards leaseGuards)
    : timing(timingSettings)
    , ownTerm(leaderTerm)
    , firstOwnEpoch(nextEpoch)
    , since(leaderSince)
    , guards(leaseGuards)
{
}

Duration LeaseTable::leaderLease() const
{
    if (!this->guards.driftMargin) {
        return this->timing.taskLease;
    }
    // The worker's clock may be slow while this one is fast, hence twice the drift.
    return this->timing.taskLease * (1.0 + 2.0 * this->timing.driftPerMille / 1000.0) + timerMargin;
}

std::uint64_t LeaseTable::term() const
{
    return this->ownTerm;
}

wire::AnnounceReplyT LeaseTable::emptyReply(const wire::AnnounceRequestT &request) const
{
    wire::AnnounceReplyT reply;
    reply.sequence = request.sequence;
    reply.term = this->ownTerm;
    reply.leaseMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(this->timing.taskLease));
    const Duration pause = request.waitMillis > 0 ? pauseAfterHeldReply : this->timing.announceInterval;
    reply.nextAnnounceMillis = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(pause));
    return reply;
}

std::optional<wire::AnnounceReplyT> LeaseTable::currentReply(const wire::AnnounceRequestT &request, const Ledger &ledger)
{
    const auto contact = this->contacts.find(request.worker);
    const Worker *worker = ledger.findWorker(request.worker);
    if (contact == this->contacts.end() || contact->second.sequence != request.sequence || worker == nullptr) {
        return std::nullopt;
    }
    wire::AnnounceReplyT reply = this->emptyReply(request);
    this->grant(*worker, request, ledger, contact->second, reply);
    return reply;
}

AnnouncementResult LeaseTable::announce(Timestamp now, const wire::AnnounceRequestT &request, const Ledger &ledger)
{
    Contact &contact = this->contacts[request.worker];
    if (request.sequence <= contact.sequence) {
        throw StaleAnnouncementError(absl::StrCat("sequence ", request.sequence, " of ", request.worker, " is not above ", contact.sequence));
    }
    contact.sequence = request.sequence;
    contact.lastAnnouncedAt = now;
    contact.clockMicros = request.clockMicros;
    contact.leaseEnd = now + this->leaderLease();
    contact.removalProposed = false;

    AnnouncementResult result;
    result.reply = this->emptyReply(request);
    const wire::RegisterWorkerT registration = registrationOf(request);
    const Worker *known = ledger.findWorker(request.worker);
    if (known == nullptr || differs(known->registration(), registration)) {
        result.commands.push_back(toCommand(registration));
    }
    wire::ReportTasksT report;
    report.worker = request.worker;
    this->reportFinished(request, ledger, result, report);
    if (known != nullptr) {
        this->compareTasks(request, ledger, contact, report);
        if (this->guards.withdrawBeforeEnd) {
            withdraw(report, contact);
        }
        this->grant(*known, request, ledger, contact, result.reply);
    }
    if (!report.started.empty() || !report.finished.empty() || !report.gone.empty() || !report.unstarted.empty()) {
        result.commands.push_back(toCommand(std::move(report)));
    }
    return result;
}

void LeaseTable::reportFinished(const wire::AnnounceRequestT &request, const Ledger &ledger, AnnouncementResult &result, wire::ReportTasksT &report) const
{
    for (const auto &attempt : request.finished) {
        const Job *job = ledger.findJob(attempt->lease.job());
        if (job != nullptr && job->holds(attempt->lease.index(), attempt->lease.epoch())) {
            report.finished.push_back(std::make_unique<wire::FinishedAttemptT>(*attempt));
        } else {
            result.reply.recorded.push_back(attempt->lease);
        }
    }
}

bool LeaseTable::wasNeverOffered(const wire::TaskRecordT &task, const Contact &contact) const
{
    // Attempts placed before this leader was elected may have been offered by an earlier leader.
    return task.state == TaskState::Placed && task.epoch >= this->firstOwnEpoch && !contact.offered.contains(task.epoch);
}

bool LeaseTable::mayOffer(
    const Worker &worker, const Job &job, const wire::TaskRecordT &task, const wire::AnnounceRequestT &request, const Contact &contact) const
{
    if (task.state != TaskState::Placed || worker.isDraining()) {
        return false;
    }
    // After an earlier offer, only the number of the last reply that the worker processed can prove that the attempt never started.
    // A worker that was restarted since sends none: the attempt may have crashed it, and another offer would crash it again.
    const auto offered = contact.offered.find(task.epoch);
    if (offered != contact.offered.end()) {
        return request.replySequence > 0 && request.replySequence < offered->second;
    }
    const bool isNew = this->wasNeverOffered(task, contact);
    // The worker's capacity has shrunk below its reservations: attempts that were not offered yet are placed elsewhere.
    if (isNew && !fits(worker.reserved(), request.capacity)) {
        return false;
    }
    return isNew || !job.spec().atMostOnce;
}

void LeaseTable::compareTasks(const wire::AnnounceRequestT &request, const Ledger &ledger, const Contact &contact, wire::ReportTasksT &report) const
{
    const EpochByTask running = epochsOf(request.running);
    const EpochByTask finished = epochsOf(request.finished);
    const bool canInferEnd = request.term == this->ownTerm || !this->guards.fenceOldReplies;
    const Worker &worker = *ledger.findWorker(request.worker);
    for (const TaskId &task : worker.tasks()) {
        const Job &job = *ledger.findJob(task.job);
        const wire::TaskRecordT &record = job.tasks()[task.index];
        const wire::TaskLease lease(task.job, task.index, record.epoch);
        if (contains(running, task, record.epoch)) {
            if (record.state == TaskState::Placed) {
                report.started.push_back(lease);
            }
            continue;
        }
        const bool isReported = contains(finished, task, record.epoch);
        if (canInferEnd && !isReported && !this->mayOffer(worker, job, record, request, contact)) {
            auto &list = this->wasNeverOffered(record, contact) ? report.unstarted : report.gone;
            list.push_back(lease);
        }
    }
}

void LeaseTable::withdraw(const wire::ReportTasksT &report, Contact &contact)
{
    for (const wire::TaskLease &lease : report.gone) {
        contact.withdrawn.insert(lease.epoch());
    }
    for (const wire::TaskLease &lease : report.unstarted) {
        contact.withdrawn.insert(lease.epoch());
    }
    for (const auto &attempt : report.finished) {
        contact.withdrawn.insert(attempt->lease.epoch());
    }
}

void LeaseTable::grant(const Worker &worker, const wire::AnnounceRequestT &request, const Ledger &ledger, Contact &contact, wire::AnnounceReplyT &reply) const
{
    const EpochByTask running = epochsOf(request.running);
    const EpochByTask finished = epochsOf(request.finished);
    absl::flat_hash_map<std::uint64_t, std::uint64_t> offered;
    absl::flat_hash_set<std::uint64_t> withdrawn;
    for (const TaskId &task : worker.tasks()) {
        const Job &job = *ledger.findJob(task.job);
        const wire::TaskRecordT &record = job.tasks()[task.index];
        if (contact.withdrawn.contains(record.epoch)) {
            withdrawn.insert(record.epoch);
            continue;
        }
        const auto known = contact.offered.find(record.epoch);
        if (known != contact.offered.end()) {
            offered[record.epoch] = known->second;
        }
        const bool isRunning = contains(running, task, record.epoch);
        if (isRunning && record.state != TaskState::Stopping) {
            reply.renewed.emplace_back(task.job, task.index, record.epoch);
        }
        if (isRunning || contains(finished, task, record.epoch) || !this->mayOffer(worker, job, record, request, contact)) {
            continue;
        }
        auto assignment = std::make_unique<wire::AssignmentT>();
        assignment->lease = wire::TaskLease(task.job, task.index, record.epoch);
        assignment->name = job.spec().name;
        assignment->kind = job.spec().kind;
        assignment->resources = job.spec().resources;
        assignment->runSeconds = job.spec().runSeconds;
        assignment->command = job.spec().command;
        reply.started.push_back(std::move(assignment));
        offered[record.epoch] = request.sequence;
    }
    contact.offered = std::move(offered);
    contact.withdrawn = std::move(withdrawn);
}

std::vector<wire::CommandUnion> LeaseTable::expire(Timestamp now, const Ledger &ledger)
{
    std::vector<wire::CommandUnion> commands;
    for (const auto &[name, worker] : ledger.workers()) {
        const auto [found, isNew] = this->contacts.try_emplace(name);
        Contact &contact = found->second;
        if (isNew) {
            contact.leaseEnd = this->guards.renewAtElection ? this->since + this->leaderLease() : this->since;
        }
        if (now < contact.leaseEnd) {
            continue;
        }
        if (worker.tasks().empty()) {
            if (now >= contact.leaseEnd + removeAfterLeases * this->timing.taskLease && !contact.removalProposed) {
                contact.removalProposed = true;
                wire::RemoveWorkerT command;
                command.worker = name;
                commands.push_back(toCommand(std::move(command)));
            }
            continue;
        }
        wire::ExpireLeasesT command;
        command.worker = name;
        for (const TaskId &task : worker.tasks()) {
            const wire::TaskRecordT &record = ledger.findJob(task.job)->tasks()[task.index];
            auto &list = this->wasNeverOffered(record, contact) ? command.unstarted : command.leases;
            list.emplace_back(task.job, task.index, record.epoch);
            if (this->guards.withdrawBeforeEnd) {
                contact.withdrawn.insert(record.epoch);
            }
        }
        contact.leaseEnd = now + this->timing.announceInterval; // Proposed again at that time unless it was applied.
        commands.push_back(toCommand(std::move(command)));
    }
    return commands;
}

bool LeaseTable::isReachable(Timestamp now, const std::string &worker) const
{
    return this->timeSinceAnnouncement(now, worker) < this->timing.workerTimeout;
}

Duration LeaseTable::timeSinceAnnouncement(Timestamp now, const std::string &worker) const
{
    const auto found = this->contacts.find(worker);
    return found == this->contacts.end() ? absl::InfiniteDuration() : now - found->second.lastAnnouncedAt;
}

std::optional<std::int64_t> LeaseTable::workerClock(Timestamp now, const std::string &worker) const
{
    const auto found = this->contacts.find(worker);
    if (found == this->contacts.end() || found->second.sequence == 0) {
        return std::nullopt;
    }
    // A slow worker clock may have advanced less than this clock.
    const Duration elapsed = (now - found->second.lastAnnouncedAt) * (1.0 - 2.0 * this->timing.driftPerMille / 1000.0);
    return found->second.clockMicros + absl::ToInt64Microseconds(elapsed);
}

} // namespace paddlepier::ledger
