// Carries polls out for the leader, and repeats those of idle workers until one of them changes.
//
// Most workers of a large cell run nothing, and their answers tell the leader nothing. The instance that carries the poll of such a
// worker repeats it by itself, for as long as the order allows, and answers once something has changed: a run, an end, another life, a refusal or
// no answer at all. What an idle worker costs the leader follows from the length of a watch then, not from the pace of its polls.
//
// Guarantees:
//  - a poll is repeated only while the instance that ordered it is known to lead, and never beyond the time that the order allows;
//  - a newer poll of the same life ends the watch: the leader has given it up;
//  - ends are acknowledged again only right after an answer, as by the leader itself: another life would forget its own by these numbers.
//
// Example:
//     WorkerWatch watch(ways);
//     watch.poll("core-1", call, done);
//
// Thread safety: none; owned by the control thread, which calls back. Cost: O(log watched workers) an answer.

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

/** What a watch needs of its process. */
struct WatchHooks {
    using Answered = std::function<void(Timestamp answeredAt, const execution::WorkerAnswer &answer)>;
    /** Calls back once, on the control thread. */
    std::function<void(const execution::WorkerCall &call, Answered done)> call;
    /** The instance leads, as far as is known here, and may count on this one. */
    std::function<bool(const std::string &leader)> isServing;
    std::function<Timestamp()> now;
};

class WorkerWatch
{
public:
    using Done = std::function<void(const execution::WorkerAnswer &answer)>;

    explicit WorkerWatch(WatchHooks watchWays);

    /** @param call  holds a PollOrder */
    void poll(const std::string &leader, const execution::WorkerCall &call, Done done);
    /** Workers whose polls are under way here. */
    std::size_t size() const;

private:
    struct Watch {
        std::string leader;
        execution::WorkerCall call;
        execution::PollOrder order;
        Done done;
        Timestamp expiresAt;
        std::uint64_t number = 0;
        /** The greatest reading of the worker's clock so far. */
        std::optional<std::int64_t> clockMillis;
    };

    void sendPoll(const std::shared_ptr<Watch> &watch);
    void handleAnswer(const std::shared_ptr<Watch> &watch, Timestamp answeredAt, const execution::WorkerAnswer &answer);
    bool shouldRepeat(const Watch &watch, const execution::WorkerAnswer &answer) const;
    /** No newer poll of the same life is under way here. */
    bool isNewest(const Watch &watch) const;

    const WatchHooks hooks;
    /** Number of the newest poll of each life that is under way. */
    std::map<workload::Incarnation, std::uint64_t> newest;
    std::uint64_t nextNumber = 1;
};

} // namespace paddlepier::cluster

#endif
