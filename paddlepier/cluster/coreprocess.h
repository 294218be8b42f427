// Process on a core machine: a replica of the workload ledger, and the leader's work while it leads.
//
// Thread safety: as MemberProcess.

#ifndef PADDLEPIER_CLUSTER_COREPROCESS_H
#define PADDLEPIER_CLUSTER_COREPROCESS_H

#include "paddlepier/cluster/heartbeatbatcher.h"
#include "paddlepier/cluster/memberprocess.h"
#include "paddlepier/cluster/orderrelay.h"
#include "paddlepier/cluster/servingwatchdog.h"
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
    /** The deployment starts for the first time: the replicas on the seeds form the group. */
    bool mayForm = false;
    /** Votes: twice the lost disks that must be borne, and one. */
    std::size_t voters = 3;
};

/** Sums of what the control thread has spent its time on, and how many steps and events that were. */
struct LoadTimes {
    Duration steps;
    Duration events;
    Duration dispatch;
    Duration ledger;
    std::int64_t stepCount = 0;
};

class CoreProcess : public MemberProcess
{
public:
    /** Opens the data folder. @throws any Error that makes the process unable to start */
    CoreProcess(MemberOptions memberOptions, CoreOptions coreOptions, WorkerPort workerPort, AdvicePort advicePort);
    ~CoreProcess() override;

protected:
    void advance(Timestamp now, Timestamp seenUntil) override;
    void receiveCall(const std::string &fromInstance, const wire::CallRequestT &request) override;
    void receiveReply(const std::string &fromInstance, const wire::CallReplyT &answer) override;
    void receiveFrame(wire::PeerFrameT frame) override;
    void callLeader(Timestamp now, WorkMethod method, std::string body, Duration patience, CallDone done) override;
    void stopAsPlanned() override;

private:
    void updateService(Timestamp now);
    /** Tells once a second what the leader's time goes into. */
    void reportLoad(Timestamp now);
    void handleAsLeader(Timestamp now, const std::string &fromInstance, WorkMethod method, const std::string &body, const CallDone &done);
    /** Shows a core that doesn't lead to the leader: it may ask for advice and carry orders. */
    void showPresence(Timestamp now);
    /** An announcement that tells nothing new may be answered here. */
    bool absorbsHeartbeat(Timestamp now, WorkMethod method, const std::string &body);
    /** A core has shown itself to this one, which may lead. */
    void noteCore(Timestamp now, const std::string &instance, const wire::CallRequestT &request);
    /** Brings an order to its worker, by itself or through another core. */
    void carry(const execution::WorkerCall &call, std::function<void(execution::WorkerAnswer)> done);
    CarryingWays carryingWays();
    WatchWays watchWays();
    /** Carries an order of the leader out. */
    void carryFor(const std::string &fromInstance, const wire::CallRequestT &request);
    /** Ends requests whose replies were due by @p seenUntil. */
    void endOverdue(Timestamp seenUntil);
    /** @return the id of a request whose reply, or none by @p deadline, is given to @p done */
    std::uint64_t expectReply(Timestamp deadline, std::function<void(const wire::CallReplyT *)> done);
    /** Sends a request to an instance, this one included; @p done is called once, with nothing if no answer came by @p deadline. */
    void askInstance(
        const std::string &instance, WorkMethod method, const std::string &body, Timestamp deadline, std::function<void(const wire::CallReplyT *)> done);
    void askThrough(const std::string &instance, const work::AdviceCallT &call, Timestamp deadline, std::function<void(execution::AdviceAnswer)> done);

    const CoreOptions coreOptions;
    const WorkerPort workers;
    Histogram &dispatchTimes;
    Histogram &ledgerTimes;
    std::unique_ptr<replication::DiskWriter> disk;
    std::unique_ptr<WorkloadNode> node;
    std::unique_ptr<WorkService> service;
    consensus::Term serviceTerm = 0;
    AdviceCallers callers;
    OrderCarrying carrying;
    /** Data centres of the core instances that have shown themselves, and of this one. */
    std::map<std::string, std::string> dataCentres;
    ServingWatch servingWatch;
    HeartbeatRelay heartbeats;
    Timestamp nextHeartbeats = absl::InfinitePast();
    Timestamp nextPresence = absl::InfinitePast();
    /** Orders of the leader that this core is carrying out. */
    std::size_t carriedCalls = 0;
    WorkerWatch watch;
    std::unordered_map<std::uint64_t, std::function<void(const wire::CallReplyT *)>> asked;
    /** When replies are due; what has been answered is in it until then. */
    execution::DueQueue<std::uint64_t> dueReplies;
    std::uint64_t nextQuestion;
    const std::uint64_t incarnation;
    Timestamp nextTick = absl::InfinitePast();
    Timestamp nextLoadReport = absl::InfinitePast();
    LoadTimes reportedLoad;
};

} // namespace paddlepier::cluster

#endif
