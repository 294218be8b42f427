// How long a follower waits for a leader that has fallen silent.

#include "paddlepier/consensus/leadertimeout.h"

#include <algorithm>

namespace paddlepier::consensus
{

namespace
{

/** Pauses of the longest kind that a leader may miss: with three, one lost message doesn't unseat it. */
constexpr int pausesMissed = 3;

/** Bound of the wait, in least silences: a leader that is really gone is missed for at most this long. */
constexpr int mostSilences = 4;

/** What a message leaves of the longest pause: with some 13 heartbeats a second it halves in about two seconds. */
constexpr double kept = 0.975;

} // namespace

LeaderPatience::LeaderPatience(Duration leastSilence)
    : least(leastSilence)
{
}

void LeaderPatience::notePause(Duration pause)
{
    // A follower that stood still itself sees a pause of any length: beyond the bound it would only be remembered for longer.
    const Duration counted = std::min(pause, this->least * mostSilences / pausesMissed);
    this->longestPause = std::max(counted, this->longestPause * kept);
}

void LeaderPatience::forget()
{
    this->longestPause = absl::ZeroDuration();
}

Duration LeaderPatience::silence() const
{
    return std::clamp(pausesMissed * this->longestPause, this->least, mostSilences * this->least);
}

} // namespace paddlepier::consensus
