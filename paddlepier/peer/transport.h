// Frames between entry instances over TCP.
//
// Every instance keeps one outgoing connection to each peer and sends over that alone; what peers send comes in over
// theirs. The first frame of a connection is a Hello with protocol version, cell key and instance name; a connection
// that says anything else first is closed. Frames are length-prefixed FlatBuffers and bounded in size; what waits for a
// peer is bounded too, and a frame beyond that is dropped: the protocols above expect loss.
//
// Example:
//     Transport transport(settings, counters, [](wire::PeerFrameT frame) { ... });
//     transport.send("atlanta-1-b", frame);
//
// Thread safety: send() from any thread; the receiver is called on the transport's own thread.

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

/** Bytes that may wait for one peer. */
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

    /** Sends or drops a frame; never waits. */
    void send(const std::string &instance, const wire::PeerFrameT &frame);

    /** Closes everything; nothing is received afterwards. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace paddlepier::peer

#endif
