// A writer whose reader keeps up, stalls, or has closed the pipe.

#include "paddlepier/base/boundedwriter.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <climits>
#include <string>

namespace paddlepier
{

namespace
{

class BoundedWriterFixture
{
public:
    BoundedWriterFixture()
    {
        REQUIRE(::pipe(this->ends.data()) == 0);
    }

    ~BoundedWriterFixture()
    {
        this->closeReader();
        ::close(this->ends[1]);
    }

    void closeReader()
    {
        if (this->ends[0] >= 0) {
            ::close(this->ends[0]);
        }
        this->ends[0] = -1;
    }

    /** Reads as many bytes as @p text has, blocking for them. @return whether they are equal to @p text */
    bool reads(const std::string &text) const
    {
        std::string read;
        std::array<char, 4096> buffer{};
        while (read.size() < text.size()) {
            const ssize_t size = ::read(this->ends[0], buffer.data(), std::min(buffer.size(), text.size() - read.size()));
            if (size <= 0) {
                return false;
            }
            read.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return read == text;
    }

    std::array<int, 2> ends{-1, -1};
};

constexpr std::size_t maxBytes = 1000;

} // namespace

TEST_CASE_METHOD(BoundedWriterFixture, "lines_withActiveReader_arriveCompleteAndInOrder")
{
    BoundedWriter writer(this->ends[1], maxBytes);
    CHECK(writer.post("one\n"));
    CHECK(writer.post("two\n"));
    writer.stop(absl::Seconds(60));
    CHECK(this->reads("one\ntwo\n"));
    CHECK(writer.drainDroppedCount() == 0);
}

TEST_CASE_METHOD(BoundedWriterFixture, "lines_exceedingPipeBuf_arriveAsCompleteLines")
{
    this->closeReader();
    ::close(this->ends[1]);
    // In packet mode each read returns the data of one write.
    REQUIRE(::pipe2(this->ends.data(), O_DIRECT) == 0);
    std::string text;
    for (std::size_t line = 0; line < 100; ++line) {
        text += std::string(90 + line % 7, 'x') + "\n";
    }
    BoundedWriter writer(this->ends[1], text.size());
    REQUIRE(writer.post(text));
    std::string read;
    std::array<char, PIPE_BUF> chunk{};
    while (read.size() < text.size()) {
        const ssize_t size = ::read(this->ends[0], chunk.data(), chunk.size());
        REQUIRE(size > 0);
        CHECK(chunk[static_cast<std::size_t>(size) - 1] == '\n');
        read.append(chunk.data(), static_cast<std::size_t>(size));
    }
    CHECK(read == text);
}

TEST_CASE_METHOD(BoundedWriterFixture, "lines_withStalledReader_areDroppedAndCountedWithoutBlocking")
{
    BoundedWriter writer(this->ends[1], maxBytes);
    const std::string line(100, 'x');
    // More than pipe and buffer can hold: if post() waited for the reader, the loop would not end.
    std::int64_t refused = 0;
    for (int count = 0; count < 100'000; ++count) {
        refused += writer.post(line) ? 0 : 1;
    }
    CHECK(refused > 0);
    CHECK(writer.drainDroppedCount() == refused);
    CHECK(writer.drainDroppedCount() == 0);
    CHECK(this->reads(line));
}

TEST_CASE_METHOD(BoundedWriterFixture, "stop_withStalledReader_returns")
{
    ::fcntl(this->ends[1], F_SETPIPE_SZ, 4096);
    BoundedWriter writer(this->ends[1], 1U << 20U);
    writer.post(std::string(100'000, 'x'));
    writer.stop(absl::Milliseconds(1));
    CHECK_FALSE(writer.post("late"));
}

TEST_CASE_METHOD(BoundedWriterFixture, "lines_afterTheReaderClosed_areDropped")
{
    ::signal(SIGPIPE, SIG_IGN);
    this->closeReader();
    BoundedWriter writer(this->ends[1], maxBytes);
    writer.post("one\n");
    // The writer detects the closed pipe on its first write and drops later texts.
    while (writer.post("")) {
        ::usleep(1000);
    }
    CHECK(writer.drainDroppedCount() > 0);
}

} // namespace paddlepier
