// Executes polls for the leader, and repeats those of idle workers until something changes.
//
// Most workers of a large cell are idle, and their answers contain nothing new for the leader. The relay of such a
// worker's poll repeats it for as long as the order allows, and answers once something has changed: a run, an end,
// another incarnation, a refusal or no answer at all. The leader's cost for an idle worker then depends on the length
// of a watch, not on the poll interval.
//
// Guarantees:
//  - a poll is repeated only while the instance that ordered it is known to lead, and never beyond the time that the
//    order allows;
//  - a newer poll of the same incarnation ends the watch: the leader has abandoned it;
//  - ends are acknowledged again only right after an answer, as by the leader itself: a new incarnation numbers its
//    ends anew, and would discard its own for an old number.
//
// Example:
//     WorkerWatch watch(hooks);
//     watch.poll("core-1", call, done);
//
// Thread safety: none; owned by the control thread, on which callbacks run. Cost: O(log watched workers) an answer.

#ifndef PADDLEPIER_CLUSTER_WORKERWATCH_H
#define PADDLEPIER_CLUSTER_WORKERWATCH_H

#include "paddlepier/base/clock.h"
#include "paddlepier/execution/orders.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace paddlepier::cluster
{

/** Functions of the process that a watch uses. */
struct WatchHooks {
    using Answered = std::function<void(Timestamp answeredAt, const execution::WorkerAnswer &answer)>;
    /** Calls back once, on the control thread. */
    std::function<void(const execution::WorkerCall &call, Answered done)> call;
    /** True if, as far as this process knows, the instance leads and may rely on this one. */
    std::function<bool(const std::string &leader)> isServing;
    std::function<Timestamp()> now;
};

class WorkerWatch
{
public:
    using Done = std::function<void(const execution::WorkerAnswer &answer)>;

    explicit WorkerWatch(WatchHooks watchHooks);

    /** @param call  must contain a PollOrder */
    void poll(const std::string &leader, const execution::WorkerCall &call, Done done);
    /** Number of incarnations with a pending poll. */
    std::size_t size() const;

private:
    struct Watch {
        std::string leader;
        execution::WorkerCall call;
        execution::PollOrder order;
        Done done;
        Timestamp expiresAt;
        std::uint64_t number = 0;
        /** The latest reading of the worker's clock. */
        std::optional<std::int64_t> clockMillis;
    };

    void sendPoll(const std::shared_ptr<Watch> &watch);
    void handleAnswer(const std::shared_ptr<Watch> &watch, Timestamp answeredAt, const execution::WorkerAnswer &answer);
    bool shouldRepeat(const Watch &watch, const execution::WorkerAnswer &answer) const;
    /** True if this process has no newer pending poll of the same incarnation. */
    bool isNewest(const Watch &watch) const;

    const WatchHooks hooks;
    /** Number of the newest pending poll of each incarnation. */
    std::map<workload::Incarnation, std::uint64_t> newest;
    std::uint64_t nextNumber = 1;
};

} // namespace paddlepier::cluster

#endif
