// Detects suspensions of the machine.
//
// Control time includes suspensions, so that leases age during them. Afterwards all pending requests time out at once, and the log has to
// show the reason. The detector compares the total suspended time of the machine with the total at its previous update.
//
// Example:
//     SuspensionReporter reporter(counters);
//     reporter.check(); // in each step of the control thread
//
// Thread safety: none; owned by the control thread. Cost: two clock reads per check().

#ifndef PADDLEPIER_BASE_SUSPENSION_H
#define PADDLEPIER_BASE_SUSPENSION_H

#include "paddlepier/base/clock.h"
#include "paddlepier/base/counters.h"

namespace paddlepier
{

class SuspensionDetector
{
public:
    explicit SuspensionDetector(Duration total)
        : lastTotal(total)
    {
    }

    /** @return the time for which the machine was suspended since the previous update; zero if it wasn't */
    Duration update(Duration total)
    {
        // The two clocks behind the total are not read at the same instant, which makes small differences meaningless.
        constexpr Duration minSuspension = absl::Milliseconds(20);
        const Duration suspended = total - this->lastTotal;
        if (suspended < minSuspension) {
            return absl::ZeroDuration();
        }
        this->lastTotal = total;
        return suspended;
    }

private:
    Duration lastTotal;
};

/** Logs and counts suspensions of the machine. */
class SuspensionReporter
{
public:
    explicit SuspensionReporter(Counters &counters);

    /** Reports a suspension since the previous call. */
    void check();

private:
    SuspensionDetector detector;
    Counter &suspensions;
};

} // namespace paddlepier

#endif
