// Timeout after which a follower regards an unresponsive leader as lost.
//
// The minimum is a setting. An overloaded leader sends its messages late; replacing it would move its load, plus that
// of an election, to another replica. The timeout is therefore a multiple of the longest gap between two messages of
// this leader that was observed recently, up to a bound. It affects only when the follower starts an election: the
// follower's promise to the leader, on which the leader lease is based, remains the minimum.
//
// Thread safety: none; owned by a replica.

#ifndef PADDLEPIER_CONSENSUS_LEADERTIMEOUT_H
#define PADDLEPIER_CONSENSUS_LEADERTIMEOUT_H

#include "paddlepier/base/clock.h"

namespace paddlepier::consensus
{

class LeaderTimeout
{
public:
    /** @param minimum  the timeout while messages arrive in time */
    explicit LeaderTimeout(Duration minimum);

    /** Records the time between two messages of the same leader. */
    void recordGap(Duration gap);
    /** Discards the observed gaps, which say nothing about a new leader. */
    void reset();

    /** The current timeout. */
    Duration current() const;

private:
    const Duration minTimeout;
    /** The longest observed gap, decayed a little with each message since. */
    Duration longestGap = absl::ZeroDuration();
};

} // namespace paddlepier::consensus

#endif
