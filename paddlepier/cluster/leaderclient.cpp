// Brings calls to the leader of the workload ledger.

#include "paddlepier/cluster/leaderclient.h"

#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

#include <algorithm>

namespace paddlepier::cluster
{

namespace
{

/** A leader answers within a commit (two syncs and a round trip, some 30 ms); ten times that means that it is gone. */
constexpr Duration answerPatience = absl::Milliseconds(350);

/** Pause after an answer that names no leader: a fraction of an election. */
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

Timestamp LeaderClient::lastAnswerAt() const
{
    return this->answeredAt;
}

std::size_t LeaderClient::pendingCalls() const
{
    return this->pendings.size();
}

void LeaderClient::call(Timestamp now, WorkMethod method, std::string body, Duration patience, CallDone done)
{
    const std::uint64_t id = this->nextId++;
    Pending &pending = this->pendings[id];
    pending.method = method;
    pending.body = std::move(body);
    pending.done = std::move(done);
    pending.deadline = now + patience;
    this->attempt(now, id, pending);
}

std::string LeaderClient::nextTarget()
{
    if (!this->leader.empty()) {
        return this->leader;
    }
    return this->coreInstances.empty() ? "" : this->coreInstances[this->nextCore++ % this->coreInstances.size()];
}

void LeaderClient::attempt(Timestamp now, std::uint64_t id, Pending &pending)
{
    pending.nextTry = now + answerPatience;
    if (pending.method == WorkMethod::Presence && this->leader.empty()) {
        // Looking for the leader: whoever leads answers, however many of the others are gone.
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

void LeaderClient::sendTo(const std::string &instance, std::uint64_t id, Pending &pending)
{
    ++pending.unanswered;
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
    const std::string before = this->leader;
    if (reply.error == ErrorCode::None) {
        this->leader = fromInstance;
        this->answeredAt = now;
    } else if (this->leader == fromInstance || this->leader.empty()) {
        this->leader = reply.leader == fromInstance ? "" : reply.leader;
    }
    if (!this->leader.empty() && this->leader != before) {
        this->sendToNewLeader(now);
    }
    const auto found = this->pendings.find(reply.id);
    if (found == this->pendings.end()) {
        return;
    }
    Pending &pending = found->second;
    if (reply.error == ErrorCode::None) {
        CallResult result;
        result.reply = wire::unpack<work::WorkReplyT>(reply.body);
        this->end(reply.id, result);
        return;
    }
    if (reply.error == ErrorCode::NotLeader) {
        pending.unanswered -= std::min<std::uint32_t>(pending.unanswered, 1);
    }
    pending.nextTry = this->leader.empty() || this->leader == pending.target ? now + noLeaderPause : now;
}

void LeaderClient::sendToNewLeader(Timestamp now)
{
    for (auto &[id, pending] : this->pendings) {
        if (pending.target != this->leader) {
            pending.nextTry = now;
        }
    }
}

void LeaderClient::tick(Timestamp now)
{
    std::vector<std::uint64_t> late;
    for (auto &[id, pending] : this->pendings) {
        if (pending.deadline <= now) {
            late.push_back(id);
        } else if (pending.nextTry <= now) {
            // One late answer is no proof while others come: a commit may wait for a slow disk.
            if (pending.target == this->leader && pending.unanswered > 0 && now - this->answeredAt >= answerPatience) {
                this->leader.clear();
            }
            this->attempt(now, id, pending);
        }
    }
    for (const std::uint64_t id : late) {
        CallResult result;
        result.error = this->pendings.at(id).unanswered > 0 ? ErrorCode::Timeout : ErrorCode::NotLeader;
        this->end(id, result);
    }
}

void LeaderClient::end(std::uint64_t id, const CallResult &result)
{
    const auto found = this->pendings.find(id);
    const CallDone done = std::move(found->second.done);
    this->pendings.erase(found);
    done(result);
}

} // namespace paddlepier::cluster
