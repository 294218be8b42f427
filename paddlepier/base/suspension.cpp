// Notices that the machine was suspended.

#include "paddlepier/base/suspension.h"

#include "paddlepier/base/log.h"

namespace paddlepier
{

SuspensionReport::SuspensionReport(Counters &counters)
    : watch(suspendedInAll())
    , suspensions(counters.counter("machine_suspensions_total"))
{
}

void SuspensionReport::look()
{
    const Duration suspended = this->watch.note(suspendedInAll());
    if (suspended > absl::ZeroDuration()) {
        this->suspensions.add();
        log::warning("clock", "machine.suspended", {{"millis", absl::ToInt64Milliseconds(suspended)}});
    }
}

} // namespace paddlepier
