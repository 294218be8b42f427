// The leader's service for calls, for one term.
//
// Exists while its replica leads. A call is answered only while the replica holds the leader lease; a call that changes
// state is answered after the commit.
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_CLUSTER_WORKSERVICE_H
#define PADDLEPIER_CLUSTER_WORKSERVICE_H

#include "paddlepier/base/counters.h"
#include "paddlepier/cluster/advicecallerpool.h"
#include "paddlepier/cluster/announcementfault.h"
#include "paddlepier/cluster/authentication.h"
#include "paddlepier/cluster/ports.h"
#include "paddlepier/cluster/workcalls.h"
#include "paddlepier/execution/dispatcher.h"
#include "paddlepier/replication/replicanode.h"
#include "paddlepier/workload/workload.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace paddlepier::cluster
{

using WorkloadNode = replication::ReplicaNode<workload::Workload>;

struct ReceivedAdvice {
    execution::AdviceAnswer answer;
    /** When the answer arrived at this process, which may have been busy since. */
    Timestamp receivedAt;
};

/** Sends an advice request through another instance. */
using RequestAdviceVia =
    std::function<void(const std::string &instance, const work::AdviceCallT &call, Timestamp deadline, std::function<void(const ReceivedAdvice &)> done)>;

struct WorkOptions {
    execution::DispatchOptions dispatch;
    CallerKeys callerKeys = CallerKeys::Ignored;
};

class WorkService
{
public:
    WorkService(WorkloadNode &workloadNode,
                const WorkOptions &options,
                WorkerPort workerPort,
                RequestAdviceVia adviceSender,
                AdviceCallerPool &adviceCallers,
                Counters &processCounters,
                Timestamp now);
    ~WorkService();

    WorkService(const WorkService &) = delete;
    WorkService &operator=(const WorkService &) = delete;

    void handle(Timestamp now, const std::string &fromInstance, WorkMethod method, const std::string &body, const CallCallback &done);
    /** Executes the dispatcher's effects; must be called after every batch of events. */
    void step(Timestamp now);
    /** Adds permissions that an instance has relayed to an earlier leader. Unknown steps and workers are ignored. */
    void restoreAdvice(const std::vector<std::unique_ptr<work::RelayedAdviceT>> &answers);

private:
    void handleJob(const work::JobCallT &call, const CallCallback &done);
    /** A caller's request about one job. */
    struct JobRequest {
        /** The queue that the request selects, whose configuration admits the caller. */
        const work::QueueSpecT &queue;
        std::string id;
        std::string team;
        /** The job that was accepted at the request's address, if the caller may see it; null otherwise. */
        const workload::Job *job;
    };
    /** The job that the request is about; null if there is none that the caller may see. */
    const workload::Job *findVisibleJob(const work::JobCallT &call, const work::QueueSpecT &queue, const std::string &team) const;
    void submit(const JobRequest &request, const work::JobCallT &call, const CallCallback &done);
    void show(const JobRequest &request, const CallCallback &done);
    void cancel(const JobRequest &request, const CallCallback &done);
    /** The fault of an announcement, as far as only the leader can detect it. */
    std::optional<AnnouncementFault> faultOf(const work::AnnounceCallT &call) const;
    void announce(Timestamp now, const work::AnnounceCallT &call, const CallCallback &done);
    /** Records announcements that other instances have answered. */
    void recordHeartbeats(Timestamp now, const work::HeartbeatsCallT &call, const CallCallback &done);
    /** The incarnation that a withdrawal refers to; nothing if it may be one that has ended. */
    std::optional<workload::Incarnation> withdrawnIncarnation(Timestamp now, const work::WithdrawCallT &call) const;
    void withdraw(Timestamp now, const work::WithdrawCallT &call, const CallCallback &done);
    void configure(work::ConfigureCallT call, const CallCallback &done);
    void readConfiguration(const CallCallback &done);
    void evacuate(work::EvacuateCallT call, const CallCallback &done);
    void presence(Timestamp now, const std::string &fromInstance, const work::PresenceCallT &call, const CallCallback &done);
    void requestAdvice(Timestamp now, const execution::AdviceRequest &question);

    void propose(work::CommandUnion command, WorkloadNode::Completed completed);
    /** Proposes @p command and answers with @p reply after the commit, or with the error if it fails. */
    void proposeAndReply(work::CommandUnion command, work::WorkReplyT reply, const CallCallback &done);

    WorkloadNode &node;
    const CallerKeys callerKeys;
    const WorkerPort workers;
    const RequestAdviceVia requestAdviceVia;
    AdviceCallerPool &callers;
    Counters &counters;
    Counter &submittedJobs;
    Counter &workerCalls;
    Counter &adviceCalls;
    Counter &lostWorkers;
    Counter &givenUpTasks;
    Counter &longWaits;
    Counter &teamsAtQuota;
    Counter &evacuationChanges;
    Counter &restoredAdvice;
    Histogram &workerCallTimes;
    Histogram &adviceOverheads;
    execution::Dispatcher dispatcher;
    /** Shared with callbacks, which check whether the term has ended. */
    std::shared_ptr<bool> isTermActive;
};

} // namespace paddlepier::cluster

#endif
