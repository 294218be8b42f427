// The clock that promises rest on, on a machine that is suspended.
//
// A machine may be suspended for seconds, and its steady clock doesn't count them: a leader, or the holder of a lease, would take
// its own for young although all others had waited it out. The time since boot counts them.

#include "paddlepier/base/clock.h"
#include "paddlepier/base/suspension.h"

#include <catch2/catch.hpp>

#include <sched.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>

namespace paddlepier
{

namespace
{

constexpr std::int64_t offsetSeconds = 1000;

/** Control time is ahead of the steady clock by what the machine was suspended for. */
bool countsSuspension()
{
    const Duration steady = absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
    return controlNow() - absl::UnixEpoch() - steady > absl::Seconds(offsetSeconds / 2);
}

/** Enters a time namespace in which the machine looks as if it had been suspended, and asks there. */
int askInChild()
{
    if (unshare(CLONE_NEWUSER | CLONE_NEWTIME) != 0) {
        return 2;
    }
    std::ofstream("/proc/self/timens_offsets") << "boottime " << offsetSeconds << " 0" << std::endl;
    // Only children are in the namespace.
    const pid_t child = fork();
    if (child == 0) {
        _exit(countsSuspension() ? 0 : 1);
    }
    int status = 0;
    waitpid(child, &status, 0);
    return WEXITSTATUS(status);
}

} // namespace

TEST_CASE("controlTime_onAMachineThatWasSuspended_countsThatTime")
{
    const pid_t child = fork();
    if (child == 0) {
        _exit(askInChild());
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("suspensionWatch_afterASuspension_tellsItOnce")
{
    SuspensionDetector watch(absl::Seconds(40));
    CHECK(watch.update(absl::Seconds(40) + absl::Microseconds(300)) == absl::ZeroDuration());
    CHECK(watch.update(absl::Seconds(43)) == absl::Seconds(3));
    CHECK(watch.update(absl::Seconds(43)) == absl::ZeroDuration());
}

} // namespace paddlepier
