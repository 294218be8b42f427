// Append-only file of checksummed frames.

#include "paddlepier/storage/framefile.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

namespace paddlepier::storage
{

namespace
{

constexpr std::uint32_t frameMagic = 0x50445046;
constexpr std::uint32_t maxPayloadBytes = 256U << 20U;

struct FrameHeader {
    std::uint32_t magic;
    std::uint32_t length;
    std::uint64_t checksum;
};

[[noreturn]] void failStorage(const std::string &operation, const std::string &path)
{
    throw StorageFailureError(absl::StrCat(operation, " ", path, ": ", std::strerror(errno)));
}

std::uint64_t checksumOf(std::uint32_t length, std::string_view payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), length);
}

/** Payload of the frame at @p offset; empty optional if there is no intact one. */
std::optional<std::string_view> frameAt(std::string_view content, std::size_t offset)
{
    if (content.size() - offset < sizeof(FrameHeader)) {
        return std::nullopt;
    }
    FrameHeader header{};
    std::memcpy(&header, content.data() + offset, sizeof(header));
    const std::string_view rest = content.substr(offset + sizeof(header));
    if (header.magic != frameMagic || header.length > maxPayloadBytes || header.length > rest.size()) {
        return std::nullopt;
    }
    const std::string_view payload = rest.substr(0, header.length);
    if (checksumOf(header.length, payload) != header.checksum) {
        return std::nullopt;
    }
    return payload;
}

bool hasFrameAfter(std::string_view content, std::size_t offset)
{
    const std::string magic(reinterpret_cast<const char *>(&frameMagic), sizeof(frameMagic));
    std::size_t candidate = content.find(magic, offset + 1);
    while (candidate != std::string_view::npos) {
        if (frameAt(content, candidate)) {
            return true;
        }
        candidate = content.find(magic, candidate + 1);
    }
    return false;
}

void writeAll(int descriptor, std::string_view bytes, const std::string &path)
{
    while (!bytes.empty()) {
        const ssize_t count = ::write(descriptor, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            failStorage("write", path);
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

} // namespace

FrameScan scanFrames(std::string_view content)
{
    FrameScan scan;
    while (scan.intactBytes < content.size()) {
        const std::optional<std::string_view> payload = frameAt(content, scan.intactBytes);
        if (!payload) {
            scan.hasInteriorDamage = hasFrameAfter(content, scan.intactBytes);
            break;
        }
        scan.frames.emplace_back(*payload);
        scan.intactBytes += sizeof(FrameHeader) + payload->size();
    }
    return scan;
}

std::string encodeFrame(std::string_view payload)
{
    FrameHeader header{};
    header.magic = frameMagic;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.checksum = checksumOf(header.length, payload);
    std::string frame(reinterpret_cast<const char *>(&header), sizeof(header));
    frame.append(payload);
    return frame;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        failStorage("read", path);
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

void syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        failStorage("open folder", folder);
    }
    const int result = ::fsync(descriptor);
    ::close(descriptor);
    if (result != 0) {
        failStorage("sync folder", folder);
    }
}

void replaceFile(const std::string &path, std::string_view content)
{
    const std::string temporary = path + ".new";
    const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0) {
        failStorage("create", temporary);
    }
    writeAll(descriptor, content, temporary);
    if (::fsync(descriptor) != 0) {
        failStorage("sync", temporary);
    }
    ::close(descriptor);
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        failStorage("rename", temporary);
    }
    syncFolder(std::filesystem::path(path).parent_path().string());
}

FrameFile::FrameFile(const std::string &path)
    : filePath(path)
    , descriptor(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600))
{
    if (this->descriptor < 0) {
        failStorage("open", path);
    }
    this->recover();
}

FrameFile::~FrameFile()
{
    ::close(this->descriptor);
}

void FrameFile::recover()
{
    const std::string content = readFile(this->filePath);
    FrameScan scan = scanFrames(content);
    if (scan.hasInteriorDamage) {
        throw CorruptLogError(absl::StrCat(this->filePath, ": damaged frame at byte ", scan.intactBytes, ", followed by intact frames"));
    }
    this->torn = content.size() - scan.intactBytes;
    if (this->torn > 0 && ::ftruncate(this->descriptor, static_cast<off_t>(scan.intactBytes)) != 0) {
        failStorage("cut", this->filePath);
    }
    if (::lseek(this->descriptor, 0, SEEK_END) < 0) {
        failStorage("seek", this->filePath);
    }
    this->written = scan.intactBytes;
    this->recovered = std::move(scan.frames);
}

std::vector<std::string> FrameFile::releaseRecovered()
{
    std::vector<std::string> frames;
    frames.swap(this->recovered);
    return frames;
}

std::size_t FrameFile::tornBytes() const
{
    return this->torn;
}

void FrameFile::append(std::string_view payload)
{
    this->buffer += encodeFrame(payload);
}

void FrameFile::sync()
{
    writeAll(this->descriptor, this->buffer, this->filePath);
    this->written += this->buffer.size();
    this->buffer.clear();
    if (::fdatasync(this->descriptor) != 0) {
        failStorage("sync", this->filePath);
    }
}

std::uint64_t FrameFile::size() const
{
    return this->written;
}

} // namespace paddlepier::storage
