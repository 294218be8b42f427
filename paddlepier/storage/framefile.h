// Append-only file of checksummed frames.
//
// A frame is written whole or counts as not written: its header carries the payload's length and a checksum over both.
// On opening, damage that no intact frame follows is the torn end of the last write and is cut off; damage before an
// intact frame can't come from a torn write and is refused with CorruptLogError.
//
// Guarantee: after sync() returns, every frame appended before it survives a crash of the machine.
//
// Example:
//     FrameFile file(path);                       // creates it if it's missing
//     for (const std::string &frame : file.takeRecovered()) { replay(frame); }
//     file.append(bytes);
//     file.sync();
//
// Thread safety: none; owned by one thread at a time.

#ifndef PADDLEPIER_STORAGE_FRAMEFILE_H
#define PADDLEPIER_STORAGE_FRAMEFILE_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::storage
{

/** Owner of one open frame file; append() buffers, sync() writes and syncs. */
class FrameFile
{
public:
    /**
     * Opens or creates the file at @p path and reads all frames, O(file size).
     *
     * @throws CorruptLogError if a damaged frame stands before an intact one
     * @throws StorageFailureError if the file can't be opened, read or cut
     */
    explicit FrameFile(const std::string &path);
    ~FrameFile();

    FrameFile(const FrameFile &) = delete;
    FrameFile &operator=(const FrameFile &) = delete;

    /** Frames found on opening; the second call gives none. */
    std::vector<std::string> releaseRecovered();

    /** Bytes of a torn last write that opening cut off. */
    std::size_t tornBytes() const;

    void append(std::string_view payload);

    /** @throws StorageFailureError if writing or syncing fails; the file must then not be used any more */
    void sync();

    /** Bytes written, without what is still buffered. */
    std::uint64_t size() const;

private:
    void recover();

    const std::string filePath;
    int descriptor = -1;
    std::string buffer;
    std::vector<std::string> recovered;
    std::size_t torn = 0;
    std::uint64_t written = 0;
};

/** Writes @p content to a new file, syncs it, renames it to @p path and syncs the folder. */
void replaceFile(const std::string &path, std::string_view content);

/** Syncs a folder, so that created and renamed names in it survive a crash. */
void syncFolder(const std::string &folder);

/** The whole file. @throws StorageFailureError if it can't be read */
std::string readFile(const std::string &path);

/** Frames in @p content as a FrameFile would recover them, and the length of the intact part. */
struct FrameScan {
    std::vector<std::string> frames;
    std::size_t intactBytes = 0;
    /** An intact frame follows the first damage. */
    bool hasInteriorDamage = false;
};
FrameScan scanFrames(std::string_view content);

/** One frame as it stands in a file. */
std::string encodeFrame(std::string_view payload);

} // namespace paddlepier::storage

#endif
