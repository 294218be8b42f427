// Orders to workers and their answers as messages between core instances.
//
// Example:
//     const std::string body = wire::pack(toCarryCall(call));
//     const execution::WorkerCall same = fromCarryCall(wire::unpack<work::CarryCallT>(body));
//
// Thread safety: free functions without state. Cost: O(runs and ends listed).

#ifndef PADDLEPIER_CLUSTER_RELAYCODEC_H
#define PADDLEPIER_CLUSTER_RELAYCODEC_H

#include "paddlepier/execution/orders.h"
#include "paddlepier/wire/workload_generated.h"

namespace paddlepier::cluster
{

work::CarryCallT toCarryCall(const execution::WorkerCall &call);

/** The id of the call isn't carried. @throws InvalidArgumentError if there is no order in it */
execution::WorkerCall fromCarryCall(const work::CarryCallT &call);

work::CarryReplyT toCarryReply(const execution::WorkerAnswer &answer);

/** @throws InvalidArgumentError if the kind of the answer isn't known */
execution::WorkerAnswer fromCarryReply(const work::CarryReplyT &reply);

} // namespace paddlepier::cluster

#endif
