// Sends calls to the leader of the workload ledger.

#include "paddlepier/cluster/leaderclient.h"

#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

#include <algorithm>

namespace paddlepier::cluster
{

namespace
{

/** A leader answers within a commit (two syncs and a round trip, some 30 ms); after ten times that it counts as gone. */
constexpr Duration answerTimeout = absl::Milliseconds(350);

/** Pause after an answer that names no leader: a fraction of the duration of an election. */
constexpr Duration noLeaderPause = absl::Milliseconds(60);

} // namespace

LeaderClient::LeaderClient(Send frameSender, std::uint64_t firstCallId)
    : send(std::move(frameSender))
    , nextId(firstCallId)
{
}

void LeaderClient::addCore(const std::string &instance)
{
    if (std::find(this->coreInstances.begin(), this->coreInstances.end(), instance) == this->coreInstances.end()) {
        this->coreInstances.push_back(instance);
    }
}

const std::vector<std::string> &LeaderClient::cores() const
{
    return this->coreInstances;
}

const std::string &LeaderClient::leaderInstance() const
{
    return this->leader;
}

Timestamp LeaderClient::lastAnswerAt() const
{
    return this->lastAnsweredAt;
}

std::size_t LeaderClient::pendingCalls() const
{
    return this->pending.size();
}

void LeaderClient::call(Timestamp now, WorkMethod method, std::string body, Duration timeout, CallCallback done)
{
    const std::uint64_t id = this->nextId++;
    PendingCall &pending = this->pending[id];
    pending.method = method;
    pending.body = std::move(body);
    pending.done = std::move(done);
    pending.deadline = now + timeout;
    this->attempt(now, id, pending);
}

std::string LeaderClient::nextTarget()
{
    if (!this->leader.empty()) {
        return this->leader;
    }
    return this->coreInstances.empty() ? "" : this->coreInstances[this->nextCore++ % this->coreInstances.size()];
}

void LeaderClient::attempt(Timestamp now, std::uint64_t id, PendingCall &pending)
{
    pending.nextAttemptAt = now + answerTimeout;
    if (pending.method == WorkMethod::Presence && this->leader.empty()) {
        // Without a known leader the call goes to all cores, so that the leader answers however many of the others are down.
        pending.target.clear();
        for (const std::string &core : this->coreInstances) {
            this->sendTo(core, id, pending);
        }
        return;
    }
    pending.target = this->nextTarget();
    if (!pending.target.empty()) {
        this->sendTo(pending.target, id, pending);
    }
}

void LeaderClient::sendTo(const std::string &instance, std::uint64_t id, PendingCall &pending)
{
    ++pending.unresolvedAttempts;
    wire::CallRequestT request;
    request.id = id;
    request.method = nameOf(pending.method);
    request.body = wire::toBytes(pending.body);
    wire::PeerFrameT frame;
    frame.body.Set(std::move(request));
    this->send(instance, std::move(frame));
}

void LeaderClient::receiveReply(Timestamp now, const std::string &fromInstance, const wire::CallReplyT &reply)
{
    const std::string previousLeader = this->leader;
    if (reply.error == ErrorCode::None) {
        this->leader = fromInstance;
        this->lastAnsweredAt = now;
    } else if (this->leader == fromInstance || this->leader.empty()) {
        this->leader = reply.leader == fromInstance ? "" : reply.leader;
    }
    if (!this->leader.empty() && this->leader != previousLeader) {
        this->retryAtNewLeader(now);
    }
    const auto found = this->pending.find(reply.id);
    if (found == this->pending.end()) {
        return;
    }
    PendingCall &pending = found->second;
    if (reply.error == ErrorCode::None) {
        CallResult result;
        result.reply = wire::unpack<work::WorkReplyT>(reply.body);
        this->complete(reply.id, result);
        return;
    }
    if (reply.error == ErrorCode::NotLeader) {
        pending.unresolvedAttempts -= std::min<std::uint32_t>(pending.unresolvedAttempts, 1);
    }
    pending.nextAttemptAt = this->leader.empty() || this->leader == pending.target ? now + noLeaderPause : now;
}

void LeaderClient::retryAtNewLeader(Timestamp now)
{
    for (auto &[id, pending] : this->pending) {
        if (pending.target != this->leader) {
            pending.nextAttemptAt = now;
        }
    }
}

void LeaderClient::tick(Timestamp now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[id, pending] : this->pending) {
        if (pending.deadline <= now) {
            expired.push_back(id);
        } else if (pending.nextAttemptAt <= now) {
            // One late answer doesn't clear the leader while it answers other calls: a commit may wait for a slow disk.
            if (pending.target == this->leader && pending.unresolvedAttempts > 0 && now - this->lastAnsweredAt >= answerTimeout) {
                this->leader.clear();
            }
            this->attempt(now, id, pending);
        }
    }
    for (const std::uint64_t id : expired) {
        CallResult result;
        result.error = this->pending.at(id).unresolvedAttempts > 0 ? ErrorCode::Timeout : ErrorCode::NotLeader;
        this->complete(id, result);
    }
}

void LeaderClient::complete(std::uint64_t id, const CallResult &result)
{
    const auto found = this->pending.find(id);
    const CallCallback done = std::move(found->second.done);
    this->pending.erase(found);
    done(result);
}

} // namespace paddlepier::cluster
