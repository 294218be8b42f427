// How long a follower waits for a leader that has fallen silent.
//
// The least silence is a setting. A leader whose process is overloaded sends later than it means to; to unseat it would
// hand its load, and that of an election, to another one. So the wait is a multiple of the longest pause that was seen a short
// while ago between two messages of this leader, up to a bound. Only the follower's own wait grows: what it has promised
// to the leader, on which the leader's lease rests, stays the least silence.
//
// Thread safety: none; owned by a replica.

#ifndef PADDLEPIER_CONSENSUS_LEADERTIMEOUT_H
#define PADDLEPIER_CONSENSUS_LEADERTIMEOUT_H

#include "paddlepier/base/clock.h"

namespace paddlepier::consensus
{

class LeaderPatience
{
public:
    /** @param least the wait while messages come in time */
    explicit LeaderPatience(Duration least);

    /** Two messages of one leader came @p pause apart. */
    void notePause(Duration pause);
    /** Another leader: what was seen of the last one says nothing about it. */
    void forget();

    /** Shortest silence after which the leader is taken to be gone. */
    Duration silence() const;

private:
    const Duration least;
    /** The longest pause seen, less a little with each message since. */
    Duration longestPause = absl::ZeroDuration();
};

} // namespace paddlepier::consensus

#endif
