// Process on a core machine: a replica of the workload ledger, and the leader's service while this replica leads.
//
// Thread safety: as MemberProcess.

#ifndef PADDLEPIER_CLUSTER_COREPROCESS_H
#define PADDLEPIER_CLUSTER_COREPROCESS_H

#include "paddlepier/cluster/heartbeatbatcher.h"
#include "paddlepier/cluster/memberprocess.h"
#include "paddlepier/cluster/orderrelay.h"
#include "paddlepier/cluster/ordersender.h"
#include "paddlepier/cluster/relaypermits.h"
#include "paddlepier/cluster/workerwatch.h"
#include "paddlepier/cluster/workservice.h"
#include "paddlepier/execution/timerqueue.h"
#include "paddlepier/replication/diskwriter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace paddlepier::cluster
{

struct CoreOptions {
    WorkOptions work;
    /** First start of the deployment: the replicas on the seeds form the group. */
    bool mayBootstrap = false;
    /** Number of voters: twice the number of tolerated disk losses, plus one. */
    std::size_t voters = 3;
    /** Time that a graceful stop may take. */
    Duration terminationGrace = absl::Seconds(3);
};

/** Cumulative time of the control thread by activity, and the number of its steps. */
struct ControlThreadTimes {
    Duration steps;
    Duration events;
    Duration dispatch;
    Duration ledger;
    std::int64_t stepCount = 0;
};

class CoreProcess : public MemberProcess
{
public:
    /** Opens the data folder. @throws Error of the kind that prevents the process from starting */
    CoreProcess(MemberOptions memberOptions, CoreOptions coreOptions, WorkerPort workerPort, AdvicePort advicePort);
    ~CoreProcess() override;

protected:
    void advance(Timestamp now, Timestamp processedUntil) override;
    void receiveCall(const std::string &fromInstance, const wire::CallRequestT &request) override;
    void receiveReply(const std::string &fromInstance, const wire::CallReplyT &answer) override;
    void receiveFrame(wire::PeerFrameT frame) override;
    void callLeader(Timestamp now, WorkMethod method, std::string body, Duration timeout, CallCallback done) override;
    void stopGracefully() override;

private:
    void updateService(Timestamp now);
    /** Passes the advice answers that this core has relayed for earlier leaders to its own service. */
    void restoreOwnAnswers(Timestamp now);
    /** Logs once a second how the leader's control thread spends its time. */
    void reportLoad(Timestamp now);
    /** Logs how far the other replicas are behind: lag in entries, append messages without an answer, milliseconds since the last answer. */
    void reportReplication(Timestamp now);
    void handleAsLeader(Timestamp now, const std::string &fromInstance, WorkMethod method, const std::string &body, const CallCallback &done);
    /** Reports this core to the leader, which may then use it for advice requests and as a relay. */
    void sendPresence(Timestamp now);
    /** Answers an announcement that contains nothing new on behalf of the leader. @return false if the leader must handle it */
    bool absorbHeartbeat(Timestamp now, WorkMethod method, const std::string &body);
    /** Records the presence of another core, which this process may use while it leads. */
    void recordCore(Timestamp now, const std::string &instance, const wire::CallRequestT &request);
    /** Sends an order to its worker, directly or through another core. */
    void sendOrder(execution::WorkerCall call, std::function<void(execution::WorkerAnswer)> done);
    RelayHooks relayHooks();
    WatchHooks watchHooks();
    /** Sends an order to a worker on behalf of the leader. */
    void executeRelayedOrder(const std::string &fromInstance, const wire::CallRequestT &request);
    /** Completes requests without a reply whose deadline isn't after @p processedUntil. */
    void expireReplies(Timestamp processedUntil);
    /** Registers @p done for the reply to a request; it is called without a reply at @p deadline. @return the id of the request */
    std::uint64_t expectReply(Timestamp deadline, std::function<void(const wire::CallReplyT *)> done);
    /** Sends a request to an instance, which may be this one. @p done is called exactly once, without a reply if none came by @p deadline. */
    void callInstance(
        const std::string &instance, WorkMethod method, const std::string &body, Timestamp deadline, std::function<void(const wire::CallReplyT *)> done);
    void requestAdviceVia(const std::string &instance, const work::AdviceCallT &call, Timestamp deadline, std::function<void(const ReceivedAdvice &)> done);

    const CoreOptions coreOptions;
    OrderSender orderSender;
    Histogram &dispatchTimes;
    Histogram &ledgerTimes;
    std::unique_ptr<replication::DiskWriter> disk;
    std::unique_ptr<WorkloadNode> node;
    std::unique_ptr<WorkService> service;
    consensus::Term serviceTerm = 0;
    /** Permit of the service's orders; valid while this process holds the leader's lease. */
    std::shared_ptr<execution::SendPermit> leaderPermit;
    /** Permits of orders that this core relays. */
    RelayPermits relayPermits;
    AdviceCallerPool adviceCallers;
    OrderRelay orderRelay;
    /** Data centres of this instance and of the core instances that have reported their presence. */
    std::map<std::string, std::string> dataCentres;
    HeartbeatBatcher heartbeatBatcher;
    Timestamp nextHeartbeats = absl::InfinitePast();
    Timestamp nextPresence = absl::InfinitePast();
    /** Orders that this core is relaying for the leader. */
    std::size_t relayedCalls = 0;
    WorkerWatch workerWatch;
    std::unordered_map<std::uint64_t, std::function<void(const wire::CallReplyT *)>> pendingReplies;
    /** Deadlines of replies; the entry of an answered request stays until its deadline. */
    execution::TimerQueue<std::uint64_t> replyTimers;
    std::uint64_t nextRequestId;
    const std::uint64_t incarnation;
    Timestamp nextTick = absl::InfinitePast();
    Timestamp nextLoadReport = absl::InfinitePast();
    ControlThreadTimes reportedLoad;
};

} // namespace paddlepier::cluster

#endif
