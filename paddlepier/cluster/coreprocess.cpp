// Process on a core machine.

#include "paddlepier/cluster/coreprocess.h"

#include "paddlepier/base/log.h"
#include "paddlepier/cluster/relaycodec.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace paddlepier::cluster
{

namespace
{

constexpr Duration tickInterval = absl::Milliseconds(20);

/**
 * Heartbeats between cores, and the shortest silence after which a leader is taken to be gone: four heartbeats, far above
 * a round trip between the data centres of a region (some milliseconds) and a core's pause where its share is a quota (100 ms).
 */
constexpr Duration heartbeatInterval = absl::Milliseconds(75);
constexpr Duration electionSilence = absl::Milliseconds(300);

/** A voter that has been silent for this long may be replaced: longer than a process takes to restart. */
constexpr Duration voterSilence = absl::Milliseconds(2500);

/** Longest wait of a planned stop for another leader and for calls under way. */
constexpr Duration stopPatience = absl::Seconds(2);

constexpr Duration loadReportInterval = absl::Seconds(1);

/** How often a core shows itself to the leader, and how long it waits for the answer. */
constexpr Duration presenceInterval = absl::Milliseconds(200);
constexpr Duration presencePatience = absl::Milliseconds(600);

/** How often announcements that were answered here are told to the leader, who takes a worker for lost after many seconds. */
constexpr Duration heartbeatsInterval = absl::Milliseconds(500);
/** A core that hasn't heard from the leader for two of its own intervals may be behind, and leaves announcements to the leader. */
constexpr Duration leaderHeardWithin = absl::Milliseconds(500);

replication::GroupOptions groupOptions(const MemberOptions &member, const CoreOptions &core)
{
    replication::GroupOptions options;
    options.name = "workload";
    options.folder = absl::StrCat(member.settings.dataFolder, "/workload");
    options.instance = member.settings.id;
    options.founders = member.seeds;
    options.mayForm = core.mayForm;
    options.acceptsNewInstances = true;
    options.admission.mostVoters = core.voters;
    options.admission.silence = voterSilence;
    options.heartbeat = heartbeatInterval;
    options.election = electionSilence;
    options.driftPerMille = member.settings.timing.driftPerMille;
    return options;
}

} // namespace

CoreProcess::CoreProcess(MemberOptions memberOptions, CoreOptions options, WorkerPort workerPort, AdvicePort advicePort)
    : MemberProcess(std::move(memberOptions), std::move(advicePort))
    , coreOptions(options)
    , workers(std::move(workerPort))
    , dispatchTimes(this->counters.histogram("control_dispatch"))
    , ledgerTimes(this->counters.histogram("control_ledger"))
    , carrying(this->carryingWays())
    , watch(this->watchWays())
    , nextQuestion(randomSeed())
    , incarnation(randomSeed())
{
    const auto send = [this](const std::string &instance, wire::PeerFrameT frame) { this->sendFrame(instance, std::move(frame)); };
    this->disk = std::make_unique<replication::DiskWriter>(this->mailbox, this->counters);
    this->dataCentres[this->options.settings.id] = this->options.zone;
    replication::GroupOptions group = groupOptions(this->options, this->coreOptions);
    group.admission.dataCentreOf = [this](const std::string &instance) {
        const auto found = this->dataCentres.find(instance);
        return found == this->dataCentres.end() ? std::string() : found->second;
    };
    this->node = std::make_unique<WorkloadNode>(std::move(group), *this->disk, send, this->counters, controlNow(), randomSeed());
}

CoreProcess::~CoreProcess()
{
    this->stopTransport();
    this->disk->stop();
}

void CoreProcess::updateService(Timestamp now)
{
    const bool leads = this->node->replica().isLeader() && this->node->replica().isCaughtUpLeader();
    const consensus::Term term = this->node->replica().currentTerm();
    if (this->service && (!leads || this->serviceTerm != term)) {
        log::info("cluster",
                  "service.stopped",
                  {{"term", this->serviceTerm},
                   {"stepMillis", absl::ToInt64Milliseconds(this->stepTimes.sum())},
                   {"eventMillis", absl::ToInt64Milliseconds(this->eventTimes.sum())},
                   {"dispatchMillis", absl::ToInt64Milliseconds(this->dispatchTimes.sum())},
                   {"ledgerMillis", absl::ToInt64Milliseconds(this->ledgerTimes.sum())}});
        this->service.reset();
        this->carrying.forgetWatches();
    }
    if (leads && !this->service && this->node->isServing(now)) {
        this->serviceTerm = term;
        this->service = std::make_unique<WorkService>(
            *this->node,
            this->coreOptions.work,
            WorkerPort{[this](const execution::WorkerCall &call, std::function<void(execution::WorkerAnswer)> done) { this->carry(call, std::move(done)); }},
            [this](const std::string &instance, const work::AdviceCallT &call, Timestamp deadline, std::function<void(execution::AdviceAnswer)> done) {
                this->askThrough(instance, call, deadline, std::move(done));
            },
            this->callers,
            this->counters,
            now);
        log::info("cluster",
                  "service.started",
                  {{"term", term}, {"workers", this->node->state().workers().size()}, {"jobs", this->node->state().activeJobs().size()}});
    }
}

void CoreProcess::reportLoad(Timestamp now)
{
    if (now < this->nextLoadReport) {
        return;
    }
    this->nextLoadReport = now + loadReportInterval;
    const LoadTimes whole{this->stepTimes.sum(), this->eventTimes.sum(), this->dispatchTimes.sum(), this->ledgerTimes.sum(), this->stepTimes.count()};
    const LoadTimes &last = this->reportedLoad;
    log::info("cluster",
              "service.load",
              {{"steps", whole.stepCount - last.stepCount},
               {"stepMillis", absl::ToInt64Milliseconds(whole.steps - last.steps)},
               {"eventMillis", absl::ToInt64Milliseconds(whole.events - last.events)},
               {"dispatchMillis", absl::ToInt64Milliseconds(whole.dispatch - last.dispatch)},
               {"ledgerMillis", absl::ToInt64Milliseconds(whole.ledger - last.ledger)},
               {"asked", this->asked.size()}});
    this->reportedLoad = whole;
}

void CoreProcess::advance(Timestamp now, Timestamp seenUntil)
{
    if (now >= this->nextTick) {
        this->nextTick = now + tickInterval;
        this->node->tick(now);
        for (const std::string &instance : this->node->knownInstances()) {
            this->leader->addCore(instance);
        }
        this->endOverdue(seenUntil);
        this->carrying.tick(seenUntil);
    }
    const bool isServing = this->node->isServing(now);
    // A group that is still forming has nobody to hand over to.
    if (this->servingWatch.note(now, this->node->replica().isLeader() && this->node->state().hasHistory(), isServing)) {
        this->node->handOver(now);
    }
    this->updateService(now);
    if (!this->service && now >= this->nextPresence && !this->isStopping()) {
        this->showPresence(now);
    }
    if (!this->heartbeats.isEmpty() && now >= this->nextHeartbeats) {
        this->nextHeartbeats = now + heartbeatsInterval;
        // What is lost on its way is made good by the worker's next announcement.
        this->leader->call(now, WorkMethod::Heartbeats, wire::pack(this->heartbeats.take()), presencePatience, [](const CallResult &) {});
    }
    // Without the lease another leader may be at work: nothing is ordered until it is certain again.
    if (this->service && this->node->isServing(now)) {
        this->callers.noteAlive(now, this->options.settings.id);
        const ScopeTimer timer(this->dispatchTimes);
        this->service->step(now);
        this->reportLoad(now);
    }
    {
        const ScopeTimer timer(this->ledgerTimes);
        this->node->flush(now);
    }
    this->ready = true;
}

void CoreProcess::receiveFrame(wire::PeerFrameT frame)
{
    this->node->receive(controlNow(), std::move(frame));
}

void CoreProcess::handleAsLeader(Timestamp now, const std::string &fromInstance, WorkMethod method, const std::string &body, const CallDone &done)
{
    if (!this->service || !this->node->isServing(now)) {
        CallResult result;
        result.error = ErrorCode::NotLeader;
        done(result);
        return;
    }
    this->service->handle(now, fromInstance, method, body, done);
}

void CoreProcess::receiveCall(const std::string &fromInstance, const wire::CallRequestT &request)
{
    const std::optional<WorkMethod> method = workMethodFromName(request.method);
    if (!method) {
        throw UnknownRouteError(absl::StrCat("no call ", request.method));
    }
    if (*method == WorkMethod::Advise) {
        this->adviseFor(fromInstance, request);
        return;
    }
    if (*method == WorkMethod::Carry) {
        this->carryFor(fromInstance, request);
        return;
    }
    if (*method == WorkMethod::Presence) {
        this->noteCore(controlNow(), fromInstance, request);
    }
    this->handleAsLeader(controlNow(), fromInstance, *method, wire::toString(request.body), [this, fromInstance, id = request.id](const CallResult &result) {
        this->reply(fromInstance, id, result, this->node->leaderInstance());
    });
}

void CoreProcess::callLeader(Timestamp now, WorkMethod method, std::string body, Duration patience, CallDone done)
{
    if (this->service && this->node->isServing(now)) {
        try {
            this->service->handle(now, this->options.settings.id, method, body, done);
        } catch (const Error &error) {
            log::warning("cluster", "call.refused", {{"error", paddlepier::nameOf(error.code())}, {"message", error.what()}});
            CallResult result;
            result.reply.outcome = work::CallOutcome::Invalid;
            result.reply.message = error.what();
            done(result);
        }
        return;
    }
    if (this->absorbsHeartbeat(now, method, body)) {
        CallResult result;
        result.reply.outcome = work::CallOutcome::Accepted;
        done(result);
        return;
    }
    this->leader->call(now, method, std::move(body), patience, std::move(done));
}

bool CoreProcess::absorbsHeartbeat(Timestamp now, WorkMethod method, const std::string &body)
{
    if (method != WorkMethod::Announce || this->service || this->isStopping() || now - this->leader->lastAnswerAt() > leaderHeardWithin) {
        return false;
    }
    return this->heartbeats.absorb(this->node->state(), wire::unpack<work::AnnounceCallT>(body));
}

std::uint64_t CoreProcess::expectReply(Timestamp deadline, std::function<void(const wire::CallReplyT *)> done)
{
    const std::uint64_t id = this->nextQuestion++;
    this->asked[id] = std::move(done);
    this->dueReplies.set(id, deadline);
    return id;
}

void CoreProcess::endOverdue(Timestamp seenUntil)
{
    while (const std::optional<std::uint64_t> id = this->dueReplies.take(seenUntil)) {
        if (const auto question = this->asked.extract(*id)) {
            question.mapped()(nullptr);
        }
    }
}

void CoreProcess::askInstance(
    const std::string &instance, WorkMethod method, const std::string &body, Timestamp deadline, std::function<void(const wire::CallReplyT *)> done)
{
    wire::CallRequestT request;
    request.id = this->expectReply(deadline, std::move(done));
    request.method = nameOf(method);
    request.body = wire::toBytes(body);
    if (instance == this->options.settings.id) {
        // The same way as for others, so that a question ends by its deadline here too.
        this->receiveCall(instance, request);
        return;
    }
    wire::PeerFrameT frame;
    frame.body.Set(std::move(request));
    this->sendFrame(instance, std::move(frame));
}

void CoreProcess::askThrough(const std::string &instance, const work::AdviceCallT &call, Timestamp deadline, std::function<void(execution::AdviceAnswer)> done)
{
    this->askInstance(instance, WorkMethod::Advise, wire::pack(call), deadline, [done = std::move(done)](const wire::CallReplyT *reply) {
        execution::AdviceAnswer answer;
        answer.isAnswered = reply != nullptr && reply->error == ErrorCode::None;
        if (answer.isAnswered) {
            for (const auto &ticket : wire::unpack<work::AdviceReplyT>(reply->body).good) {
                answer.good.push_back(*ticket);
            }
        }
        done(answer);
    });
}

void CoreProcess::carry(const execution::WorkerCall &call, std::function<void(execution::WorkerAnswer)> done)
{
    const workload::Workload &state = this->node->state();
    const workload::Worker *worker = state.findWorker(call.worker);
    this->carrying.carry({worker == nullptr ? 0 : state.workers().size(), worker == nullptr ? "" : worker->registration.zone}, call, std::move(done));
}

CarryingWays CoreProcess::carryingWays()
{
    CarryingWays ways;
    ways.direct = [this](const execution::WorkerCall &call, const OrderCarrying::Done &done) {
        this->workers.call(call, [this, done](const execution::WorkerAnswer &answer) { this->post([done, answer] { done(answer); }); });
    };
    ways.through =
        [this](const std::string &instance, const execution::WorkerCall &call, Timestamp deadline, const std::function<void(const Carried &)> &done) {
            this->askInstance(instance, WorkMethod::Carry, wire::pack(toCarryCall(call)), deadline, [done](const wire::CallReplyT *reply) {
                Carried carried;
                if (reply != nullptr && reply->error == ErrorCode::NotLeader) {
                    carried.outcome = CarriedOutcome::Declined;
                } else if (reply != nullptr) {
                    carried.outcome = CarriedOutcome::Answered;
                    carried.answer = reply->error == ErrorCode::None ? fromCarryReply(wire::unpack<work::CarryReplyT>(reply->body)) : execution::WorkerAnswer();
                }
                done(carried);
            });
        };
    ways.later = [this](Timestamp at, const std::function<void()> &action) { this->expectReply(at, [action](const wire::CallReplyT *) { action(); }); };
    ways.now = [] { return controlNow(); };
    return ways;
}

void CoreProcess::carryFor(const std::string &fromInstance, const wire::CallRequestT &request)
{
    if (this->isStopping()) {
        CallResult refusal;
        refusal.error = ErrorCode::NotLeader;
        this->reply(fromInstance, request.id, refusal, "");
        return;
    }
    const execution::WorkerCall call = fromCarryCall(wire::unpack<work::CarryCallT>(request.body));
    ++this->carriedCalls;
    const auto reply = [this, fromInstance, id = request.id](const execution::WorkerAnswer &received) {
        --this->carriedCalls;
        wire::CallReplyT answer;
        answer.id = id;
        answer.body = wire::toBytes(wire::pack(toCarryReply(received)));
        this->sendReply(fromInstance, std::move(answer));
    };
    if (std::holds_alternative<execution::PollOrder>(call.order)) {
        this->watch.poll(fromInstance, call, reply);
        return;
    }
    this->workers.call(call, [this, reply](const execution::WorkerAnswer &received) { this->post([reply, received] { reply(received); }); });
}

WatchWays CoreProcess::watchWays()
{
    WatchWays ways;
    ways.call = [this](const execution::WorkerCall &call, const WatchWays::Answered &done) {
        this->workers.call(
            call, [this, done](const execution::WorkerAnswer &answer) { this->post([done, answer, answeredAt = controlNow()] { done(answeredAt, answer); }); });
    };
    ways.isServing = [this](const std::string &instance) { return this->node->leaderInstance() == instance && !this->isStopping(); };
    ways.now = [] { return controlNow(); };
    return ways;
}

void CoreProcess::noteCore(Timestamp now, const std::string &instance, const wire::CallRequestT &request)
{
    const std::vector<std::string> cores = this->node->knownInstances();
    // It may have shown itself to itself before it led.
    if (instance != this->options.settings.id && std::find(cores.begin(), cores.end(), instance) != cores.end()) {
        const auto call = wire::unpack<work::PresenceCallT>(wire::toString(request.body));
        this->dataCentres[instance] = call.zone;
        this->carrying.noteAlive(now, instance, call.zone, call.incarnation);
    }
}

void CoreProcess::showPresence(Timestamp now)
{
    this->nextPresence = now + presenceInterval;
    work::PresenceCallT call;
    call.zone = this->options.zone;
    call.incarnation = this->incarnation;
    this->leader->call(now, WorkMethod::Presence, wire::pack(call), presencePatience, [](const CallResult &) {});
}

void CoreProcess::receiveReply(const std::string &fromInstance, const wire::CallReplyT &reply)
{
    const auto found = this->asked.find(reply.id);
    if (found == this->asked.end()) {
        MemberProcess::receiveReply(fromInstance, reply);
        return;
    }
    const auto done = std::move(found->second);
    this->asked.erase(found);
    try {
        done(&reply);
    } catch (const Error &error) {
        // Only reading the answer fails, before anything has come of it: it counts as none.
        log::warning("cluster", "answer.unreadable", {{"from", fromInstance}, {"error", paddlepier::nameOf(error.code())}, {"message", error.what()}});
        done(nullptr);
    }
}

void CoreProcess::stopAsPlanned()
{
    const Timestamp end = controlNow() + stopPatience;
    this->node->handOver(controlNow());
    const auto isOver = [this] {
        const bool hasOtherLeader = !this->node->replica().isLeader() && !this->node->replica().leader().empty();
        return hasOtherLeader && this->leader->pendingCalls() == 0 && this->carriedCalls == 0;
    };
    while (controlNow() < end && !isOver()) {
        this->step(tickInterval);
    }
    log::info("cluster", "stopped", {{"instance", this->options.settings.id}, {"calls", this->leader->pendingCalls()}});
}

} // namespace paddlepier::cluster
