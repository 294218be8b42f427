// Frames between entry instances over TCP.
//
// Each instance keeps one outgoing connection per peer and uses it only for sending; frames from a peer arrive over the peer's own outgoing
// connection. The first frame of a connection must be a Hello with protocol version, cell key and instance name; otherwise the connection is
// closed. Frames are length-prefixed FlatBuffers of limited size. The queue for each peer is limited too, and a frame that exceeds it is
// dropped: the protocols that use the transport tolerate loss.
//
// Example:
//     Transport transport(settings, counters, [](wire::PeerFrameT frame) { ... });
//     transport.send("atlanta-1-b", frame);
//
// Thread safety: send() may be called from any thread; the receiver is called on the transport's thread.

#ifndef PADDLEPIER_PEER_TRANSPORT_H
#define PADDLEPIER_PEER_TRANSPORT_H

#include "paddlepier/base/counters.h"
#include "paddlepier/settings/settings.h"
#include "paddlepier/wire/peer_generated.h"

#include <functional>
#include <memory>
#include <string>

namespace paddlepier::peer
{

constexpr std::size_t maxFrameBytes = 16U << 20U;

/** Limit on the bytes queued for one peer. */
constexpr std::size_t maxQueuedBytes = 32U << 20U;

class Transport
{
public:
    using Receiver = std::function<void(wire::PeerFrameT)>;

    /** @throws InvalidSettingsError if the address can't be listened on */
    Transport(const Settings &settings, Counters &counters, Receiver receiver);
    ~Transport();

    Transport(const Transport &) = delete;
    Transport &operator=(const Transport &) = delete;

    /** Queues a frame for sending, or drops it; never blocks. */
    void send(const std::string &instance, const wire::PeerFrameT &frame);

    /** Closes all connections; the receiver is not called afterwards. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace paddlepier::peer

#endif
