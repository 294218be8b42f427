// Notices a leader that leads and yet can't serve.
//
// A leader serves while a majority has confirmed it a moment ago, as it reads their confirmations. One whose process is so slow that
// it always reads them too late is kept by its followers, which hear from it, and answers nobody; it is better to let another lead.
//
// Example:
//     if (watch.note(now, leads, serves)) { node.handOver(now); }
//
// Thread safety: none; owned by the control thread.

#ifndef PADDLEPIER_CLUSTER_SERVINGWATCHDOG_H
#define PADDLEPIER_CLUSTER_SERVINGWATCHDOG_H

#include "paddlepier/base/clock.h"

namespace paddlepier::cluster
{

/** Longer than an election and the first commit of a term; callers wait for about twice that. */
constexpr Duration mostTimeWithoutServing = absl::Milliseconds(1500);

class ServingWatch
{
public:
    /** @return true if leadership is to be handed over; then not again before as much time has passed once more */
    bool note(Timestamp now, bool leads, bool serves)
    {
        if (!leads || serves) {
            this->servedAt = now;
            return false;
        }
        if (now - this->servedAt < mostTimeWithoutServing) {
            return false;
        }
        this->servedAt = now;
        return true;
    }

private:
    /** When it last served, or didn't lead. */
    Timestamp servedAt = absl::InfiniteFuture();
};

} // namespace paddlepier::cluster

#endif
