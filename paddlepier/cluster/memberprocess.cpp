// Common base of the cluster's processes.

#include "paddlepier/cluster/memberprocess.h"

#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

#include <random>

namespace paddlepier::cluster
{

namespace
{

/** Bound on queued events of the control thread, far above the events of a second. */
constexpr std::size_t mailboxLimit = 20'000;

/**
 * A step that takes longer than this, or starts this much too late because other threads or processes had the processor, is logged: two
 * such steps in a row come close to causing an election.
 */
constexpr Duration slowStep = absl::Milliseconds(100);

} // namespace

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

MemberProcess::MemberProcess(MemberOptions memberOptions, AdvicePort advicePort)
    : options(std::move(memberOptions))
    , advice(std::move(advicePort))
    , mailbox(mailboxLimit)
    , stepTimes(this->counters.histogram("control_step"))
    , eventTimes(this->counters.histogram("control_events"))
    , suspension(this->counters)
{
    const auto send = [this](const std::string &instance, wire::PeerFrameT frame) { this->sendFrame(instance, std::move(frame)); };
    this->leader = std::make_unique<LeaderClient>(send, randomSeed());
    for (const std::string &seed : this->options.seeds) {
        this->leader->addCore(seed);
    }
    this->transport = std::make_unique<peer::Transport>(this->options.settings, this->counters, [this](wire::PeerFrameT frame) {
        auto shared = std::make_shared<wire::PeerFrameT>(std::move(frame));
        this->post([this, shared, receivedAt = controlNow()] {
            this->frameReceivedAt = receivedAt;
            this->receive(std::move(*shared));
        });
    });
}

MemberProcess::~MemberProcess() = default;

void MemberProcess::stopTransport()
{
    this->transport->stop();
}

bool MemberProcess::post(std::function<void()> work)
{
    const bool isQueued = this->mailbox.post(std::move(work));
    if (!isQueued) {
        this->counters.counter("events_dropped_total").add();
        log::error("cluster", "event.dropped", {{"reason", "the control thread's mailbox is full"}, {"limit", mailboxLimit}});
    }
    return isQueued;
}

void MemberProcess::postCompletion(std::function<void()> work)
{
    this->mailbox.postUnbounded(std::move(work));
}

void MemberProcess::sendFrame(const std::string &instance, wire::PeerFrameT frame)
{
    frame.fromInstance = this->options.settings.id;
    this->transport->send(instance, frame);
}

void MemberProcess::receive(wire::PeerFrameT frame)
{
    try {
        if (const auto *request = frame.body.AsCallRequest()) {
            this->receiveCall(frame.fromInstance, *request);
        } else if (const auto *answer = frame.body.AsCallReply()) {
            this->receiveReply(frame.fromInstance, *answer);
        } else {
            this->receiveFrame(std::move(frame));
        }
    } catch (const Error &error) {
        log::warning("cluster", "frame.refused", {{"error", paddlepier::nameOf(error.code())}, {"message", error.what()}});
    }
}

void MemberProcess::receiveReply(const std::string &fromInstance, const wire::CallReplyT &answer)
{
    this->leader->receiveReply(controlNow(), fromInstance, answer);
}

void MemberProcess::reply(const std::string &instance, std::uint64_t id, const CallResult &result, const std::string &leaderHint)
{
    wire::CallReplyT answer;
    answer.id = id;
    answer.error = result.error;
    answer.leader = leaderHint;
    if (result.error == ErrorCode::None) {
        answer.body = wire::toBytes(wire::pack(result.reply));
    }
    this->sendReply(instance, std::move(answer));
}

void MemberProcess::sendReply(const std::string &instance, wire::CallReplyT answer)
{
    wire::PeerFrameT frame;
    frame.body.Set(std::move(answer));
    this->sendFrame(instance, std::move(frame));
}

void MemberProcess::answerAdviceCall(const std::string &instance, const wire::CallRequestT &request)
{
    const auto question = std::make_shared<const work::AdviceCallT>(wire::unpack<work::AdviceCallT>(request.body));
    this->advice.request(*question, [this, instance, id = request.id, question](const execution::AdviceAnswer &received) {
        this->postCompletion([this, instance, id, question, received] {
            this->answerLog.record(controlNow(), *question, received);
            work::AdviceReplyT reply;
            for (const work::AdviceTicketT &ticket : received.tickets) {
                reply.good.push_back(std::make_unique<work::AdviceTicketT>(ticket));
            }
            wire::CallReplyT answer;
            answer.id = id;
            answer.error = received.isAnswered ? ErrorCode::None : ErrorCode::Timeout;
            answer.body = wire::toBytes(wire::pack(reply));
            if (instance == this->options.settings.id) {
                this->frameReceivedAt = controlNow();
                this->receiveReply(instance, answer);
                return;
            }
            this->sendReply(instance, std::move(answer));
        });
    });
}

void MemberProcess::callPresence(Timestamp now, work::PresenceCallT call, Duration timeout, CallCallback done)
{
    AdviceAnswerLog::Batch batch = this->answerLog.pendingBatch(now);
    call.answers = std::move(batch.answers);
    const auto replied = [this, numbers = std::move(batch.numbers), done = std::move(done)](const CallResult &result) {
        if (result.error == ErrorCode::None) {
            this->answerLog.acknowledge(result.reply.term, numbers);
        }
        done(result);
    };
    this->leader->call(now, WorkMethod::Presence, wire::pack(call), timeout, replied);
}

void MemberProcess::call(WorkMethod method, std::string body, Duration timeout, CallCallback done)
{
    const bool isQueued = this->post(
        [this, method, body = std::move(body), timeout, done]() mutable { this->callLeader(controlNow(), method, std::move(body), timeout, std::move(done)); });
    if (!isQueued) {
        CallResult result;
        result.error = ErrorCode::NotLeader;
        done(result);
    }
}

void MemberProcess::callLeader(Timestamp now, WorkMethod method, std::string body, Duration timeout, CallCallback done)
{
    this->leader->call(now, method, std::move(body), timeout, std::move(done));
}

void MemberProcess::addSeeds(std::vector<std::string> seeds)
{
    this->post([this, seeds = std::move(seeds)] {
        for (const std::string &seed : seeds) {
            this->leader->addCore(seed);
        }
    });
}

bool MemberProcess::isReady() const
{
    return this->ready && !this->stopRequested;
}

const std::string &MemberProcess::dataCentre() const
{
    return this->options.zone;
}

bool MemberProcess::isStopping() const
{
    return this->stopRequested;
}

Counters &MemberProcess::processCounters()
{
    return this->counters;
}

void MemberProcess::requestStop()
{
    this->stopRequested = true;
}

void MemberProcess::run()
{
    constexpr Duration tickInterval = absl::Milliseconds(20);
    while (!this->stopRequested) {
        this->step(tickInterval);
    }
    log::info("cluster", "stopping", {{"instance", this->options.settings.id}});
    this->stopGracefully();
}

void MemberProcess::step(Duration timeout)
{
    const Timestamp waitStart = controlNow();
    const std::vector<Mailbox::Work> batch = this->mailbox.drain(timeout);
    // Events that arrived by now are in the batch. Those that arrive while it is handled aren't, and must not count as missing.
    const Timestamp receivedAt = controlNow();
    this->suspension.check();
    if (receivedAt - waitStart > timeout + slowStep) {
        log::warning("cluster", "control.late", {{"millis", absl::ToInt64Milliseconds(receivedAt - waitStart)}, {"events", batch.size()}});
    }
    const ScopeTimer stepTimer(this->stepTimes);
    {
        const ScopeTimer eventTimer(this->eventTimes);
        for (const Mailbox::Work &work : batch) {
            work();
        }
    }
    const Duration eventTime = stepTimer.elapsed();
    this->leader->tick(receivedAt);
    this->advance(controlNow(), receivedAt);
    if (stepTimer.elapsed() > slowStep) {
        log::warning(
            "cluster",
            "control.slow",
            {{"millis", absl::ToInt64Milliseconds(stepTimer.elapsed())}, {"events", batch.size()}, {"eventMillis", absl::ToInt64Milliseconds(eventTime)}});
    }
}

} // namespace paddlepier::cluster
