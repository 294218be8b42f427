// Slows filling runs down where they disturb serving ones.

#include "paddlepier/execution/pacecontrol.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** Shares of the target: the figures are rough, and a run may be over its target for four seconds at most. */
constexpr double nearTarget = 0.85;
constexpr double farOverTarget = 1.15;
constexpr double wellBelowTarget = 0.6;

/** A figure covers the last half second; a change shows in it after that. */
constexpr Duration changePause = absl::Milliseconds(600);

constexpr std::uint32_t raise = 15;
/** Below this share a run does little but disturb. */
constexpr std::uint32_t leastPace = 12;
constexpr std::uint32_t fullPace = 100;

} // namespace

std::uint32_t PaceControl::update(Timestamp now, const std::vector<ServingLoad> &serving)
{
    double worst = 0;
    for (const ServingLoad &load : serving) {
        if (load.targetMillis > 0) {
            worst = std::max(worst, static_cast<double>(load.tailMillis) / load.targetMillis);
        }
    }
    if (now < this->nextChange) {
        return this->currentPace;
    }
    const std::uint32_t before = this->currentPace;
    if (worst > farOverTarget) {
        this->currentPace = this->currentPace / 4;
    } else if (worst > nearTarget) {
        this->currentPace = this->currentPace * 6 / 10;
    } else if (worst < wellBelowTarget) {
        this->currentPace = std::min(fullPace, std::max(leastPace, this->currentPace) + raise);
    }
    this->currentPace = this->currentPace < leastPace ? 0 : this->currentPace;
    if (this->currentPace != before) {
        this->nextChange = now + changePause;
    }
    if (this->currentPace > 0) {
        this->stoppedAt = absl::InfiniteFuture();
    } else if (before > 0) {
        this->stoppedAt = now;
    }
    return this->currentPace;
}

std::uint32_t PaceControl::pace() const
{
    return this->currentPace;
}

Timestamp PaceControl::stoppedSince() const
{
    return this->stoppedAt;
}

} // namespace paddlepier::execution
