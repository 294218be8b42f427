// Throttles filling runs that interfere with serving runs on the same worker.

#include "paddlepier/execution/pacecontrol.h"

#include <algorithm>

namespace paddlepier::execution
{

namespace
{

/** Shares of the target. The latency figures are rough, and a run may exceed its target for four seconds at most. */
constexpr double nearTarget = 0.85;
constexpr double farOverTarget = 1.15;
constexpr double wellBelowTarget = 0.6;

/** A latency figure covers the last half second, so that a change of speed shows only after that. */
constexpr Duration minChangeInterval = absl::Milliseconds(600);

constexpr std::uint32_t paceStep = 15;
/** Below this share a run makes little progress and still interferes. */
constexpr std::uint32_t minPace = 12;
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
        this->currentPace = std::min(fullPace, std::max(minPace, this->currentPace) + paceStep);
    }
    this->currentPace = this->currentPace < minPace ? 0 : this->currentPace;
    if (this->currentPace != before) {
        this->nextChange = now + minChangeInterval;
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
