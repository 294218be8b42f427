// Encoding of frames.

#include "paddlepier/peer/framecodec.h"

#include "paddlepier/base/error.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <cstring>

namespace paddlepier::peer
{

namespace
{

constexpr std::size_t lengthBytes = sizeof(std::uint32_t);

} // namespace

std::string encodeFrame(const wire::PeerFrameT &frame)
{
    const std::string body = wire::pack(frame);
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(body.size()));
    std::string bytes(reinterpret_cast<const char *>(&length), lengthBytes);
    bytes += body;
    return bytes;
}

bool constantTimeEquals(const std::string &left, const std::string &right)
{
    unsigned char difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t index = 0; index < std::min(left.size(), right.size()); ++index) {
        difference |= static_cast<unsigned char>(left[index] ^ right[index]);
    }
    return difference == 0;
}

std::string encodeHello(const std::string &instance, const std::string &cellKey)
{
    wire::HelloT greeting;
    greeting.version = protocolVersion;
    greeting.key = cellKey;
    greeting.instance = instance;
    wire::PeerFrameT hello;
    hello.fromInstance = instance;
    hello.body.Set(std::move(greeting));
    return encodeFrame(hello);
}

std::optional<std::string> extractFrameBody(const std::string &buffer, std::size_t &offset, std::size_t maxBytes)
{
    if (buffer.size() - offset < lengthBytes) {
        return std::nullopt;
    }
    std::uint32_t length = 0;
    std::memcpy(&length, buffer.data() + offset, lengthBytes);
    length = ntohl(length);
    if (length > maxBytes) {
        throw FrameTooLargeError(absl::StrCat("frame too large: ", length, " bytes"));
    }
    if (buffer.size() - offset - lengthBytes < length) {
        return std::nullopt;
    }
    const std::size_t begin = offset + lengthBytes;
    offset = begin + length;
    return buffer.substr(begin, length);
}

} // namespace paddlepier::peer
