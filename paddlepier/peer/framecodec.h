// Frames as bytes: a length of four bytes in network order, and a packed PeerFrame.
//
// Example:
//     buffer += toFrameBytes(frame);
//     std::size_t offset = 0;
//     while (const std::optional<std::string> body = takeFrameBody(buffer, offset, mostBytes)) { ... }
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

/** Version of the frames; instances of different versions refuse each other. */
constexpr std::uint32_t protocolVersion = 1;

std::string encodeFrame(const wire::PeerFrameT &frame);

/** The first frame of a connection: who it comes from. */
std::string encodeHello(const std::string &instance, const std::string &cellKey);

/**
 * The body of the frame at @p offset of @p buffer, which is then moved behind it; nothing while the frame isn't whole.
 *
 * @throws FrameTooLargeError if the frame says that it is longer than @p mostBytes
 */
std::optional<std::string> extractFrameBody(const std::string &buffer, std::size_t &offset, std::size_t mostBytes);

/** Compares in time that doesn't depend on where the two differ. */
bool constantTimeEquals(const std::string &left, const std::string &right);

} // namespace paddlepier::peer

#endif
