// Waking the thread that waits for socket events.
//
// Guards against a lost wakeup: wake() is called between the end of a wait and the read of its eventfd, which consumes the write while the flag
// stays set. All later calls then find the flag set and write nothing, so that every wait lasts its full timeout. The process relays orders and
// requests advice up to half a second late from then on, and the leader takes it for unresponsive.

#include "paddlepier/http/transfersockets.h"

#include "testing/harness.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace paddlepier::http
{

TEST_CASE("wake_concurrentWithEndOfWait_doesNotDisableLaterCalls")
{
    constexpr int wakeCalls = 200'000;
    constexpr int checkedCalls = 20;
    TransferSockets sockets;
    std::atomic<bool> isStopped{false};
    std::atomic<int> waits{0};
    std::thread waiter([&] {
        while (!isStopped) {
            sockets.wait(absl::Seconds(2));
            ++waits;
        }
    });
    for (int call = 0; call < wakeCalls; ++call) {
        sockets.wake();
    }
    absl::SleepFor(absl::Milliseconds(50));
    int lost = 0;
    for (int call = 0; call < checkedCalls && lost == 0; ++call) {
        const int before = waits;
        sockets.wake();
        lost += testing::waitUntil([&] { return waits > before; }, absl::Seconds(1)) ? 0 : 1;
        absl::SleepFor(absl::Milliseconds(2));
    }
    isStopped = true;
    sockets.wake();
    waiter.join();
    CHECK(lost == 0);
}

} // namespace paddlepier::http
