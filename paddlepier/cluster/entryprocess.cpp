// Process on an entry machine.

#include "paddlepier/cluster/entryprocess.h"

#include "paddlepier/base/log.h"

namespace paddlepier::cluster
{

namespace
{

/** Interval at which an entry instance reports its presence; the leader regards it as gone after four. */
constexpr Duration presenceInterval = absl::Milliseconds(200);
constexpr Duration presenceTimeout = absl::Milliseconds(1200);

/**
 * Without an answer of a leader for this long, callers are better served by other instances. The balancer checks every second and removes
 * an instance after two failed checks, so that an election, which ends within 1.5 s, doesn't remove any.
 */
constexpr Duration leaderContactTimeout = absl::Milliseconds(550);

/** The balancer checks every second and removes an instance after two failed checks; new connections stop after that. */
constexpr Duration balancerDelay = absl::Milliseconds(2600);

/** Longest wait for pending answers after that. */
constexpr Duration stopTimeout = absl::Milliseconds(2000);

constexpr Duration stopTick = absl::Milliseconds(20);

} // namespace

EntryProcess::EntryProcess(MemberOptions memberOptions, AdvicePort advicePort)
    : MemberProcess(std::move(memberOptions), std::move(advicePort))
{
}

EntryProcess::~EntryProcess()
{
    this->stopTransport();
}

void EntryProcess::advance(Timestamp now, Timestamp)
{
    // Without presence reports the leader assigns no new work to a stopping instance.
    if (now >= this->nextPresence && !this->isPresencePending && !this->isStopping()) {
        this->sendPresence(now);
    }
    const bool hasLeader = now - this->leader->lastAnswerAt() < leaderContactTimeout;
    if (hasLeader != this->ready) {
        this->ready = hasLeader;
        log::info("cluster", hasLeader ? "leader.reached" : "leader.lost", {{"instance", this->options.settings.id}});
    }
}

void EntryProcess::sendPresence(Timestamp now)
{
    this->nextPresence = now + presenceInterval;
    this->isPresencePending = true;
    work::PresenceCallT call;
    call.zone = this->options.zone;
    this->callPresence(now, std::move(call), presenceTimeout, [this](const CallResult &result) {
        this->isPresencePending = false;
        for (const std::string &instance : result.reply.coreInstances) {
            this->leader->addCore(instance);
        }
    });
}

void EntryProcess::receiveCall(const std::string &fromInstance, const wire::CallRequestT &request)
{
    if (workMethodFromName(request.method) == WorkMethod::Advise) {
        this->answerAdviceCall(fromInstance, request);
        return;
    }
    CallResult result;
    result.error = ErrorCode::NotLeader;
    this->reply(fromInstance, request.id, result, "");
}

void EntryProcess::receiveFrame(wire::PeerFrameT)
{
}

void EntryProcess::stopGracefully()
{
    const Timestamp connectionsEnd = controlNow() + balancerDelay;
    const Timestamp end = connectionsEnd + stopTimeout;
    while (controlNow() < connectionsEnd || (controlNow() < end && this->leader->pendingCalls() > (this->isPresencePending ? 1U : 0U))) {
        this->step(stopTick);
    }
    log::info("cluster", "stopped", {{"instance", this->options.settings.id}, {"calls", this->leader->pendingCalls()}});
}

} // namespace paddlepier::cluster
