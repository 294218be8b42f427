// Detects suspensions of the machine.

#include "paddlepier/base/suspension.h"

#include "paddlepier/base/log.h"

namespace paddlepier
{

SuspensionReporter::SuspensionReporter(Counters &counters)
    : detector(totalSuspendedTime())
    , suspensions(counters.counter("machine_suspensions_total"))
{
}

void SuspensionReporter::check()
{
    const Duration suspended = this->detector.update(totalSuspendedTime());
    if (suspended > absl::ZeroDuration()) {
        this->suspensions.add();
        log::warning("clock", "machine.suspended", {{"millis", absl::ToInt64Milliseconds(suspended)}});
    }
}

} // namespace paddlepier
