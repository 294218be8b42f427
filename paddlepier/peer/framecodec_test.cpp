// Extraction of frames that arrive in pieces, several at once, or exceed the size limit.

#include "paddlepier/peer/framecodec.h"

#include "paddlepier/base/error.h"
#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>

namespace paddlepier::peer
{

namespace
{

constexpr std::size_t maxBytes = 1000;

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

    std::optional<std::string> extract()
    {
        const std::optional<std::string> body = extractFrameBody(this->buffer, this->offset, maxBytes);
        return body ? std::optional(wire::unpack<wire::PeerFrameT>(*body).fromInstance) : std::nullopt;
    }

    std::string buffer;
    std::size_t offset = 0;
};

} // namespace

TEST_CASE_METHOD(FrameCodecFixture, "frame_inPieces_isExtractedOnceComplete")
{
    const std::string encoded = bytes("a");
    for (const char byte : encoded) {
        CHECK_FALSE(this->extract());
        this->buffer += byte;
    }
    CHECK(this->extract() == "a");
    CHECK(this->offset == encoded.size());
}

TEST_CASE_METHOD(FrameCodecFixture, "frames_severalAtOnce_areExtractedInOrder")
{
    this->buffer = bytes("a") + bytes("b");
    CHECK(this->extract() == "a");
    CHECK(this->extract() == "b");
    CHECK_FALSE(this->extract());
}

TEST_CASE_METHOD(FrameCodecFixture, "frame_overLimit_isRejected")
{
    this->buffer = std::string(4, '\x7f');
    CHECK_THROWS_AS(this->extract(), FrameTooLargeError);
}

TEST_CASE("keys_withDifferentLengthOrContent_areUnequal")
{
    CHECK(constantTimeEquals("abc", "abc"));
    CHECK_FALSE(constantTimeEquals("abc", "abd"));
    CHECK_FALSE(constantTimeEquals("abc", "ab"));
    CHECK_FALSE(constantTimeEquals("", "a"));
}

} // namespace paddlepier::peer
