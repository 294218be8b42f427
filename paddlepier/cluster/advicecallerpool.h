// Distributes requests to the policy service over the instances that can call it.
//
// The service handles one call at a time from each caller, so that a request queues behind earlier ones of the same
// caller. Long requests are kept off some of the callers, so that short requests don't queue behind them.
//
// Callers differ: one with a small share of a processor, or behind a slow link, answers later than the service did. The
// pool measures this overhead for short and long requests separately, and prefers callers with little of it. Callers
// whose expected ends differ by less than a tolerance are used in turn. A measurement loses weight with its age, so that
// a slow caller is tried again after some tens of seconds.
//
// Example:
//     const AssignedCaller assigned = pool.assignCaller(now, cost);
//     // send the request through assigned.instance, then
//     pool.recordAnswer(now, assigned);
//
// Thread safety: none; owned by the control thread. Cost: O(callers) each, assignCaller() and availableForLong() O(callers x log callers).

#ifndef PADDLEPIER_CLUSTER_ADVICECALLERPOOL_H
#define PADDLEPIER_CLUSTER_ADVICECALLERPOOL_H

#include "paddlepier/base/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace paddlepier::cluster
{

struct AssignedCaller {
    /** Empty if no caller is available. */
    std::string instance;
    /** When the service is expected to be done, including the time of requests queued before it, but no overhead. */
    Timestamp expectedAt;
    bool isLong = false;
};

class AdviceCallerPool
{
public:
    void markAlive(Timestamp now, const std::string &instance);
    /**
     * Picks the caller through which a request of this cost is answered first, and books the time there. The result is empty if the request
     * would queue behind others for too long on every caller: an answer that comes too late only delays the next request.
     */
    AssignedCaller assignCaller(Timestamp now, Duration cost);
    /** Number of callers that accept a long request now. */
    std::size_t availableForLong(Timestamp now) const;
    /** Time of the policy service that is available to short requests without long queueing, summed over all callers. */
    Duration timeAvailableForShort(Timestamp now) const;
    /** Ends the request and learns its overhead. @return the overhead */
    Duration recordAnswer(Timestamp now, const AssignedCaller &assigned);
    /** Ends a request that got no answer. Excludes its caller from new requests for a while, and counts as an answer with large overhead. */
    void recordFailure(Timestamp now, const AssignedCaller &assigned);
    /** Expected overhead of a request through @p instance: zero if nothing was measured recently. */
    Duration overheadOf(Timestamp now, const std::string &instance, bool isLong) const;

private:
    /** Exponentially weighted overhead of a caller's answers. */
    struct Overhead {
        Duration mean;
        Timestamp measuredAt = absl::InfinitePast();
    };
    struct Caller {
        Timestamp lastSeenAt;
        Timestamp busyUntil = absl::InfinitePast();
        Timestamp avoidedUntil = absl::InfinitePast();
        int inFlight = 0;
        int longInFlight = 0;
        /** Number of the last request assigned to it; 0 if there was none. */
        std::uint64_t lastRequest = 0;
        Overhead shortOverhead;
        Overhead longOverhead;
    };
    using NamedCaller = std::pair<const std::string, Caller>;

    static Duration expectedOverhead(Timestamp now, const Caller &caller, bool isLong);
    static Timestamp queueEnd(Timestamp now, const Caller &caller);
    /** The callers that accept a request now. */
    std::vector<const NamedCaller *> findAvailable(Timestamp now, bool isLong) const;
    Caller &endRequest(Timestamp now, const AssignedCaller &assigned, Duration overhead);

    std::map<std::string, Caller> callers;
    std::uint64_t requests = 0;
};

} // namespace paddlepier::cluster

#endif
