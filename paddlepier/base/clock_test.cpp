// Control time on a machine that was suspended.
//
// Guards against a lease that outlives its validity: CLOCK_MONOTONIC does not count a suspension, so that a leader or lease holder that
// measured with it would keep using a lease that has expired on all other machines. The time since boot counts the suspension.

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

/** Whether control time is ahead of the steady clock by the time of the suspension. */
bool countsSuspension()
{
    const Duration steady = absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
    return controlNow() - absl::UnixEpoch() - steady > absl::Seconds(offsetSeconds / 2);
}

/** Runs countsSuspension() in a time namespace that makes the machine appear to have been suspended. */
int checkInNamespace()
{
    if (unshare(CLONE_NEWUSER | CLONE_NEWTIME) != 0) {
        return 2;
    }
    std::ofstream("/proc/self/timens_offsets") << "boottime " << offsetSeconds << " 0" << std::endl;
    // A new time namespace applies to children, not to the calling process.
    const pid_t child = fork();
    if (child == 0) {
        _exit(countsSuspension() ? 0 : 1);
    }
    int status = 0;
    waitpid(child, &status, 0);
    return WEXITSTATUS(status);
}

} // namespace

TEST_CASE("controlTime_afterASuspension_includesIt")
{
    const pid_t child = fork();
    if (child == 0) {
        _exit(checkInNamespace());
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    REQUIRE(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
}

TEST_CASE("suspensionDetector_afterASuspension_reportsItOnce")
{
    SuspensionDetector watch(absl::Seconds(40));
    CHECK(watch.update(absl::Seconds(40) + absl::Microseconds(300)) == absl::ZeroDuration());
    CHECK(watch.update(absl::Seconds(43)) == absl::Seconds(3));
    CHECK(watch.update(absl::Seconds(43)) == absl::ZeroDuration());
}

} // namespace paddlepier
