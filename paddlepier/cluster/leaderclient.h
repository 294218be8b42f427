// Sends calls to the leader of the workload ledger, and finds the new leader after a change.
//
// A call goes to the instance that is believed to lead. An instance that answers NotLeader may name the leader; if an
// instance doesn't answer, the call is sent to the next core instance (one that may lead). Every call is idempotent, so
// that it can be sent again. A call that got no result by its deadline ends with NotLeader or Timeout. NotLeader means
// that it certainly wasn't accepted, because every attempt was answered with NotLeader; Timeout means that it may have
// been, or may be later.
//
// Example:
//     LeaderClient client(send, firstId);
//     client.addCore("10.1.0.16:7720");
//     client.call(now, WorkMethod::Job, body, timeout, [](const CallResult &result) { ... });
//
// Thread safety: none; owned by the control thread. Cost: O(log pending) a call.

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
    void call(Timestamp now, WorkMethod method, std::string body, Duration timeout, CallCallback done);
    void receiveReply(Timestamp now, const std::string &fromInstance, const wire::CallReplyT &reply);
    /** Retries calls that were refused or not answered in time, and completes those past their deadline. */
    void tick(Timestamp now);

    /** The instance that answered last as the leader; empty if it is unknown. */
    const std::string &leaderInstance() const;
    /** When an instance last answered as the leader; InfinitePast if none has. */
    Timestamp lastAnswerAt() const;
    std::size_t pendingCalls() const;

private:
    struct PendingCall {
        WorkMethod method = WorkMethod::Job;
        std::string body;
        CallCallback done;
        Timestamp deadline;
        Timestamp nextAttemptAt;
        /** Target of the last attempt; empty if there was none, or if it went to all cores. */
        std::string target;
        /** Attempts that were not answered with NotLeader, so that each of them may have been accepted. */
        std::uint32_t unresolvedAttempts = 0;
    };

    void attempt(Timestamp now, std::uint64_t id, PendingCall &pending);
    void sendTo(const std::string &instance, std::uint64_t id, PendingCall &pending);
    /**
     * Makes calls that wait for another instance due at the next tick(), which sends them to the new leader: at the end of an outage their
     * deadlines are near.
     */
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
