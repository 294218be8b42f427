// The leader's answers to calls, for one term.
//
// Exists while its replica leads. A call is answered only while the replica is sure that it still leads; whatever changes
// something is answered after it was committed.
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

namespace paddlepier::cluster
{

using WorkloadNode = replication::ReplicaNode<workload::Workload>;

/** Asks through another instance. */
using AskThrough =
    std::function<void(const std::string &instance, const work::AdviceCallT &call, Timestamp deadline, std::function<void(execution::AdviceAnswer)> done)>;

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
                AskThrough askThrough,
                AdviceCallers &adviceCallers,
                Counters &processCounters,
                Timestamp now);
    ~WorkService();

    WorkService(const WorkService &) = delete;
    WorkService &operator=(const WorkService &) = delete;

    void handle(Timestamp now, const std::string &fromInstance, WorkMethod method, const std::string &body, const CallDone &done);
    /** Carries the dispatcher's effects out; call it after every batch of events. */
    void step(Timestamp now);

private:
    void handleJob(const work::JobCallT &call, const CallDone &done);
    /** What a caller asks of one job. */
    struct JobRequest {
        const work::QueueSpecT &queue;
        std::string id;
        std::string team;
    };
    void submit(const JobRequest &request, const work::JobCallT &call, const CallDone &done);
    void show(const JobRequest &request, const CallDone &done);
    void cancel(const JobRequest &request, const CallDone &done);
    /** What keeps an announcement from being believed, of what only the leader can tell. */
    std::optional<AnnouncementFault> faultOf(const work::AnnounceCallT &call) const;
    void announce(Timestamp now, const work::AnnounceCallT &call, const CallDone &done);
    /** Other instances have answered these announcements. */
    void noteHeartbeats(Timestamp now, const work::HeartbeatsCallT &call, const CallDone &done);
    /** The life that a withdrawal speaks of; nothing if it may be one that is over. */
    std::optional<workload::Life> leavingLife(Timestamp now, const work::WithdrawCallT &call) const;
    void withdraw(Timestamp now, const work::WithdrawCallT &call, const CallDone &done);
    void configure(work::ConfigureCallT call, const CallDone &done);
    void readConfiguration(const CallDone &done);
    void evacuate(work::EvacuateCallT call, const CallDone &done);
    void presence(Timestamp now, const std::string &fromInstance, const CallDone &done);
    void ask(Timestamp now, const execution::AdviceQuestion &question);

    void propose(work::CommandUnion command, WorkloadNode::Completed completed);
    /** Answers @p reply once the command is committed, and a failure as what it is. */
    void proposeFor(work::CommandUnion command, work::WorkReplyT reply, const CallDone &done);

    WorkloadNode &node;
    const CallerKeys callerKeys;
    const WorkerPort workers;
    const AskThrough askThroughInstance;
    AdviceCallers &callers;
    Counters &counters;
    Counter &submittedJobs;
    Counter &workerCalls;
    Counter &adviceCalls;
    Counter &lostWorkers;
    Counter &givenUpTasks;
    Counter &longWaits;
    Counter &teamsAtQuota;
    Counter &evacuationChanges;
    Histogram &workerCallTimes;
    execution::Dispatcher dispatcher;
    /** Lets callbacks find out that the term is over. */
    std::shared_ptr<bool> isAlive;
};

} // namespace paddlepier::cluster

#endif
