// Encodes orders to workers, and their answers, as messages between core instances.
//
// Example:
//     const std::string body = wire::pack(encodeRelayCall(call));
//     const execution::WorkerCall same = decodeRelayCall(wire::unpack<work::CarryCallT>(body));
//
// Thread safety: free functions without state. Cost: O(runs and ends listed).

#ifndef PADDLEPIER_CLUSTER_RELAYCODEC_H
#define PADDLEPIER_CLUSTER_RELAYCODEC_H

#include "paddlepier/execution/orders.h"
#include "paddlepier/wire/workload_generated.h"

namespace paddlepier::cluster
{

work::CarryCallT encodeRelayCall(const execution::WorkerCall &call);

/** The id of the call isn't transmitted. @throws InvalidArgumentError if the message contains no order or a task is missing */
execution::WorkerCall decodeRelayCall(const work::CarryCallT &call);

work::CarryReplyT encodeRelayReply(const execution::WorkerAnswer &answer);

/** @throws InvalidArgumentError if the kind of the answer is unknown */
execution::WorkerAnswer decodeRelayReply(const work::CarryReplyT &reply);

} // namespace paddlepier::cluster

#endif
