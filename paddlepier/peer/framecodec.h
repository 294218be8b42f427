// Encoding of frames: a length of four bytes in network byte order, followed by a serialized PeerFrame.
//
// Example:
//     buffer += encodeFrame(frame);
//     std::size_t offset = 0;
//     while (const std::optional<std::string> body = extractFrameBody(buffer, offset, maxBytes)) { ... }
//     buffer.erase(0, offset);
//
// Thread safety: free functions without state. Cost: O(bytes).

#ifndef PADDLEPIER_PEER_FRAMECODEC_H
#define PADDLEPIER_PEER_FRAMECODEC_H

#include "paddlepier/wire/peer_generated.h"

#include <cstddef>
#include <optional>
#include <string>

namespace paddlepier::peer
{

/** Version of the frame format; instances reject connections from peers with another version. */
constexpr std::uint32_t protocolVersion = 1;

std::string encodeFrame(const wire::PeerFrameT &frame);

/** Encodes the first frame of a connection, which identifies and authenticates the sender. */
std::string encodeHello(const std::string &instance, const std::string &cellKey);

/**
 * Returns the body of the frame at @p offset of @p buffer and advances @p offset past the frame; empty while the frame is incomplete.
 *
 * @throws FrameTooLargeError if the frame's length field exceeds @p maxBytes
 */
std::optional<std::string> extractFrameBody(const std::string &buffer, std::size_t &offset, std::size_t maxBytes);

/** Compares keys in a time that is independent of the position of the first difference, against timing attacks. */
bool constantTimeEquals(const std::string &left, const std::string &right);

} // namespace paddlepier::peer

#endif
