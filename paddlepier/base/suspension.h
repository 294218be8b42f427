// Notices that the machine was suspended.
//
// Control time counts a suspension, so that promises age with it; all that waited for an answer is late at once, though, and the
// lines of a process should say why. A watch compares how long the machine has been suspended in all with what it saw before.
//
// Example:
//     SuspensionReport report(counters);
//     report.look(); // in each step of the control thread
//
// Thread safety: none; owned by the control thread. Cost: two reads of a clock for each look.

#ifndef PADDLEPIER_BASE_SUSPENSION_H
#define PADDLEPIER_BASE_SUSPENSION_H

#include "paddlepier/base/clock.h"
#include "paddlepier/base/counters.h"

namespace paddlepier
{

class SuspensionDetector
{
public:
    explicit SuspensionDetector(Duration inAll)
        : lastTotal(inAll)
    {
    }

    /** @return how long the machine was suspended since the last look; zero if it wasn't */
    Duration update(Duration inAll)
    {
        // The two clocks are read one after the other.
        constexpr Duration noticeable = absl::Milliseconds(20);
        const Duration since = inAll - this->lastTotal;
        if (since < noticeable) {
            return absl::ZeroDuration();
        }
        this->lastTotal = inAll;
        return since;
    }

private:
    Duration lastTotal;
};

/** Writes a line, and counts, when the machine was suspended since the last look. */
class SuspensionReporter
{
public:
    explicit SuspensionReporter(Counters &counters);

    void check();

private:
    SuspensionDetector detector;
    Counter &suspensions;
};

} // namespace paddlepier

#endif
