// Detects a leader that can't serve calls.
//
// A leader serves while a majority has recently confirmed it and its entries are committed. If its process is so slow
// that it always reads the confirmations too late, or if its followers answer heartbeats but store no entries, the
// followers don't replace it, although calls aren't completed. It should transfer the leadership then.
//
// Example:
//     if (watchdog.update(now, leads, serves)) { node.transferLeadership(now); }
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_REPLICATION_SERVINGWATCHDOG_H
#define PADDLEPIER_REPLICATION_SERVINGWATCHDOG_H

#include "paddlepier/base/clock.h"

namespace paddlepier::replication
{

/** Longer than an election and the first commit of a term; callers wait for about twice that. */
constexpr Duration maxTimeWithoutServing = absl::Milliseconds(1500);

class ServingWatchdog
{
public:
    /** @return true if leadership should be transferred; not again until the same time has passed once more */
    bool update(Timestamp now, bool leads, bool serves)
    {
        if (!leads || serves) {
            this->lastServedAt = now;
            return false;
        }
        if (now - this->lastServedAt < maxTimeWithoutServing) {
            return false;
        }
        this->lastServedAt = now;
        return true;
    }

private:
    /** When the replica last served, or wasn't leader. */
    Timestamp lastServedAt = absl::InfiniteFuture();
};

} // namespace paddlepier::replication

#endif
