// Interface between the cluster's processes and the adapter that talks to the platform.
//
// Thread safety: the functions are called on the control thread and must not block; the callbacks passed to them may be
// called from any thread.

#ifndef PADDLEPIER_CLUSTER_PORTS_H
#define PADDLEPIER_CLUSTER_PORTS_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"
#include "paddlepier/wire/workload_generated.h"

#include <cstdint>
#include <functional>

namespace paddlepier::cluster
{

/**
 * Connections of a process to one worker: one for the poll that is held back while nothing ends, and two for orders. A worker accepts 64 connections, and
 * those of a process whose machine has lost power stay open there for good.
 */
constexpr std::uint32_t maxConnectionsPerWorker = 3;

/** Idle connections to workers are closed after this time, which is much longer than the pause between two orders to a worker of a large cell. */
constexpr Duration maxIdleWorkerConnectionTime = absl::Seconds(60);

struct WorkerPort {
    /** The port that the leader's service uses calls back on the control thread. */
    std::function<void(const execution::WorkerCall &call, std::function<void(execution::WorkerAnswer)> done)> call;
};

struct AdvicePort {
    std::function<void(const work::AdviceCallT &call, std::function<void(execution::AdviceAnswer)> done)> request;
};

} // namespace paddlepier::cluster

#endif
