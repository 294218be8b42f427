// Interface between the cluster's processes and the adapter that talks to the platform.
//
// Thread safety: the functions are called on the control thread and must not block; the callbacks passed to them may be
// called from any thread.

#ifndef PADDLEPIER_CLUSTER_PORTS_H
#define PADDLEPIER_CLUSTER_PORTS_H

#include "paddlepier/execution/orders.h"
#include "paddlepier/wire/workload_generated.h"

#include <functional>

namespace paddlepier::cluster
{

struct WorkerPort {
    /** The port that the leader's service uses calls back on the control thread. */
    std::function<void(const execution::WorkerCall &call, std::function<void(execution::WorkerAnswer)> done)> call;
};

struct AdvicePort {
    std::function<void(const work::AdviceCallT &call, std::function<void(execution::AdviceAnswer)> done)> request;
};

} // namespace paddlepier::cluster

#endif
