// Shares questions to the policy service out over the instances that can ask it.
//
// The service takes one call at a time from each caller, so that a question waits behind the earlier ones of the same
// caller. Long questions are kept off some of the callers, so that short ones need not wait behind them.
//
// Thread safety: none; owned by the control thread. choose() is O(callers).

#ifndef PADDLEPIER_CLUSTER_ADVICECALLERPOOL_H
#define PADDLEPIER_CLUSTER_ADVICECALLERPOOL_H

#include "paddlepier/base/clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace paddlepier::cluster
{

struct AdviceChoice {
    /** Empty if no caller is to be had. */
    std::string instance;
    /** When the answer is to be expected, the questions before it included. */
    Timestamp expectedAt;
};

class AdviceCallers
{
public:
    /** An instance has shown that it is there. */
    void noteAlive(Timestamp now, const std::string &instance);
    /**
     * Caller on which a question of this cost ends first; its time is taken there. Empty if it would wait for long behind
     * others on each of them: a question that is answered too late only delays the next.
     */
    AdviceChoice choose(Timestamp now, Duration cost);
    /** Callers that would take a long question now. */
    std::size_t freeForLong(Timestamp now) const;
    /** Time of the policy service that short questions may take now, without waiting for long, over all callers together. */
    Duration timeForShort(Timestamp now) const;
    /** A question has ended, early or late: corrects the caller's expected time. */
    void noteEnd(Timestamp now, const std::string &instance, Duration cost);
    /** A question wasn't answered: the caller gets no others for a while. */
    void noteFailure(Timestamp now, const std::string &instance);

private:
    struct Caller {
        Timestamp aliveAt;
        Timestamp busyUntil = absl::InfinitePast();
        Timestamp avoidedUntil = absl::InfinitePast();
        int underWay = 0;
    };

    /** Calls @p visit(name, caller) for each that would take a question now. */
    template<typename Visit>
    void visitFree(Timestamp now, bool isLong, Visit visit) const;

    std::map<std::string, Caller> callers;
};

} // namespace paddlepier::cluster

#endif
