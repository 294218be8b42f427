// Process on an entry machine.

#include "paddlepier/cluster/entryprocess.h"

#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

namespace paddlepier::cluster
{

namespace
{

/** How often an entry instance shows itself to the leader; the leader counts it as gone after four. */
constexpr Duration presenceInterval = absl::Milliseconds(200);
constexpr Duration presencePatience = absl::Milliseconds(1200);

/**
 * Without an answer of a leader for this long, callers are better sent to other instances. The balancer asks every second
 * and takes an instance out after two misses, so that an election, which ends within 1.5 s, costs nothing.
 */
constexpr Duration leaderSilence = absl::Milliseconds(550);

/** The balancer asks every second and takes two misses; after that no new connections come. */
constexpr Duration stopLead = absl::Milliseconds(2600);

/** Longest wait for answers under way beyond that. */
constexpr Duration stopPatience = absl::Milliseconds(2000);

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
    // A stopping instance isn't given new work by the leader.
    if (now >= this->nextPresence && !this->isPresencePending && !this->isStopping()) {
        this->sendPresence(now);
    }
    const bool hasLeader = now - this->leader->lastAnswerAt() < leaderSilence;
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
    this->leader->call(now, WorkMethod::Presence, wire::pack(call), presencePatience, [this](const CallResult &result) {
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
    const Timestamp lead = controlNow() + stopLead;
    const Timestamp end = lead + stopPatience;
    while (controlNow() < lead || (controlNow() < end && this->leader->pendingCalls() > (this->isPresencePending ? 1U : 0U))) {
        this->step(stopTick);
    }
    log::info("cluster", "stopped", {{"instance", this->options.settings.id}, {"calls", this->leader->pendingCalls()}});
}

} // namespace paddlepier::cluster
