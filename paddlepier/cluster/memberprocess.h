// Common base of the cluster's processes: one control thread, connections to peers, and calls to the leader.
//
// A process on a core machine has a replica and may lead; one on an entry machine has none. Everything except posting
// runs on the control thread.
//
// Thread safety: call(), requestStop() and addSeeds() may be called from any thread.

#ifndef PADDLEPIER_CLUSTER_MEMBERPROCESS_H
#define PADDLEPIER_CLUSTER_MEMBERPROCESS_H

#include "paddlepier/base/counters.h"
#include "paddlepier/base/mailbox.h"
#include "paddlepier/base/suspension.h"
#include "paddlepier/cluster/adviceanswerlog.h"
#include "paddlepier/cluster/leaderclient.h"
#include "paddlepier/cluster/ports.h"
#include "paddlepier/cluster/workcalls.h"
#include "paddlepier/peer/transport.h"
#include "paddlepier/settings/settings.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace paddlepier::cluster
{

struct MemberOptions {
    /** `id` is the peer address; `acceptsUnknownPeers` is set. */
    Settings settings;
    std::string zone;
    /** Peer addresses of the core instances that are contacted first. */
    std::vector<std::string> seeds;
};

class MemberProcess
{
public:
    MemberProcess(MemberOptions memberOptions, AdvicePort advicePort);
    virtual ~MemberProcess();

    MemberProcess(const MemberProcess &) = delete;
    MemberProcess &operator=(const MemberProcess &) = delete;

    /**
     * Calls the leader. @p done is called exactly once, on the control thread; or before this returns, with NotLeader, if the control thread is so far
     * behind that it accepts no calls.
     */
    void call(WorkMethod method, std::string body, Duration timeout, CallCallback done);
    void addSeeds(std::vector<std::string> seeds);

    /** Runs until requestStop(), then stops gracefully. */
    void run();
    void requestStop();

    /** True if the balancer should send callers to this instance. */
    bool isReady() const;
    /** The data centre of this process. */
    const std::string &dataCentre() const;
    bool isStopping() const;
    Counters &processCounters();

protected:
    /**
     * Called on the control thread about every tick and after every batch of events. All events that arrived by @p processedUntil have been
     * handled: an answer that is missing then is late, whatever @p now is.
     */
    virtual void advance(Timestamp now, Timestamp processedUntil) = 0;
    virtual void receiveCall(const std::string &fromInstance, const wire::CallRequestT &request) = 0;
    virtual void receiveReply(const std::string &fromInstance, const wire::CallReplyT &answer);
    /** Handles frames other than calls and replies. */
    virtual void receiveFrame(wire::PeerFrameT frame) = 0;
    virtual void callLeader(Timestamp now, WorkMethod method, std::string body, Duration timeout, CallCallback done);
    virtual void stopGracefully() = 0;

    void step(Duration timeout);
    /** Queues an event for the control thread. @return false if it was dropped since too many are queued */
    bool post(std::function<void()> work);
    /** Queues the end of an operation that this process has started. It is never dropped: the operation would stay pending. */
    void postCompletion(std::function<void()> work);
    void sendFrame(const std::string &instance, wire::PeerFrameT frame);
    void sendReply(const std::string &instance, wire::CallReplyT answer);
    void reply(const std::string &instance, std::uint64_t id, const CallResult &result, const std::string &leaderHint);
    /** Calls the policy service on behalf of another instance. */
    void answerAdviceCall(const std::string &instance, const wire::CallRequestT &request);
    /** Reports this instance to the leader, with the advice answers that it hasn't received. */
    void callPresence(Timestamp now, work::PresenceCallT call, Duration timeout, CallCallback done);
    void stopTransport();

    const MemberOptions options;
    const AdvicePort advice;
    Counters counters;
    Mailbox mailbox;
    /** Durations of the control thread's steps, and of the event batch in each. */
    Histogram &stepTimes;
    Histogram &eventTimes;
    SuspensionReporter suspension;
    std::unique_ptr<LeaderClient> leader;
    AdviceAnswerLog answerLog;
    /** When the frame that is being handled arrived; the control thread may have been busy since. */
    Timestamp frameReceivedAt = absl::InfinitePast();
    std::atomic<bool> ready{false};
    std::atomic<bool> stopRequested{false};

private:
    void receive(wire::PeerFrameT frame);

    std::unique_ptr<peer::Transport> transport;
};

/** A random number, for seeds and for ids that don't repeat those of other processes or earlier incarnations of this one. */
std::uint64_t randomSeed();

} // namespace paddlepier::cluster

#endif
