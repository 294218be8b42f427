// Frames between two transports over loopback.

#include "paddlepier/peer/transport.h"

#include "testing/harness.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <catch2/catch.hpp>

#include <vector>

namespace paddlepier::peer
{

namespace
{

/** One instance sends to another, which processes no frame until `mayRead` is notified. */
class TransportFixture
{
public:
    TransportFixture()
        : receiver(settingsOf(this->receiverPort),
                   this->counters,
                   [this](wire::PeerFrameT frame) {
                       this->mayRead.WaitForNotification();
                       const absl::MutexLock lock(&this->mutex);
                       this->received.push_back(std::move(frame));
                   })
        , sender(settingsOf(testing::freePort()), this->counters, [](const wire::PeerFrameT &) {})
    {
    }

    static Settings settingsOf(std::uint16_t port)
    {
        Settings settings;
        settings.peer = {"127.0.0.1", port};
        settings.id = settings.peer.text();
        settings.cellKey = "key";
        settings.acceptsUnknownPeers = true;
        return settings;
    }

    void send(std::uint64_t id, std::size_t bytes)
    {
        wire::CallReplyT reply;
        reply.id = id;
        reply.body.assign(bytes, static_cast<std::uint8_t>(id));
        wire::PeerFrameT frame;
        frame.body.Set(std::move(reply));
        this->sender.send(settingsOf(this->receiverPort).id, frame);
    }

    bool hasReceived(std::size_t count)
    {
        const absl::MutexLock lock(&this->mutex);
        const auto hasAll = [this, count] { return this->received.size() >= count; };
        return this->mutex.AwaitWithTimeout(absl::Condition(&hasAll), absl::Seconds(20));
    }

    const std::uint16_t receiverPort = testing::freePort();
    Counters counters;
    absl::Notification mayRead;
    absl::Mutex mutex;
    std::vector<wire::PeerFrameT> received;
    Transport receiver;
    Transport sender;
};

} // namespace

TEST_CASE_METHOD(TransportFixture, "frames_queuedForSlowPeer_arriveCompleteAndInOrder")
{
    constexpr std::size_t frames = 24;
    constexpr std::size_t frameBytes = 1 << 20U;
    for (std::uint64_t id = 0; id < frames; ++id) {
        this->send(id, frameBytes);
    }
    this->mayRead.Notify();
    REQUIRE(this->hasReceived(frames));
    this->receiver.stop();
    for (std::uint64_t id = 0; id < frames; ++id) {
        const auto *reply = this->received[id].body.AsCallReply();
        REQUIRE(reply != nullptr);
        CHECK(reply->id == id);
        CHECK(reply->body == std::vector<std::uint8_t>(frameBytes, static_cast<std::uint8_t>(id)));
    }
}

} // namespace paddlepier::peer
