// What the cluster's processes need from the adapter that speaks to the platform.
//
// Thread safety: the functions are called on the control thread and must not wait; what they are given to call back may be
// called from any thread.

#ifndef PADDLEPIER_CLUSTER_PORTS_H
#define PADDLEPIER_CLUSTER_PORTS_H

#include "paddlepier/execution/orders.h"
#include "paddlepier/wire/workload_generated.h"

#include <functional>

namespace paddlepier::cluster
{

struct WorkerPort {
    /** The leader's own port calls back on the control thread. */
    std::function<void(const execution::WorkerCall &call, std::function<void(execution::WorkerAnswer)> done)> call;
};

struct AdvicePort {
    std::function<void(const work::AdviceCallT &call, std::function<void(execution::AdviceAnswer)> done)> request;
};

} // namespace paddlepier::cluster

#endif
