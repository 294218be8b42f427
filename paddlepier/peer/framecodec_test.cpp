// Frames that come in pieces, several at once, or too large.

#include "paddlepier/peer/framecodec.h"

#include "paddlepier/base/error.h"
#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>

namespace paddlepier::peer
{

namespace
{

constexpr std::size_t mostBytes = 1000;

class FrameCodecFixture
{
public:
    static std::string bytes(const std::string &instance)
    {
        wire::PeerFrameT frame;
        frame.fromInstance = instance;
        frame.body.Set(wire::HelloT());
        return encodeFrame(frame);
    }

    std::optional<std::string> take()
    {
        const std::optional<std::string> body = extractFrameBody(this->buffer, this->offset, mostBytes);
        return body ? std::optional(wire::unpack<wire::PeerFrameT>(*body).fromInstance) : std::nullopt;
    }

    std::string buffer;
    std::size_t offset = 0;
};

} // namespace

TEST_CASE_METHOD(FrameCodecFixture, "frame_inPieces_isTakenOnceItIsWhole")
{
    const std::string whole = bytes("a");
    for (const char byte : whole) {
        CHECK_FALSE(this->take());
        this->buffer += byte;
    }
    CHECK(this->take() == "a");
    CHECK(this->offset == whole.size());
}

TEST_CASE_METHOD(FrameCodecFixture, "frames_severalAtOnce_areTakenInOrder")
{
    this->buffer = bytes("a") + bytes("b");
    CHECK(this->take() == "a");
    CHECK(this->take() == "b");
    CHECK_FALSE(this->take());
}

TEST_CASE_METHOD(FrameCodecFixture, "frame_overTheLimit_isRefused")
{
    this->buffer = std::string(4, '\x7f');
    CHECK_THROWS_AS(this->take(), FrameTooLargeError);
}

TEST_CASE("keys_ofOtherLengthOrContent_areNotTheSame")
{
    CHECK(constantTimeEquals("abc", "abc"));
    CHECK_FALSE(constantTimeEquals("abc", "abd"));
    CHECK_FALSE(constantTimeEquals("abc", "ab"));
    CHECK_FALSE(constantTimeEquals("", "a"));
}

} // namespace paddlepier::peer
