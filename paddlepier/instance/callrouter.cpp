// Routes calls to the leader of a data centre's ledger.

#include "paddlepier/instance/callrouter.h"

#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>

#include <vector>

namespace paddlepier::instance
{

namespace
{

/** Time after which an unanswered call is retried, at another replica if no leader is known. */
constexpr Duration answerTimeout = absl::Milliseconds(300);
/** Delay before the next attempt after a `NotLeader` that names no leader: an election may be in progress. */
constexpr Duration electionBackoff = absl::Milliseconds(50);

} // namespace

CallRouter::CallRouter(const Settings &instanceSettings, Send frameSender, Counters &counters, std::uint64_t firstCallId)
    : settings(instanceSettings)
    , send(std::move(frameSender))
    , sentCalls(counters.counter("calls_sent_total"))
    , nextId(firstCallId)
{
}

void CallRouter::addLocal(const std::string &dataCentre, LedgerService &service)
{
    this->localServices[dataCentre] = &service;
}

std::size_t CallRouter::pendingCalls() const
{
    return this->pending.size();
}

void CallRouter::call(
    Timestamp now, const std::string &dataCentre, rpc::Method method, const Actor &actor, std::string body, Duration timeout, CallCallback done)
{
    if (this->settings.findLedger(dataCentre) == nullptr) {
        done(CallResult::failure(ErrorCode::WrongDataCentre, absl::StrCat("unknown data centre \"", dataCentre, "\"")));
        return;
    }
    const std::uint64_t id = this->nextId++;
    PendingCall pending;
    pending.dataCentre = dataCentre;
    pending.method = method;
    pending.actor = actor;
    pending.body = std::move(body);
    pending.done = std::move(done);
    pending.deadline = now + timeout;
    this->pending.emplace(id, std::move(pending));
    this->attempt(now, id);
}

std::string CallRouter::chooseTarget(PendingCall &pending)
{
    // The local replica is in constant contact with its leader; a leader reported by an earlier call may be outdated.
    const auto local = this->localServices.find(pending.dataCentre);
    if (local != this->localServices.end() && !local->second->leaderInstance().empty()) {
        return local->second->leaderInstance();
    }
    const auto leader = this->reportedLeaders.find(pending.dataCentre);
    if (leader != this->reportedLeaders.end() && !leader->second.empty()) {
        return leader->second;
    }
    const std::vector<std::string> &replicas = this->settings.findLedger(pending.dataCentre)->replicas;
    return replicas[pending.replicaIndex++ % replicas.size()];
}

void CallRouter::attempt(Timestamp now, std::uint64_t id)
{
    PendingCall &pending = this->pending.at(id);
    pending.target = this->chooseTarget(pending);
    pending.nextAttemptAt = now + (pending.method == rpc::Method::Announce ? this->settings.timing.announceInterval + answerTimeout : answerTimeout);
    if (pending.target == this->settings.id) {
        const auto local = this->localServices.find(pending.dataCentre);
        const std::string body = pending.body;
        const std::string self = this->settings.id;
        local->second->execute(
            now, pending.method, pending.actor, body, [this, now, id, self](const CallResult &result) { this->handleResult(now, id, self, result); });
        return;
    }
    this->sentCalls.add();
    wire::CallRequestT request;
    request.id = id;
    request.method = rpc::CallCatalog::instance().info(pending.method).name;
    request.partner = pending.actor.partner;
    request.role = pending.actor.role;
    request.body = wire::toBytes(pending.body);
    wire::PeerFrameT frame;
    frame.group = pending.dataCentre;
    frame.body.Set(std::move(request));
    this->send(pending.target, std::move(frame));
}

void CallRouter::receiveRequest(Timestamp now, const std::string &fromInstance, const std::string &group, const wire::CallRequestT &request)
{
    const std::uint64_t id = request.id;
    const auto answer = [this, id, fromInstance, group](const CallResult &result) {
        wire::CallReplyT reply;
        reply.id = id;
        reply.error = result.error;
        reply.message = result.message;
        reply.leader = result.leader;
        reply.body = wire::toBytes(result.body);
        wire::PeerFrameT frame;
        frame.group = group;
        frame.body.Set(std::move(reply));
        this->send(fromInstance, std::move(frame));
    };
    const rpc::CallInfo *call = rpc::CallCatalog::instance().findName(request.method);
    const auto local = this->localServices.find(group);
    if (call == nullptr) {
        answer(CallResult::failure(ErrorCode::UnknownRoute, absl::StrCat("unknown call ", request.method)));
    } else if (local == this->localServices.end()) {
        answer(CallResult::failure(ErrorCode::NotLeader, absl::StrCat("no replica of the ledger of ", group, " on this instance")));
    } else {
        local->second->execute(now, call->method, {request.partner, request.role}, wire::toString(request.body), answer);
    }
}

void CallRouter::receiveReply(Timestamp now, const std::string &fromInstance, const wire::CallReplyT &reply)
{
    CallResult result;
    result.error = reply.error;
    result.message = reply.message;
    result.leader = reply.leader;
    result.body = wire::toString(reply.body);
    this->handleResult(now, reply.id, fromInstance, result);
}

void CallRouter::handleResult(Timestamp now, std::uint64_t id, const std::string &fromInstance, const CallResult &result)
{
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
        return;
    }
    PendingCall &pending = found->second;
    if (result.error != ErrorCode::NotLeader) {
        this->reportedLeaders[pending.dataCentre] = fromInstance;
        this->complete(id, result);
        return;
    }
    this->reportedLeaders[pending.dataCentre] = result.leader == fromInstance ? "" : result.leader;
    pending.nextAttemptAt = now + (result.leader.empty() ? electionBackoff : absl::ZeroDuration());
}

void CallRouter::complete(std::uint64_t id, const CallResult &result)
{
    const auto found = this->pending.find(id);
    const CallCallback done = std::move(found->second.done);
    this->pending.erase(found);
    done(result);
}

bool CallRouter::hasNewLeader(const PendingCall &pending) const
{
    const auto local = this->localServices.find(pending.dataCentre);
    if (local == this->localServices.end()) {
        return false;
    }
    const std::string leader = local->second->leaderInstance();
    return !leader.empty() && leader != pending.target;
}

void CallRouter::tick(Timestamp now)
{
    std::vector<std::uint64_t> due;
    std::vector<std::uint64_t> expired;
    for (const auto &[id, pending] : this->pending) {
        if (now >= pending.deadline) {
            expired.push_back(id);
        } else if (now >= pending.nextAttemptAt || this->hasNewLeader(pending)) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : expired) {
        const std::string dataCentre = this->pending.at(id).dataCentre;
        this->reportedLeaders.erase(dataCentre);
        this->complete(id,
                       CallResult::failure(
                           ErrorCode::DataCentreUnreachable,
                           absl::StrCat("the leader of the ledger of ", dataCentre, " did not answer before the deadline; the call may still take effect")));
    }
    for (const std::uint64_t id : due) {
        const auto found = this->pending.find(id);
        if (found == this->pending.end()) {
            continue;
        }
        // The target may have failed: don't prefer it for the next attempt.
        const auto leader = this->reportedLeaders.find(found->second.dataCentre);
        if (leader != this->reportedLeaders.end() && leader->second == found->second.target) {
            this->reportedLeaders.erase(leader);
        }
        this->attempt(now, id);
    }
}

} // namespace paddlepier::instance
