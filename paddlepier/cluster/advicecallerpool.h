// Distributes requests to the policy service over the instances that can call it.
//
// The service handles one call at a time from each caller, so that a request queues behind earlier ones of the same
// caller. Long requests are kept off some of the callers, so that short requests don't queue behind them.
//
// Thread safety: none; owned by the control thread. Cost: assignCaller() is O(callers).

#ifndef PADDLEPIER_CLUSTER_ADVICECALLERPOOL_H
#define PADDLEPIER_CLUSTER_ADVICECALLERPOOL_H

#include "paddlepier/base/clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace paddlepier::cluster
{

struct AssignedCaller {
    /** Empty if no caller is available. */
    std::string instance;
    /** When the answer is expected, including the time of requests queued before it. */
    Timestamp expectedAt;
};

class AdviceCallerPool
{
public:
    void markAlive(Timestamp now, const std::string &instance);
    /**
     * Picks the caller on which a request of this cost ends first, and books the time there. The result is empty if the request would queue
     * behind others for too long on every caller: an answer that comes too late only delays the next request.
     */
    AssignedCaller assignCaller(Timestamp now, Duration cost);
    /** Number of callers that accept a long request now. */
    std::size_t availableForLong(Timestamp now) const;
    /** Time of the policy service that is available to short requests without long queueing, summed over all callers. */
    Duration timeAvailableForShort(Timestamp now) const;
    /** Corrects the caller's expected time after a request ended earlier or later than expected. */
    void recordCompletion(Timestamp now, const std::string &instance, Duration cost);
    /** Excludes a caller that left a request unanswered from new requests for a while. */
    void recordFailure(Timestamp now, const std::string &instance);

private:
    struct Caller {
        Timestamp lastSeenAt;
        Timestamp busyUntil = absl::InfinitePast();
        Timestamp avoidedUntil = absl::InfinitePast();
        int inFlight = 0;
    };

    /** Calls @p visit(name, caller) for each caller that accepts a request now. */
    template<typename Visit>
    void forEachAvailable(Timestamp now, bool isLong, Visit visit) const;

    std::map<std::string, Caller> callers;
};

} // namespace paddlepier::cluster

#endif
