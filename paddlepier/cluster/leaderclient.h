// Brings calls to the leader of the workload ledger, wherever it is.
//
// A call goes to the instance that is thought to lead; one that answers NotLeader may name a better one, and one that
// doesn't answer is passed over for the next core instance. Every call is idempotent, so that sending it again changes
// nothing. A call ends by its deadline; whether it may have been taken is told exactly: only where every attempt was
// answered with NotLeader it is certain that it wasn't.
//
// Example:
//     LeaderClient client(send, firstId);
//     client.addCore("10.1.0.16:7720");
//     client.call(now, WorkMethod::Job, body, patience, [](const CallResult &result) { ... });
//
// Thread safety: none; owned by the control thread. Each call costs O(log pending).

#ifndef PADDLEPIER_CLUSTER_LEADERCLIENT_H
#define PADDLEPIER_CLUSTER_LEADERCLIENT_H

#include "paddlepier/base/clock.h"
#include "paddlepier/cluster/workcalls.h"
#include "paddlepier/wire/peer_generated.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::cluster
{

class LeaderClient
{
public:
    using Send = std::function<void(const std::string &instance, wire::PeerFrameT frame)>;

    LeaderClient(Send frameSender, std::uint64_t firstCallId);

    void addCore(const std::string &instance);
    const std::vector<std::string> &cores() const;

    /** @p done is called exactly once, from tick() or receiveReply(). */
    void call(Timestamp now, WorkMethod method, std::string body, Duration patience, CallDone done);
    void receiveReply(Timestamp now, const std::string &fromInstance, const wire::CallReplyT &reply);
    /** Sends calls again whose answer is late, and ends those past their deadline. */
    void tick(Timestamp now);

    /** When the leader last answered. */
    Timestamp lastAnswerAt() const;
    std::size_t pendingCalls() const;

private:
    struct PendingCall {
        WorkMethod method = WorkMethod::Job;
        std::string body;
        CallDone done;
        Timestamp deadline;
        Timestamp nextAttemptAt;
        /** Who was asked last; empty if nobody was, or all were. */
        std::string target;
        /** Attempts whose fate isn't known. */
        std::uint32_t unresolvedAttempts = 0;
    };

    void attempt(Timestamp now, std::uint64_t id, PendingCall &pending);
    void sendTo(const std::string &instance, std::uint64_t id, PendingCall &pending);
    /** Calls that wait for an answer of others needn't: in an outage's last moments callers' time budgets are nearly over. */
    void retryAtNewLeader(Timestamp now);
    std::string nextTarget();
    void complete(std::uint64_t id, const CallResult &result);

    const Send send;
    std::vector<std::string> coreInstances;
    std::size_t nextCore = 0;
    std::string leader;
    Timestamp lastAnsweredAt = absl::InfinitePast();
    std::map<std::uint64_t, PendingCall> pending;
    std::uint64_t nextId;
};

} // namespace paddlepier::cluster

#endif
