// Process on a core machine.

#include "paddlepier/cluster/coreprocess.h"

#include "paddlepier/base/log.h"
#include "paddlepier/cluster/relaycodec.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace paddlepier::cluster
{

namespace
{

constexpr Duration tickInterval = absl::Milliseconds(20);

/**
 * Heartbeats between cores, and the shortest silence after which a leader counts as lost. Four heartbeats are far above a round trip
 * between the data centres of a region (some milliseconds) and above the pause of a core that is throttled by a CPU quota (100 ms).
 */
constexpr Duration heartbeatInterval = absl::Milliseconds(75);
constexpr Duration leaderTimeout = absl::Milliseconds(300);

/** A voter that is unresponsive for this long may be replaced; it is longer than the restart of a process. */
constexpr Duration voterReplacementDelay = absl::Milliseconds(2500);

/** Share of the termination grace that a stop may wait for another leader, a successor as a voter and pending calls; servers and disk need the rest. */
constexpr double stopWaitShare = 2.0 / 3;

constexpr Duration loadReportInterval = absl::Seconds(1);

/** Interval at which a core reports its presence to the leader, and the timeout of that call. */
constexpr Duration presenceInterval = absl::Milliseconds(200);
constexpr Duration presenceTimeout = absl::Milliseconds(600);

/** Interval at which absorbed announcements are reported to the leader, which declares a worker lost only after many seconds. */
constexpr Duration heartbeatBatchInterval = absl::Milliseconds(500);
/** A core without an answer from the leader for two presence intervals may have stale state, and passes announcements on to the leader. */
constexpr Duration leaderContactTimeout = absl::Milliseconds(500);

replication::GroupOptions groupOptions(const MemberOptions &member, const CoreOptions &core)
{
    replication::GroupOptions options;
    options.name = "workload";
    options.folder = absl::StrCat(member.settings.dataFolder, "/workload");
    options.instance = member.settings.id;
    options.initialInstances = member.seeds;
    options.mayBootstrap = core.mayBootstrap;
    options.acceptsNewInstances = true;
    options.admission.maxVoters = core.voters;
    options.admission.voterTimeout = voterReplacementDelay;
    options.heartbeatInterval = heartbeatInterval;
    options.electionTimeout = leaderTimeout;
    options.driftPerMille = member.settings.timing.driftPerMille;
    return options;
}

} // namespace

CoreProcess::CoreProcess(MemberOptions memberOptions, CoreOptions options, WorkerPort workerPort, AdvicePort advicePort)
    : MemberProcess(std::move(memberOptions), std::move(advicePort))
    , coreOptions(options)
    , orderSender(std::move(workerPort), [this](std::function<void()> work) { this->postCompletion(std::move(work)); })
    , dispatchTimes(this->counters.histogram("control_dispatch"))
    , ledgerTimes(this->counters.histogram("control_ledger"))
    , orderRelay(this->relayHooks())
    , workerWatch(this->watchHooks())
    , nextRequestId(randomSeed())
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
        this->leaderPermit->revoke();
        this->orderRelay.abandonWatches();
    }
    if (leads && !this->service && this->node->isServing(now)) {
        this->serviceTerm = term;
        this->leaderPermit = std::make_shared<execution::SendPermit>();
        this->service = std::make_unique<WorkService>(
            *this->node,
            this->coreOptions.work,
            WorkerPort{
                [this](const execution::WorkerCall &call, std::function<void(execution::WorkerAnswer)> done) { this->sendOrder(call, std::move(done)); }},
            [this](const std::string &instance, const work::AdviceCallT &call, Timestamp deadline, std::function<void(const ReceivedAdvice &)> done) {
                this->requestAdviceVia(instance, call, deadline, std::move(done));
            },
            this->adviceCallers,
            this->counters,
            now);
        this->restoreOwnAnswers(now);
        log::info("cluster",
                  "service.started",
                  {{"term", term}, {"workers", this->node->state().workers().size()}, {"jobs", this->node->state().activeJobs().size()}});
    }
    if (this->service) {
        this->leaderPermit->extendTo(this->node->replica().leaderLeaseEnd());
    }
}

void CoreProcess::restoreOwnAnswers(Timestamp now)
{
    this->answerLog.acknowledge(this->serviceTerm, {});
    const AdviceAnswerLog::Batch batch = this->answerLog.pendingBatch(now, std::numeric_limits<std::size_t>::max());
    this->service->restoreAdvice(batch.answers);
    this->answerLog.acknowledge(this->serviceTerm, batch.numbers);
}

void CoreProcess::reportLoad(Timestamp now)
{
    if (now < this->nextLoadReport) {
        return;
    }
    this->nextLoadReport = now + loadReportInterval;
    const ControlThreadTimes total{this->stepTimes.sum(), this->eventTimes.sum(), this->dispatchTimes.sum(), this->ledgerTimes.sum(), this->stepTimes.count()};
    const ControlThreadTimes &last = this->reportedLoad;
    log::info("cluster",
              "service.load",
              {{"steps", total.stepCount - last.stepCount},
               {"stepMillis", absl::ToInt64Milliseconds(total.steps - last.steps)},
               {"eventMillis", absl::ToInt64Milliseconds(total.events - last.events)},
               {"dispatchMillis", absl::ToInt64Milliseconds(total.dispatch - last.dispatch)},
               {"ledgerMillis", absl::ToInt64Milliseconds(total.ledger - last.ledger)},
               {"asked", this->pendingReplies.size()}});
    this->reportedLoad = total;
    this->reportReplication(now);
}

void CoreProcess::reportReplication(Timestamp now)
{
    const consensus::Replica &replica = this->node->replica();
    std::string followers;
    for (const consensus::Replica::FollowerStatus &follower : replica.followers(now)) {
        const auto silentMillis = absl::ToInt64Milliseconds(std::min(follower.silence, absl::Hours(1)));
        absl::StrAppend(&followers, " ", consensus::instanceOf(follower.replica), "/", follower.lag, "/", follower.inFlight, "/", silentMillis);
    }
    log::info("ledger",
              "ledger.load",
              {{"term", replica.currentTerm()},
               {"lastIndex", replica.lastIndex()},
               {"uncommitted", replica.lastIndex() - replica.commitIndex()},
               {"followers", followers}});
}

void CoreProcess::advance(Timestamp now, Timestamp processedUntil)
{
    if (now >= this->nextTick) {
        this->nextTick = now + tickInterval;
        this->node->tick(now);
        for (const std::string &instance : this->node->knownInstances()) {
            this->leader->addCore(instance);
        }
        this->expireReplies(processedUntil);
        this->orderRelay.tick(processedUntil);
    }
    this->updateService(now);
    if (!this->service && now >= this->nextPresence && !this->isStopping()) {
        this->sendPresence(now);
    }
    if (!this->heartbeatBatcher.isEmpty() && now >= this->nextHeartbeats) {
        this->nextHeartbeats = now + heartbeatBatchInterval;
        // A batch that gets lost is made up for by the workers' next announcements.
        this->leader->call(now, WorkMethod::Heartbeats, wire::pack(this->heartbeatBatcher.drain()), presenceTimeout, [](const CallResult &) {});
    }
    // Without the lease another leader may be active: no orders are sent until this replica holds the lease again.
    if (this->service && this->node->isServing(now)) {
        this->adviceCallers.markAlive(now, this->options.settings.id);
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

void CoreProcess::handleAsLeader(Timestamp now, const std::string &fromInstance, WorkMethod method, const std::string &body, const CallCallback &done)
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
        throw UnknownRouteError(absl::StrCat("unknown call ", request.method));
    }
    if (*method == WorkMethod::Advise) {
        this->answerAdviceCall(fromInstance, request);
        return;
    }
    if (*method == WorkMethod::Carry) {
        this->executeRelayedOrder(fromInstance, request);
        return;
    }
    if (*method == WorkMethod::Presence) {
        this->recordCore(controlNow(), fromInstance, request);
    }
    this->handleAsLeader(controlNow(), fromInstance, *method, wire::toString(request.body), [this, fromInstance, id = request.id](const CallResult &result) {
        this->reply(fromInstance, id, result, this->node->leaderInstance());
    });
}

void CoreProcess::callLeader(Timestamp now, WorkMethod method, std::string body, Duration timeout, CallCallback done)
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
    if (this->absorbHeartbeat(now, method, body)) {
        CallResult result;
        result.reply.outcome = work::CallOutcome::Accepted;
        done(result);
        return;
    }
    this->leader->call(now, method, std::move(body), timeout, std::move(done));
}

bool CoreProcess::absorbHeartbeat(Timestamp now, WorkMethod method, const std::string &body)
{
    if (method != WorkMethod::Announce || this->service || this->isStopping() || now - this->leader->lastAnswerAt() > leaderContactTimeout) {
        return false;
    }
    return this->heartbeatBatcher.absorb(this->node->state(), wire::unpack<work::AnnounceCallT>(body));
}

std::uint64_t CoreProcess::expectReply(Timestamp deadline, std::function<void(const wire::CallReplyT *)> done)
{
    const std::uint64_t id = this->nextRequestId++;
    this->pendingReplies[id] = std::move(done);
    this->replyTimers.schedule(id, deadline);
    return id;
}

void CoreProcess::expireReplies(Timestamp processedUntil)
{
    while (const std::optional<std::uint64_t> id = this->replyTimers.popExpired(processedUntil)) {
        if (const auto question = this->pendingReplies.extract(*id)) {
            question.mapped()(nullptr);
        }
    }
}

void CoreProcess::callInstance(
    const std::string &instance, WorkMethod method, const std::string &body, Timestamp deadline, std::function<void(const wire::CallReplyT *)> done)
{
    wire::CallRequestT request;
    request.id = this->expectReply(deadline, std::move(done));
    request.method = nameOf(method);
    request.body = wire::toBytes(body);
    if (instance == this->options.settings.id) {
        // Local requests take the same path as remote ones, so that their deadline is enforced here too.
        this->receiveCall(instance, request);
        return;
    }
    wire::PeerFrameT frame;
    frame.body.Set(std::move(request));
    this->sendFrame(instance, std::move(frame));
}

void CoreProcess::requestAdviceVia(const std::string &instance,
                                   const work::AdviceCallT &call,
                                   Timestamp deadline,
                                   std::function<void(const ReceivedAdvice &)> done)
{
    this->callInstance(instance, WorkMethod::Advise, wire::pack(call), deadline, [this, done = std::move(done)](const wire::CallReplyT *reply) {
        ReceivedAdvice received;
        // An answer is missing only after all frames that had arrived were handled.
        received.receivedAt = reply == nullptr ? controlNow() : this->frameReceivedAt;
        execution::AdviceAnswer &answer = received.answer;
        answer.isAnswered = reply != nullptr && reply->error == ErrorCode::None;
        if (answer.isAnswered) {
            for (const auto &ticket : wire::unpack<work::AdviceReplyT>(reply->body).good) {
                answer.tickets.push_back(*ticket);
            }
        }
        done(received);
    });
}

void CoreProcess::sendOrder(execution::WorkerCall call, std::function<void(execution::WorkerAnswer)> done)
{
    call.conditions.permit = this->leaderPermit;
    const workload::Workload &state = this->node->state();
    const workload::Worker *worker = state.findWorker(call.worker);
    this->orderRelay.send({worker == nullptr ? 0 : state.workers().size(), worker == nullptr ? "" : worker->registration.zone}, call, std::move(done));
}

RelayHooks CoreProcess::relayHooks()
{
    RelayHooks ways;
    ways.sendDirect = [this](const execution::WorkerCall &call, const OrderRelay::Done &done) {
        this->orderSender.send(call, [done](Timestamp, const execution::WorkerAnswer &answer) { done(answer); });
    };
    ways.sendVia =
        [this](const std::string &instance, const execution::WorkerCall &call, Timestamp deadline, const std::function<void(const RelayResult &)> &done) {
            this->callInstance(instance, WorkMethod::Carry, wire::pack(encodeRelayCall(call)), deadline, [done](const wire::CallReplyT *reply) {
                RelayResult relayed;
                if (reply != nullptr && reply->error == ErrorCode::NotLeader) {
                    relayed.outcome = RelayOutcome::Declined;
                } else if (reply != nullptr) {
                    relayed.outcome = RelayOutcome::Answered;
                    relayed.answer =
                        reply->error == ErrorCode::None ? decodeRelayReply(wire::unpack<work::CarryReplyT>(reply->body)) : execution::WorkerAnswer();
                }
                done(relayed);
            });
        };
    ways.runAt = [this](Timestamp at, const std::function<void()> &action) { this->expectReply(at, [action](const wire::CallReplyT *) { action(); }); };
    ways.now = [] { return controlNow(); };
    return ways;
}

void CoreProcess::executeRelayedOrder(const std::string &fromInstance, const wire::CallRequestT &request)
{
    const std::shared_ptr<const execution::SendPermit> permit = this->relayPermits.permitFor(controlNow(), fromInstance);
    if (this->isStopping() || !permit) {
        CallResult refusal;
        refusal.error = ErrorCode::NotLeader;
        this->reply(fromInstance, request.id, refusal, "");
        return;
    }
    execution::WorkerCall call = decodeRelayCall(wire::unpack<work::CarryCallT>(request.body));
    call.conditions.permit = permit;
    ++this->relayedCalls;
    const auto reply = [this, fromInstance, id = request.id](const execution::WorkerAnswer &received) {
        --this->relayedCalls;
        wire::CallReplyT answer;
        answer.id = id;
        answer.body = wire::toBytes(wire::pack(encodeRelayReply(received)));
        this->sendReply(fromInstance, std::move(answer));
    };
    if (std::holds_alternative<execution::PollOrder>(call.order)) {
        this->workerWatch.poll(fromInstance, call, reply);
        return;
    }
    this->orderSender.send(call, [reply](Timestamp, const execution::WorkerAnswer &received) { reply(received); });
}

WatchHooks CoreProcess::watchHooks()
{
    WatchHooks ways;
    ways.call = [this](const execution::WorkerCall &call, const WatchHooks::Answered &done) { this->orderSender.send(call, done); };
    ways.isServing = [this](const std::string &instance) { return this->node->leaderInstance() == instance && !this->isStopping(); };
    ways.now = [] { return controlNow(); };
    return ways;
}

void CoreProcess::recordCore(Timestamp now, const std::string &instance, const wire::CallRequestT &request)
{
    const std::vector<std::string> cores = this->node->knownInstances();
    // Its own presence report, sent before it became leader, may arrive here.
    if (instance != this->options.settings.id && std::find(cores.begin(), cores.end(), instance) != cores.end()) {
        const auto call = wire::unpack<work::PresenceCallT>(wire::toString(request.body));
        this->dataCentres[instance] = call.zone;
        this->orderRelay.markAlive(now, instance, call.zone, call.incarnation);
    }
}

void CoreProcess::sendPresence(Timestamp now)
{
    this->nextPresence = now + presenceInterval;
    work::PresenceCallT call;
    call.zone = this->options.zone;
    call.incarnation = this->incarnation;
    this->callPresence(now, std::move(call), presenceTimeout, [this, now](const CallResult &result) {
        if (result.error == ErrorCode::None) {
            this->relayPermits.confirmLeader(this->leader->leaderInstance(), now);
        }
    });
}

void CoreProcess::receiveReply(const std::string &fromInstance, const wire::CallReplyT &reply)
{
    const auto found = this->pendingReplies.find(reply.id);
    if (found == this->pendingReplies.end()) {
        MemberProcess::receiveReply(fromInstance, reply);
        return;
    }
    const auto done = std::move(found->second);
    this->pendingReplies.erase(found);
    try {
        done(&reply);
    } catch (const Error &error) {
        // Only decoding the answer can fail, before it has any effect: it counts as no answer.
        log::warning("cluster", "answer.unreadable", {{"from", fromInstance}, {"error", paddlepier::nameOf(error.code())}, {"message", error.what()}});
        done(nullptr);
    }
}

void CoreProcess::stopGracefully()
{
    const Timestamp end = controlNow() + stopWaitShare * this->coreOptions.terminationGrace;
    this->node->leave();
    const auto hasEnded = [this] { return this->node->hasLeft(controlNow()) && this->leader->pendingCalls() == 0 && this->relayedCalls == 0; };
    while (controlNow() < end && !hasEnded()) {
        this->step(tickInterval);
    }
    log::info("cluster",
              "stopped",
              {{"instance", this->options.settings.id}, {"calls", this->leader->pendingCalls()}, {"hasLeft", this->node->hasLeft(controlNow())}});
}

} // namespace paddlepier::cluster
