// Answers of calls to workers that got no complete response.
//
// Example:
//     if (!result.isComplete) {
//         return done(incompleteAnswer(call.worker, result));
//     }
//
// Thread safety: free functions without state. Cost: O(1).

#ifndef PADDLEPIER_CLUSTER_TRANSFERANSWER_H
#define PADDLEPIER_CLUSTER_TRANSFERANSWER_H

#include "paddlepier/execution/orders.h"
#include "paddlepier/http/httpclient.h"

namespace paddlepier::cluster
{

/** NotSent or NoAnswer, with how far the call got. Logs a connection that the worker has refused. */
execution::WorkerAnswer incompleteAnswer(const workload::Incarnation &worker, const http::TransferResult &result);

} // namespace paddlepier::cluster

#endif
