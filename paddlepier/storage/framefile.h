// Append-only file of checksummed frames.
//
// Frames are atomic: the header holds the payload's length and a checksum over both, so that a partly written frame is detected. On opening,
// damage that is not followed by an intact frame is treated as a torn last write and truncated. Damage before an intact frame can't result
// from a torn write and is refused with CorruptLogError.
//
// Guarantee: after sync() returns, every frame appended before it survives a crash of the machine.
//
// Example:
//     FrameFile file(path); // creates it if it is missing
//     for (const std::string &frame : file.releaseRecovered()) { replay(frame); }
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

/** One open frame file. append() buffers; sync() writes the buffer and syncs. */
class FrameFile
{
public:
    /**
     * Opens or creates the file at @p path and reads all frames, O(file size).
     *
     * @throws CorruptLogError if a damaged frame precedes an intact one
     * @throws StorageFailureError if the file can't be opened, read or truncated
     */
    explicit FrameFile(const std::string &path);
    ~FrameFile();

    FrameFile(const FrameFile &) = delete;
    FrameFile &operator=(const FrameFile &) = delete;

    /** Returns the frames found on opening and releases them; later calls return none. */
    std::vector<std::string> releaseRecovered();

    /** Size of the torn last write that was truncated on opening. */
    std::size_t tornBytes() const;

    void append(std::string_view payload);

    /** @throws StorageFailureError if writing or syncing fails; the file must not be used afterwards */
    void sync();

    /** Bytes written; buffered frames are not included. */
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

/** Replaces the file at @p path atomically: writes and syncs a new file, renames it, and syncs the folder. */
void replaceFile(const std::string &path, std::string_view content);

/** Syncs a folder, so that files created or renamed in it survive a crash. */
void syncFolder(const std::string &folder);

/** @return the content of a file. @throws StorageFailureError if it can't be read */
std::string readFile(const std::string &path);

/** Result of scanFrames(): the frames that FrameFile would recover, and the length of the intact part. */
struct FrameScan {
    std::vector<std::string> frames;
    std::size_t intactBytes = 0;
    /** An intact frame follows the first damage. */
    bool hasInteriorDamage = false;
};
FrameScan scanFrames(std::string_view content);

/** Encodes one frame as stored in a file. */
std::string encodeFrame(std::string_view payload);

} // namespace paddlepier::storage

#endif
