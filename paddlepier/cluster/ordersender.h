// Sends the orders of this process to workers: those of its own dispatcher, and those that it relays for the leader.
//
// An id may be used by one incarnation of a worker after the other, and what is sent to one may reach the next. It would discard its own ends by the
// acknowledgement of its predecessor's, so that they are never recorded and their tasks run again. The sender therefore allows acknowledgements only
// over connections that were established before the addressed incarnation was polled and then answered: its successor can't have accepted those.
//
// Example:
//     OrderSender sender(port, [this](std::function<void()> work) { this->postCompletion(std::move(work)); });
//     sender.send(call, [](Timestamp answeredAt, const execution::WorkerAnswer &answer) { ... });
//
// Thread safety: none; owned by the control thread, on which callbacks run. Cost: O(log incarnations) an order.

#ifndef PADDLEPIER_CLUSTER_ORDERSENDER_H
#define PADDLEPIER_CLUSTER_ORDERSENDER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/cluster/ports.h"
#include "paddlepier/workload/incarnation.h"

#include <functional>
#include <map>

namespace paddlepier::cluster
{

class OrderSender
{
public:
    using Done = std::function<void(Timestamp answeredAt, const execution::WorkerAnswer &answer)>;
    /** Runs its argument on the control thread; may be called from any thread. */
    using Post = std::function<void(std::function<void()> work)>;

    OrderSender(WorkerPort workerPort, Post postWork, std::function<Timestamp()> currentTime = &controlNow);

    void send(execution::WorkerCall call, Done done);

private:
    void recordListing(const workload::Incarnation &worker, Timestamp pollSentAt);

    const WorkerPort port;
    const Post post;
    const std::function<Timestamp()> now;
    /** When the newest poll that each incarnation has answered was sent. */
    std::map<workload::Incarnation, Timestamp> answeredPolls;
};

} // namespace paddlepier::cluster

#endif
