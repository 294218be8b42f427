// What the processes of the cluster have in common: one control thread, connections to peers, and calls to the leader.
//
// A process on a core machine has a replica and may lead; one on an entry machine has none. Everything but posting runs
// on the control thread.
//
// Thread safety: call(), requestStop(), addSeeds() from any thread.

#ifndef PADDLEPIER_CLUSTER_MEMBERPROCESS_H
#define PADDLEPIER_CLUSTER_MEMBERPROCESS_H

#include "paddlepier/base/counters.h"
#include "paddlepier/base/mailbox.h"
#include "paddlepier/base/suspension.h"
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
    /** `id` is the peer address, `acceptsUnknownPeers` is set. */
    Settings settings;
    std::string zone;
    /** Peer addresses of core instances to begin with. */
    std::vector<std::string> seeds;
};

class MemberProcess
{
public:
    MemberProcess(MemberOptions memberOptions, AdvicePort advicePort);
    virtual ~MemberProcess();

    MemberProcess(const MemberProcess &) = delete;
    MemberProcess &operator=(const MemberProcess &) = delete;

    /** Calls the leader; @p done is called exactly once, on the control thread. */
    void call(WorkMethod method, std::string body, Duration patience, CallDone done);
    void addSeeds(std::vector<std::string> seeds);

    /** Serves until requestStop(), then stops as planned. */
    void run();
    void requestStop();

    /** True if callers are to be sent here. */
    bool isReady() const;
    /** Where this process stands. */
    const std::string &dataCentre() const;
    bool isStopping() const;
    Counters &processCounters();

protected:
    /**
     * On the control thread, about every tick and after every batch of events. What came up to @p seenUntil has been handled:
     * an answer that is missing then is late, whatever @p now is.
     */
    virtual void advance(Timestamp now, Timestamp seenUntil) = 0;
    virtual void receiveCall(const std::string &fromInstance, const wire::CallRequestT &request) = 0;
    virtual void receiveReply(const std::string &fromInstance, const wire::CallReplyT &answer);
    /** Frames that are no calls. */
    virtual void receiveFrame(wire::PeerFrameT frame) = 0;
    virtual void callLeader(Timestamp now, WorkMethod method, std::string body, Duration patience, CallDone done);
    virtual void stopGracefully() = 0;

    void step(Duration patience);
    void post(std::function<void()> work);
    void sendFrame(const std::string &instance, wire::PeerFrameT frame);
    void sendReply(const std::string &instance, wire::CallReplyT answer);
    void reply(const std::string &instance, std::uint64_t id, const CallResult &result, const std::string &leaderHint);
    /** Answers a question to the policy service for another instance. */
    void answerAdviceCall(const std::string &instance, const wire::CallRequestT &request);
    void stopTransport();

    const MemberOptions options;
    const AdvicePort advice;
    Counters counters;
    Mailbox mailbox;
    /** What the control thread spends its time on: a whole step, and the events of its batch. */
    Histogram &stepTimes;
    Histogram &eventTimes;
    SuspensionReporter suspension;
    std::unique_ptr<LeaderClient> leader;
    std::atomic<bool> ready{false};
    std::atomic<bool> stopRequested{false};

private:
    void receive(wire::PeerFrameT frame);

    std::unique_ptr<peer::Transport> transport;
};

/** A number that other processes and earlier lives of this one won't use. */
std::uint64_t randomSeed();

} // namespace paddlepier::cluster

#endif
