// The leader's service for calls, for one term.

#include "paddlepier/cluster/workservice.h"

#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace paddlepier::cluster
{

namespace
{

/** Clocks of healthy machines differ by seconds only. */
constexpr Duration maxClockDifference = absl::Hours(1);

/** Retry interval of a refused caller: about the duration of an election. */
constexpr std::uint32_t retryAfterMillis = 1000;

bool isJobId(const std::string &text)
{
    return text.size() == workload::jobIdLength
           && std::all_of(text.begin(), text.end(), [](char digit) { return absl::ascii_isxdigit(static_cast<unsigned char>(digit)); });
}

CallResult answer(work::CallOutcome outcome, const std::string &message = "")
{
    CallResult result;
    result.reply.outcome = outcome;
    result.reply.message = message;
    if (outcome == work::CallOutcome::Unavailable) {
        result.reply.retryAfterMillis = retryAfterMillis;
    }
    return result;
}

template<typename Table>
work::CommandUnion toCommand(Table table)
{
    work::CommandUnion command;
    command.Set(std::move(table));
    return command;
}

} // namespace

WorkService::WorkService(WorkloadNode &workloadNode,
                         const WorkOptions &options,
                         WorkerPort workerPort,
                         RequestAdviceVia adviceSender,
                         AdviceCallerPool &adviceCallers,
                         Counters &processCounters,
                         Timestamp now)
    : node(workloadNode)
    , callerKeys(options.callerKeys)
    , workers(std::move(workerPort))
    , requestAdviceVia(std::move(adviceSender))
    , callers(adviceCallers)
    , counters(processCounters)
    , submittedJobs(processCounters.counter("jobs_submitted_total"))
    , workerCalls(processCounters.counter("worker_calls_total"))
    , adviceCalls(processCounters.counter("advice_calls_total"))
    , lostWorkers(processCounters.counter("workers_lost_total"))
    , givenUpTasks(processCounters.counter("tasks_given_up_total"))
    , longWaits(processCounters.counter("steps_waiting_long_total"))
    , teamsAtQuota(processCounters.counter("teams_at_quota_total"))
    , evacuationChanges(processCounters.counter("evacuation_changes_total"))
    , restoredAdvice(processCounters.counter("advice_answers_restored_total"))
    , workerCallTimes(processCounters.histogram("worker_call"))
    , adviceOverheads(processCounters.histogram("advice_overhead"))
    , dispatcher(workloadNode.state(), options.dispatch, workloadNode.replica().currentTerm(), now)
    , isTermActive(std::make_shared<bool>(true))
{
}

WorkService::~WorkService()
{
    *this->isTermActive = false;
}

void WorkService::propose(work::CommandUnion command, WorkloadNode::Completed completed)
{
    work::EntryT entry;
    entry.atMillis = std::max(wallMicros() / 1000, this->node.state().appliedAtMillis());
    entry.command = std::move(command);
    this->node.proposeBytes(wire::pack(entry), std::move(completed));
}

void WorkService::proposeAndReply(work::CommandUnion command, work::WorkReplyT reply, const CallCallback &done)
{
    this->propose(std::move(command), [this, isActive = this->isTermActive, reply = std::move(reply), done](const workload::Outcome &outcome) {
        if (*isActive) {
            this->dispatcher.markChanged();
        }
        CallResult result;
        result.reply = reply;
        switch (outcome.error) {
        case ErrorCode::None:
            break;
        case ErrorCode::NotLeader:
        case ErrorCode::Timeout:
            result.error = outcome.error;
            break;
        case ErrorCode::UnknownRoute:
            result = answer(work::CallOutcome::UnknownQueue, outcome.message);
            break;
        case ErrorCode::UnknownJob:
            result = answer(work::CallOutcome::UnknownJob, outcome.message);
            break;
        default:
            result = answer(work::CallOutcome::Refused, outcome.message);
        }
        done(result);
    });
}

void WorkService::handle(Timestamp now, const std::string &fromInstance, WorkMethod method, const std::string &body, const CallCallback &done)
{
    switch (method) {
    case WorkMethod::Job:
        return this->handleJob(wire::unpack<work::JobCallT>(body), done);
    case WorkMethod::Announce:
        return this->announce(now, wire::unpack<work::AnnounceCallT>(body), done);
    case WorkMethod::Heartbeats:
        return this->recordHeartbeats(now, wire::unpack<work::HeartbeatsCallT>(body), done);
    case WorkMethod::Withdraw:
        return this->withdraw(now, wire::unpack<work::WithdrawCallT>(body), done);
    case WorkMethod::Configure:
        return this->configure(wire::unpack<work::ConfigureCallT>(body), done);
    case WorkMethod::ReadConfiguration:
        return this->readConfiguration(done);
    case WorkMethod::Evacuate:
        return this->evacuate(wire::unpack<work::EvacuateCallT>(body), done);
    case WorkMethod::Presence:
        return this->presence(now, fromInstance, wire::unpack<work::PresenceCallT>(body), done);
    case WorkMethod::Advise:
    case WorkMethod::Carry:
        break;
    }
    done(answer(work::CallOutcome::Invalid, "not a call that a leader handles"));
}

void WorkService::handleJob(const work::JobCallT &call, const CallCallback &done)
{
    if (this->node.state().configuration().version == 0) {
        done(answer(work::CallOutcome::Unavailable, "no configuration yet"));
        return;
    }
    const work::QueueSpecT *queue = this->node.state().findQueue(call.host, call.path);
    if (queue == nullptr) {
        done(answer(work::CallOutcome::UnknownQueue, "no queue matches this host and path"));
        return;
    }
    const std::optional<std::string> team = authenticate(this->node.state().teams(), *queue, call.key, this->callerKeys);
    if (!team) {
        done(answer(work::CallOutcome::Unauthenticated, call.key.empty() ? "this queue requires a key" : "the key belongs to no team"));
        return;
    }
    const workload::Job *job = this->findVisibleJob(call, *queue, *team);
    const std::string id = job != nullptr ? job->id() : call.path.substr(queue->pathPrefix.size());
    if (id.empty() && call.action == work::JobAction::Show) {
        CallResult result = answer(work::CallOutcome::Accepted);
        result.reply.waitingJobs = this->dispatcher.waitingJobs(workload::queueAddress(queue->host, queue->pathPrefix));
        done(result);
        return;
    }
    if (!isJobId(id)) {
        done(answer(work::CallOutcome::Invalid, "a job id must have 16 hexadecimal digits"));
        return;
    }
    const JobRequest request{*queue, id, *team, job};
    switch (call.action) {
    case work::JobAction::Submit:
        return this->submit(request, call, done);
    case work::JobAction::Show:
        return this->show(request, done);
    case work::JobAction::Cancel:
        return this->cancel(request, done);
    }
}

const workload::Job *WorkService::findVisibleJob(const work::JobCallT &call, const work::QueueSpecT &queue, const std::string &team) const
{
    const workload::Job *job = this->node.state().findJobAt(call.host, call.path);
    if (job != nullptr && canView(*job, team)) {
        return job;
    }
    const workload::Job *sameId =
        call.path.size() < workload::jobIdLength ? nullptr : this->node.state().findJob(call.path.substr(call.path.size() - workload::jobIdLength));
    if (sameId != nullptr) {
        log::info("jobs",
                  "job.not-visible",
                  {{"job", sameId->id()},
                   {"queue", queue.name},
                   {"acceptedBy", sameId->queue().name},
                   {"isSameAddress", job != nullptr},
                   {"configuration", this->node.state().configuration().version}});
    }
    return nullptr;
}

void WorkService::submit(const JobRequest &request, const work::JobCallT &call, const CallCallback &done)
{
    const auto &[queue, id, team, job] = request;
    if (job != nullptr) {
        done(answer(work::CallOutcome::Accepted));
        return;
    }
    if (this->node.state().findJob(id) != nullptr) {
        done(answer(work::CallOutcome::Refused, "the job id is in use by another queue or team"));
        return;
    }
    const std::string problem = call.spec ? workload::validationError(*call.spec) : "the job specification is missing";
    if (!problem.empty()) {
        log::info("jobs", "job.invalid", {{"job", id}, {"queue", queue.name}, {"problem", problem}});
        done(answer(work::CallOutcome::Invalid, problem));
        return;
    }
    log::info("jobs",
              "job.submitted",
              {{"job", id},
               {"queue", queue.name},
               {"team", team},
               {"steps", call.spec->steps.size()},
               {"callers", call.spec->callersDataCentre},
               {"configuration", this->node.state().configuration().version}});
    this->submittedJobs.add();
    work::SubmitJobT command;
    command.id = id;
    command.queue = queue.name;
    command.host = queue.host;
    command.pathPrefix = queue.pathPrefix;
    command.team = team;
    command.spec = std::make_unique<work::JobSpecT>(*call.spec);
    this->proposeAndReply(toCommand(std::move(command)), answer(work::CallOutcome::Accepted).reply, done);
}

void WorkService::show(const JobRequest &request, const CallCallback &done)
{
    const workload::Job *job = request.job;
    if (job == nullptr) {
        done(answer(work::CallOutcome::UnknownJob, "unknown job"));
        return;
    }
    CallResult result = answer(work::CallOutcome::Accepted);
    // A caller may rely on it that nothing of a completed job starts.
    const bool mayStillStart = job->state() == work::JobState::Completed && this->dispatcher.mayStillStart(request.id);
    result.reply.state = mayStillStart ? work::JobState::Running : job->state();
    result.reply.message = job->hasEnded() ? job->failure().text() : this->dispatcher.longWaitReason(request.id);
    done(result);
}

void WorkService::cancel(const JobRequest &request, const CallCallback &done)
{
    if (request.job == nullptr) {
        done(answer(work::CallOutcome::UnknownJob, "unknown job"));
        return;
    }
    log::info("jobs", "job.cancelled", {{"job", request.id}});
    work::CancelJobT command;
    command.id = request.id;
    this->proposeAndReply(toCommand(std::move(command)), answer(work::CallOutcome::Accepted).reply, done);
}

std::optional<AnnouncementFault> WorkService::faultOf(const work::AnnounceCallT &call) const
{
    const work::RegisterWorkerT &registration = *call.registration;
    const workload::Worker *known = this->node.state().findLatestWorker(registration.id);
    // Before the first configuration any worker may join; it is used once a configuration contains its service.
    const bool isServiceAccepted = this->node.state().configuration().version == 0 || (known != nullptr && known->registration.service == registration.service);
    if (!isServiceAccepted && this->node.state().findService(registration.service) == nullptr) {
        return AnnouncementFault::UnknownService;
    }
    if (this->dispatcher.isImplausibleAnnouncement(workload::incarnationOf(registration), call.sequence)) {
        return AnnouncementFault::ImplausibleSequence;
    }
    // A worker that has reported its start once always does.
    if (registration.born == 0 && known != nullptr && known->registration.born > 0) {
        return AnnouncementFault::FieldMissing;
    }
    // Accepting it would make every genuine announcement of this worker look like one of an earlier incarnation.
    if (absl::FromUnixMillis(static_cast<std::int64_t>(registration.born)) > absl::FromUnixMicros(wallMicros()) + maxClockDifference) {
        return AnnouncementFault::ImplausibleBirth;
    }
    return std::nullopt;
}

void WorkService::announce(Timestamp now, const work::AnnounceCallT &call, const CallCallback &done)
{
    const work::RegisterWorkerT &registration = *call.registration;
    if (const std::optional<AnnouncementFault> fault = this->faultOf(call)) {
        reportRefusedAnnouncement(this->counters, registration.id, *fault, registration.service);
        done(answer(work::CallOutcome::Refused, nameOf(*fault)));
        return;
    }
    const workload::Incarnation incarnation = workload::incarnationOf(registration);
    const workload::Worker *known = this->node.state().findWorker(incarnation);
    const workload::Worker *latest = this->node.state().findLatestWorker(incarnation.id);
    const bool isOutdated = latest != nullptr && workload::incarnationOf(latest->registration).isAfter(incarnation);
    const bool isStale = known != nullptr && (call.sequence < known->registration.sequence || this->dispatcher.isStaleAnnouncement(incarnation, call.sequence));
    if (isOutdated || isStale) {
        done(answer(work::CallOutcome::Accepted));
        return;
    }
    const Duration drainRemaining = registration.isDraining ? absl::Milliseconds(call.drainRemainingMillis) : absl::InfiniteDuration();
    this->dispatcher.recordAnnouncement(now, incarnation, call.sequence, drainRemaining);
    if (known != nullptr && (workload::isSameRegistration(known->registration, registration) || (known->registration.isDraining && !registration.isDraining))) {
        done(answer(work::CallOutcome::Accepted));
        return;
    }
    log::info("workers",
              known != nullptr    ? "worker.changed"
              : latest != nullptr ? "worker.restarted"
                                  : "worker.joined",
              {{"worker", incarnation.text()},
               {"address", registration.address},
               {"service", registration.service},
               {"draining", registration.isDraining},
               {"drainRemainingMillis", call.drainRemainingMillis},
               {"milliProcessors", registration.capacity->milliProcessors()},
               {"memoryMegabytes", registration.capacity->memoryMegabytes()},
               {"accelerators", registration.capacity->accelerators()},
               {"sequence", call.sequence}});
    work::RegisterWorkerT command = registration;
    command.sequence = call.sequence;
    this->proposeAndReply(toCommand(std::move(command)), answer(work::CallOutcome::Accepted).reply, done);
}

void WorkService::recordHeartbeats(Timestamp now, const work::HeartbeatsCallT &call, const CallCallback &done)
{
    for (const auto &heartbeat : call.heartbeats) {
        const workload::Incarnation incarnation{heartbeat->worker, heartbeat->born};
        if (!this->dispatcher.isStaleAnnouncement(incarnation, heartbeat->sequence)
            && !this->dispatcher.isImplausibleAnnouncement(incarnation, heartbeat->sequence)) {
            this->dispatcher.recordAnnouncement(now, incarnation, heartbeat->sequence, absl::InfiniteDuration());
        }
    }
    done(answer(work::CallOutcome::Accepted));
}

std::optional<workload::Incarnation> WorkService::withdrawnIncarnation(Timestamp now, const work::WithdrawCallT &call) const
{
    const workload::Worker *latest = this->node.state().findLatestWorker(call.id);
    if (call.born > 0) {
        const workload::Incarnation incarnation{call.id, call.born};
        return this->node.state().findWorker(incarnation) == nullptr ? std::nullopt : std::optional(incarnation);
    }
    if (latest == nullptr || latest->registration.born == 0) {
        return workload::Incarnation{call.id};
    }
    // A withdrawal without a start time may be a late one of an earlier incarnation: it counts only if the latest one was about to leave.
    const workload::Incarnation incarnation = workload::incarnationOf(latest->registration);
    return this->dispatcher.mayHaveLeft(now, incarnation) ? std::optional(incarnation) : std::nullopt;
}

void WorkService::withdraw(Timestamp now, const work::WithdrawCallT &call, const CallCallback &done)
{
    const std::optional<workload::Incarnation> incarnation = this->withdrawnIncarnation(now, call);
    if (!incarnation) {
        log::info("workers", "withdrawal.late", {{"worker", workload::Incarnation{call.id, call.born}.text()}});
        done(answer(work::CallOutcome::Accepted));
        return;
    }
    log::info("workers", "worker.left", {{"worker", incarnation->text()}});
    work::RemoveWorkerT command;
    command.id = incarnation->id;
    command.born = incarnation->born;
    this->proposeAndReply(toCommand(std::move(command)), answer(work::CallOutcome::Accepted).reply, done);
}

void WorkService::configure(work::ConfigureCallT call, const CallCallback &done)
{
    const work::ChangeConfigurationT &current = this->node.state().configuration();
    const bool isNewer = call.change->version > current.version;
    log::info("configuration",
              isNewer ? "configuration.proposed" : "configuration.kept",
              {{"version", call.change->version}, {"held", current.version}, {"sameText", call.change->text == current.text}});
    if (!isNewer) {
        done(answer(work::CallOutcome::Accepted));
        return;
    }
    this->proposeAndReply(toCommand(std::move(*call.change)), answer(work::CallOutcome::Accepted).reply, done);
}

void WorkService::readConfiguration(const CallCallback &done)
{
    if (this->node.state().configuration().version == 0) {
        done(answer(work::CallOutcome::Unavailable, "no configuration yet"));
        return;
    }
    CallResult result = answer(work::CallOutcome::Accepted);
    result.reply.configuration = std::make_unique<work::ChangeConfigurationT>();
    result.reply.configuration->version = this->node.state().configuration().version;
    result.reply.configuration->text = this->node.state().configuration().text;
    done(result);
}

void WorkService::evacuate(work::EvacuateCallT call, const CallCallback &done)
{
    if (!call.change || call.change->dataCentre.empty()) {
        done(answer(work::CallOutcome::Invalid, "an evacuation must name a data centre"));
        return;
    }
    const bool isUnchanged = this->node.state().evacuatedDataCentres().contains(call.change->dataCentre) == call.change->isEvacuated;
    const std::string event = absl::StrCat(call.change->isEvacuated ? "evacuation." : "evacuation-end.", isUnchanged ? "kept" : "proposed");
    log::info("operations", event, {{"dataCentre", call.change->dataCentre}, {"evacuated", this->node.state().evacuatedDataCentres().size()}});
    this->evacuationChanges.add(isUnchanged ? 0 : 1);
    this->proposeAndReply(toCommand(std::move(*call.change)), answer(work::CallOutcome::Accepted).reply, done);
}

void WorkService::step(Timestamp now)
{
    execution::DispatchEffects effects = this->dispatcher.step(now, wallMicros() / 1000, [this, now] {
        return planning::AdviceBudget{this->callers.availableForLong(now), this->callers.timeAvailableForShort(now)};
    });
    if (effects.hasPlanned) {
        const Timestamp plannedAt = controlNow();
        this->dispatcher.recordPlanTime(plannedAt, plannedAt - now);
    }
    // They take longest, and their deadlines count from here: a plan in a backlog takes up to 100 ms, most of the time that is allowed for a late answer.
    for (const execution::AdviceRequest &adviceRequest : effects.adviceRequests) {
        this->requestAdvice(controlNow(), adviceRequest);
    }
    this->longWaits.add(static_cast<std::int64_t>(effects.longWaits));
    this->teamsAtQuota.add(static_cast<std::int64_t>(effects.teamsAtQuota));
    for (execution::Proposal &proposal : effects.proposals) {
        const auto *removal = proposal.command.AsRemoveWorker();
        this->lostWorkers.add(removal != nullptr && removal->end != work::LifeEnd::Left ? 1 : 0);
        this->propose(std::move(proposal.command), [this, isActive = this->isTermActive, id = proposal.id](const workload::Outcome &outcome) {
            if (*isActive) {
                this->givenUpTasks.add(static_cast<std::int64_t>(outcome.abandonedTasks.size()));
                this->dispatcher.handleOutcome(controlNow(), id, outcome);
            }
        });
    }
    for (const execution::WorkerCall &call : effects.calls) {
        this->workerCalls.add();
        this->workers.call(call, [this, isActive = this->isTermActive, id = call.id, now](const execution::WorkerAnswer &received) {
            if (*isActive) {
                const Timestamp answeredAt = controlNow();
                this->workerCallTimes.record(answeredAt - now);
                this->dispatcher.handleAnswer(answeredAt, id, received);
            }
        });
    }
}

} // namespace paddlepier::cluster
