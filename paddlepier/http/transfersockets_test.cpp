// Waking the thread that waits for sockets.
//
// Symptom: a process that carries orders, or asks for advice, answers up to half a second late for good; the leader takes it to be
// silent. Sequence: a call of wake() comes between the end of a wait and the reading of its descriptor; its mark stays while what it
// has written is read; every later call finds the mark and writes nothing. What settled it: the client's thread waited its whole
// patience each time, with work posted meanwhile.

#include "paddlepier/http/transfersockets.h"

#include "testing/harness.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace paddlepier::http
{

TEST_CASE("wake_whileAWaitEnds_leavesLaterCallsTheirEffect")
{
    constexpr int calls = 200'000;
    constexpr int checked = 20;
    TransferSockets sockets;
    std::atomic<bool> isOver{false};
    std::atomic<int> waits{0};
    std::thread waiter([&] {
        while (!isOver) {
            sockets.wait(absl::Seconds(2));
            ++waits;
        }
    });
    for (int call = 0; call < calls; ++call) {
        sockets.wake();
    }
    absl::SleepFor(absl::Milliseconds(50));
    int lost = 0;
    for (int call = 0; call < checked && lost == 0; ++call) {
        const int before = waits;
        sockets.wake();
        lost += testing::waitUntil([&] { return waits > before; }, absl::Seconds(1)) ? 0 : 1;
        absl::SleepFor(absl::Milliseconds(2));
    }
    isOver = true;
    sockets.wake();
    waiter.join();
    CHECK(lost == 0);
}

} // namespace paddlepier::http
