// The calls that a ledger's leader serves. The leader's other work is in ledgerservice.cpp.

#include "paddlepier/instance/ledgerservice.h"

#include "paddlepier/instance/ledgerreplies.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace paddlepier::instance
{

namespace
{

using wire::TaskState;

/** An instance that hasn't fetched the configuration for longer than this is shown as unreachable. */
constexpr Duration unreachableAfter = absl::Seconds(3);
constexpr std::size_t maxNameBytes = 200;
constexpr std::size_t maxCommandBytes = 16384;
constexpr std::int64_t microsPerSecond = 1'000'000;
constexpr std::uint64_t maxMilliProcessors = 1'000'000;

std::string reasonText(wire::WaitReason reason)
{
    switch (reason) {
    case wire::WaitReason::None:
        return "not waiting";
    case wire::WaitReason::Backoff:
        return "an attempt failed; the next attempt starts after a backoff";
    case wire::WaitReason::NoWorker:
        return "no reachable worker accepts new tasks";
    case wire::WaitReason::NoCapacity:
        return "no reachable worker has enough free processors, memory and accelerators";
    case wire::WaitReason::OverQuota:
        return "the task would exceed the partner's quota";
    case wire::WaitReason::WaitingForGang:
        return "free capacity suffices for some tasks of the gang, but not for all of them at once";
    case wire::WaitReason::WaitingForLease:
        return "the lease of an earlier attempt has not expired";
    case wire::WaitReason::WaitingForStop:
        return "a worker has not confirmed yet that a task has stopped";
    case wire::WaitReason::LargerThanAnyWorker:
        return "a task exceeds the capacity of every registered worker";
    case wire::WaitReason::NoLeader:
        return "the data centre's ledger has no leader";
    }
    return "";
}

} // namespace

std::string LedgerService::jobName(std::uint64_t id) const
{
    return formatJobName(this->node.dataCentre(), id);
}

void LedgerService::checkSpec(const wire::JobSpecT &spec) const
{
    if (spec.name.empty() || spec.name.size() > maxNameBytes) {
        throw InvalidArgumentError(absl::StrCat("spec.name must have 1 to ", maxNameBytes, " bytes"));
    }
    if (spec.command.size() > maxCommandBytes) {
        throw InvalidArgumentError(absl::StrCat("spec.command must have at most ", maxCommandBytes, " bytes"));
    }
    if (spec.tasks == 0 || spec.tasks > ledger::maxTasksPerJob) {
        throw InvalidArgumentError(absl::StrCat("spec.tasks must be from 1 to ", ledger::maxTasksPerJob));
    }
    if (spec.resources.milliProcessors() == 0 || spec.resources.milliProcessors() > maxMilliProcessors) {
        throw InvalidArgumentError(absl::StrCat("spec.resources.milliProcessors must be from 1 to ", maxMilliProcessors));
    }
    if (spec.maxAttempts == 0) {
        throw InvalidArgumentError("spec.maxAttempts must be at least 1");
    }
    if (spec.kind == wire::JobKind::Service && spec.atMostOnce) {
        throw InvalidArgumentError("spec.atMostOnce is not supported for a service: a service is restarted whenever it ends");
    }
    const auto &workers = this->node.state().workers();
    const bool fits = workers.empty() || std::any_of(workers.begin(), workers.end(), [&spec](const auto &entry) {
                          return ledger::fits(spec.resources, entry.second.registration().capacity);
                      });
    if (!fits) {
        throw InfeasibleError(absl::StrCat("a task of \"", spec.name, "\" exceeds the capacity of each of the ", workers.size(), " registered workers"));
    }
}

void LedgerService::submit(const Actor &actor, const wire::SubmitRequestT &request, const CallCallback &done)
{
    this->checkSpec(*request.spec);
    if (request.submissionId.empty() || request.submissionId.size() > maxNameBytes) {
        throw InvalidArgumentError(absl::StrCat("submissionId must have 1 to ", maxNameBytes, " bytes"));
    }
    wire::SubmitJobT command;
    command.partner = actor.partner;
    command.submissionId = request.submissionId;
    command.spec = std::make_unique<wire::JobSpecT>(*request.spec);
    this->proposeAndReply(toCommand(std::move(command)), done, [this, done](const ledger::Applied &applied) {
        wire::SubmitReplyT reply;
        reply.job = this->jobName(applied.job);
        reply.alreadyKnown = applied.alreadyKnown;
        succeed(done, reply);
    });
}

wire::JobSummaryT LedgerService::summarize(const ledger::Job &job) const
{
    wire::JobSummaryT summary;
    summary.job = this->jobName(job.id());
    summary.partner = job.record().partner;
    summary.name = job.spec().name;
    summary.kind = job.spec().kind;
    summary.state = job.state();
    summary.tasks = static_cast<std::uint32_t>(job.tasks().size());
    summary.queued = job.count(TaskState::Queued);
    summary.placed = job.count(TaskState::Placed);
    summary.running = job.count(TaskState::Running);
    summary.succeeded = job.count(TaskState::Succeeded);
    summary.failed = job.count(TaskState::Failed) + job.count(TaskState::Lost);
    summary.submittedAtMicros = job.record().submittedAtMicros;
    summary.firstStartAtMicros = job.record().firstStartAtMicros;
    summary.endedAtMicros = job.record().endedAtMicros;
    const std::int64_t deadline = summary.submittedAtMicros + static_cast<std::int64_t>(job.spec().deadlineSeconds) * microsPerSecond;
    const std::int64_t end = summary.endedAtMicros != 0 ? summary.endedAtMicros : wallMicros();
    summary.overdue = job.spec().deadlineSeconds != 0 && end > deadline;
    return summary;
}

void LedgerService::list(const Actor &actor, const CallCallback &done) const
{
    wire::ListReplyT reply;
    reply.dataCentre = this->node.dataCentre();
    for (const auto &[id, job] : this->node.state().jobs()) {
        if (actor.mayActFor(job.record().partner)) {
            reply.jobs.push_back(std::make_unique<wire::JobSummaryT>(this->summarize(job)));
        }
    }
    succeed(done, reply);
}

const ledger::Job &LedgerService::visibleJob(const Actor &actor, const std::string &name) const
{
    const ledger::Job *job = this->node.state().findJob(parseJobName(name).id);
    // A partner must not learn which jobs of other partners exist, so both cases give the same error.
    if (job == nullptr || !actor.mayActFor(job->record().partner)) {
        throw UnknownJobError(absl::StrCat("unknown job ", name));
    }
    return *job;
}

void LedgerService::explain(const Actor &actor, const wire::ExplainRequestT &request, const CallCallback &done)
{
    const ledger::Job &job = this->visibleJob(actor, request.job);
    wire::ExplainReplyT reply;
    reply.summary = std::make_unique<wire::JobSummaryT>(this->summarize(job));
    reply.reason = this->ensureTerm().scheduler.explain(this->node.state(), job, wallMicros());
    reply.reasonText = reasonText(reply.reason);
    for (const wire::TaskRecordT &task : job.tasks()) {
        if (task.state == TaskState::Failed && task.losses >= ledger::maxLosses) {
            reply.reasonText = absl::StrCat("abandoned: ", task.losses, " workers were lost while running task ", task.index);
        }
        auto detail = std::make_unique<wire::TaskDetailT>();
        detail->index = task.index;
        detail->state = task.state;
        detail->worker = task.worker;
        detail->epoch = task.epoch;
        detail->attempts = task.attempts;
        detail->losses = task.losses;
        detail->reason = task.state == TaskState::Queued ? reply.reason : wire::WaitReason::None;
        reply.tasks.push_back(std::move(detail));
    }
    succeed(done, reply);
}

void LedgerService::cancel(const Actor &actor, const wire::CancelRequestT &request, const CallCallback &done)
{
    wire::CancelJobT command;
    command.job = this->visibleJob(actor, request.job).id();
    this->proposeAndReply(toCommand(command), done, [this, done](const ledger::Applied &applied) {
        wire::CancelReplyT reply;
        reply.job = this->jobName(applied.job);
        reply.alreadyEnded = applied.alreadyKnown;
        succeed(done, reply);
    });
}

void LedgerService::status(Timestamp now, const CallCallback &done)
{
    const ledger::Ledger &state = this->node.state();
    const ledger::LeaseTable &leases = this->ensureTerm().leases;
    wire::StatusReplyT reply;
    reply.dataCentre = this->node.dataCentre();
    reply.leader = this->settings.id;
    reply.term = this->node.replica().currentTerm();
    reply.committedIndex = this->node.replica().commitIndex();
    reply.queuedTasks = state.totals().queuedTasks;
    reply.runningTasks = state.totals().activeTasks;
    reply.lostJobs = state.totals().lostJobs;
    reply.jobs = state.jobs().size();
    reply.dataCentres = this->settings.dataCentres();
    for (const auto &[id, job] : state.jobs()) {
        reply.overdueJobs += !job.hasEnded() && this->summarize(job).overdue ? 1 : 0;
    }
    for (const auto &[name, worker] : state.workers()) {
        auto summary = std::make_unique<wire::WorkerSummaryT>();
        summary->worker = name;
        summary->partner = worker.registration().partner;
        summary->rack = worker.registration().rack;
        summary->capacity = worker.registration().capacity;
        summary->reserved = worker.reserved();
        summary->tasks = static_cast<std::uint32_t>(worker.tasks().size());
        summary->draining = worker.isDraining();
        summary->reachable = leases.isReachable(now, name);
        const Duration silence = leases.timeSinceAnnouncement(now, name);
        summary->silentMillis = silence == absl::InfiniteDuration() ? 0 : static_cast<std::uint64_t>(absl::ToInt64Milliseconds(silence));
        reply.workers.push_back(std::move(summary));
    }
    succeed(done, reply);
}

void LedgerService::drain(const Actor &actor, const wire::DrainRequestT &request, const CallCallback &done)
{
    const ledger::Worker *worker = this->node.state().findWorker(request.worker);
    if (worker == nullptr) {
        throw UnknownWorkerError(absl::StrCat("unknown worker ", request.worker, " in ", this->node.dataCentre()));
    }
    if (!actor.mayActFor(worker->registration().partner)) {
        throw ForbiddenError(absl::StrCat(request.worker, " belongs to another partner"));
    }
    wire::DrainWorkerT command;
    command.worker = request.worker;
    command.draining = !request.undo;
    this->proposeAndReply(toCommand(std::move(command)), done, [request, done](const ledger::Applied &applied) {
        wire::DrainReplyT reply;
        reply.worker = request.worker;
        reply.draining = !request.undo;
        succeed(done, reply);
    });
}

void LedgerService::announce(Timestamp now, const Actor &actor, const wire::AnnounceRequestT &request, const CallCallback &done)
{
    if (request.dataCentre != this->node.dataCentre()) {
        throw WrongDataCentreError(absl::StrCat("this ledger belongs to ", this->node.dataCentre(), ", the announcement to ", request.dataCentre));
    }
    if (!actor.mayActFor(request.partner)) {
        throw ForbiddenError(absl::StrCat("the caller's token is not one of ", request.partner, "'s"));
    }
    if (request.worker.empty() || request.worker.size() > maxNameBytes) {
        throw InvalidArgumentError(absl::StrCat("worker must have 1 to ", maxNameBytes, " bytes"));
    }
    if (!request.address.empty() && !Endpoint::parse(request.address)) {
        throw InvalidArgumentError(absl::StrCat("address \"", request.address, "\" is not a numeric IP address with a port"));
    }
    Term &current = this->ensureTerm();
    ledger::AnnouncementResult result = current.leases.announce(now, request, this->node.state());
    this->proposeAll(std::move(result.commands));
    const auto earlier = current.heldAnnouncements.find(request.worker);
    if (earlier != current.heldAnnouncements.end()) {
        // A worker sends another announcement only after it has abandoned the earlier one.
        earlier->second.done(CallResult::failure(ErrorCode::StaleAnnouncement, "superseded by a later announcement of the same worker"));
        current.heldAnnouncements.erase(earlier);
    }
    if (request.waitMillis > 0 && !requiresAction(request, result.reply)) {
        const Duration wait = std::min(absl::Milliseconds(request.waitMillis), this->settings.timing.announceInterval);
        current.heldAnnouncements[request.worker] = {request, done, now + wait};
        return;
    }
    succeed(done, result.reply);
}

void LedgerService::allocateShares(Timestamp now, const wire::SharesRequestT &request, const CallCallback &done)
{
    Term &current = this->ensureTerm();
    std::vector<routing::ServingWorker> serving;
    for (const auto &[name, worker] : this->node.state().workers()) {
        const wire::RegisterWorkerT &registration = worker.registration();
        const std::optional<std::int64_t> clock = current.leases.workerClock(now, name);
        const bool canServe =
            !registration.address.empty() && registration.partner == request.partner && !worker.isDraining() && current.leases.isReachable(now, name);
        if (canServe && clock) {
            serving.push_back({name, registration.address, registration.slots, registration.connections, *clock, !current.inheritedWorkers.contains(name)});
        }
    }
    succeed(done, current.allocator.allocate(now, request, serving));
}

void LedgerService::begin(const wire::BeginRequestT &request, const CallCallback &done)
{
    wire::OpenRequestT command;
    command.partner = request.partner;
    command.key = request.key;
    command.digest = request.digest;
    command.requestId = request.requestId;
    command.deadlineMicros = wallMicros() + static_cast<std::int64_t>(request.deadlineMillis) * 1000;
    this->proposeAndReply(toCommand(std::move(command)), done, [this, request, done](const ledger::Applied &applied) {
        wire::BeginReplyT reply;
        reply.result = applied.begin;
        const wire::RequestRecordT *record = this->node.state().findRequest(request.partner, request.key);
        if (reply.result == wire::BeginResult::InProgress && record != nullptr) {
            const bool hasExpired = record->deadlineMicros < wallMicros();
            if (record->answer) {
                reply.result = wire::BeginResult::Recorded;
                reply.answer = std::make_unique<wire::RecordedAnswerT>(*record->answer);
            } else if (hasExpired) {
                // The instance that opened the key never closed it, so the request may have been executed.
                reply.result = wire::BeginResult::Recorded;
                reply.answer = std::make_unique<wire::RecordedAnswerT>();
                reply.answer->outcome = wire::RequestOutcome::Unknown;
            }
        }
        succeed(done, reply);
    });
}

void LedgerService::finish(const wire::FinishRequestT &request, const CallCallback &done)
{
    wire::CloseRequestT command;
    command.partner = request.partner;
    command.key = request.key;
    command.requestId = request.requestId;
    command.answer = std::make_unique<wire::RecordedAnswerT>(*request.answer);
    this->proposeAndReply(toCommand(std::move(command)), done, [done](const ledger::Applied &applied) {
        wire::FinishReplyT reply;
        reply.recorded = true;
        succeed(done, reply);
    });
}

void LedgerService::setConfiguration(const DeploymentConfiguration &deployment)
{
    this->quotas.clear();
    for (const auto &[partner, percent] : deployment.quotaPercent) {
        this->quotas[partner] = percent / 100.0;
    }
    if (this->term != nullptr) {
        this->term->scheduler.setQuotas(this->quotas);
    }
}

void LedgerService::changeConfiguration(const wire::ChangeRequestT &request, const CallCallback &done)
{
    if (request.revision.empty() || request.revision.size() > maxNameBytes) {
        throw InvalidArgumentError(absl::StrCat("revision must have 1 to ", maxNameBytes, " bytes"));
    }
    parseConfiguration(request.text, "configuration");
    wire::ChangeConfigurationT command;
    command.expectedVersion = request.expectedVersion;
    command.revision = request.revision;
    command.text = request.text;
    this->proposeAndReply(toCommand(std::move(command)), done, [done](const ledger::Applied &applied) {
        wire::ChangeReplyT reply;
        reply.version = applied.version;
        reply.unchanged = applied.alreadyKnown;
        succeed(done, reply);
    });
}

void LedgerService::fetchConfiguration(Timestamp now, const wire::FetchRequestT &request, const CallCallback &done)
{
    this->ensureTerm().instanceVersions[request.instance] = {request.knownVersion, now};
    wire::FetchReplyT reply;
    if (this->node.state().configuration().version > request.knownVersion) {
        reply.configuration = std::make_unique<wire::ConfigurationT>(this->node.state().configuration());
    }
    succeed(done, reply);
}

void LedgerService::showConfiguration(Timestamp now, const CallCallback &done)
{
    const auto &versions = this->ensureTerm().instanceVersions;
    std::vector<std::string> instances{this->settings.id};
    for (const PeerSettings &peer : this->settings.peers) {
        instances.push_back(peer.id);
    }
    wire::ConfigurationStatusReplyT reply;
    reply.configuration = std::make_unique<wire::ConfigurationT>(this->node.state().configuration());
    for (const std::string &instance : instances) {
        const auto found = versions.find(instance);
        auto entry = std::make_unique<wire::InstanceConfigurationT>();
        entry->instance = instance;
        if (found != versions.end()) {
            const Duration silence = now - found->second.second;
            entry->version = found->second.first;
            entry->silentMillis = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(silence));
            entry->isReachable = silence < unreachableAfter;
        }
        reply.instances.push_back(std::move(entry));
    }
    succeed(done, reply);
}

} // namespace paddlepier::instance
