// Timeout after which a follower regards an unresponsive leader as lost.

#include "paddlepier/consensus/leadertimeout.h"

#include <algorithm>

namespace paddlepier::consensus
{

namespace
{

/** Number of longest gaps that the timeout covers: with three, one lost message doesn't cause an election. */
constexpr int toleratedGaps = 3;

/** Upper bound of the timeout as a multiple of the minimum: it limits how long the loss of a leader goes unnoticed. */
constexpr int maxTimeoutFactor = 4;

/** Decay of the longest gap with each message: with some 13 heartbeats a second it halves in about two seconds. */
constexpr double gapDecay = 0.975;

} // namespace

LeaderTimeout::LeaderTimeout(Duration minimum)
    : minTimeout(minimum)
{
}

void LeaderTimeout::recordGap(Duration gap)
{
    // A follower that was suspended itself observes an arbitrarily long gap. A gap above the bound would only take longer to decay.
    const Duration counted = std::min(gap, this->minTimeout * maxTimeoutFactor / toleratedGaps);
    this->longestGap = std::max(counted, this->longestGap * gapDecay);
}

void LeaderTimeout::reset()
{
    this->longestGap = absl::ZeroDuration();
}

Duration LeaderTimeout::current() const
{
    return std::clamp(toleratedGaps * this->longestGap, this->minTimeout, maxTimeoutFactor * this->minTimeout);
}

} // namespace paddlepier::consensus
