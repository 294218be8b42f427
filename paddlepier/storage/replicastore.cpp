// Durable state of one replica.

#include "paddlepier/storage/replicastore.h"

#include "paddlepier/base/error.h"
#include "paddlepier/base/log.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>

namespace paddlepier::storage
{

namespace
{

constexpr const char *identityName = "identity";
constexpr const char *lockName = "lock";
constexpr const char *snapshotName = "snapshot";
constexpr const char *logName = "log";

std::string packStored(const wire::HardStateT &hardState)
{
    wire::StoredRecordT record;
    record.body.Set(wire::HardStateT(hardState));
    return wire::pack(record);
}

std::string packStored(const wire::LogRecordT &entry)
{
    wire::StoredRecordT record;
    record.body.Set(wire::LogRecordT(entry));
    return wire::pack(record);
}

/** Appends an entry, replacing all entries with its index or a greater one. */
void replay(wire::LogRecordT entry, std::vector<wire::LogRecordT> &entries)
{
    while (!entries.empty() && entries.back().index >= entry.index) {
        entries.pop_back();
    }
    if (!entries.empty() && entries.back().index + 1 != entry.index) {
        throw CorruptLogError(absl::StrCat("log has a gap before index ", entry.index));
    }
    entries.push_back(std::move(entry));
}

} // namespace

ReplicaStore::ReplicaStore(const std::string &folder, const std::string &instance, std::uint64_t randomNumber)
    : folderPath(folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        throw StorageFailureError(absl::StrCat("create folder ", folder, ": ", error.message()));
    }
    this->lockFolder();
    try {
        this->loadIdentity(instance, randomNumber);
        this->recover();
    } catch (...) {
        ::close(this->lockDescriptor);
        throw;
    }
}

ReplicaStore::~ReplicaStore()
{
    ::close(this->lockDescriptor);
}

std::string ReplicaStore::pathOf(const char *name) const
{
    return absl::StrCat(this->folderPath, "/", name);
}

void ReplicaStore::lockFolder()
{
    this->lockDescriptor = ::open(this->pathOf(lockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (this->lockDescriptor < 0) {
        throw StorageFailureError(absl::StrCat("open ", this->pathOf(lockName)));
    }
    if (::flock(this->lockDescriptor, LOCK_EX | LOCK_NB) != 0) {
        ::close(this->lockDescriptor);
        throw ForeignDataFolderError(absl::StrCat(this->folderPath, " is in use by another process"));
    }
}

void ReplicaStore::loadIdentity(const std::string &instance, std::uint64_t randomNumber)
{
    const std::string path = this->pathOf(identityName);
    if (!std::filesystem::exists(path)) {
        if (std::filesystem::exists(this->pathOf(logName))) {
            throw CorruptLogError(absl::StrCat(this->folderPath, " has a log but no identity"));
        }
        replaceFile(path, absl::StrCat(instance, "/", absl::Hex(randomNumber, absl::kZeroPad16)));
    }
    this->replicaIdentity = readFile(path);
    if (!absl::StartsWith(this->replicaIdentity, absl::StrCat(instance, "/"))) {
        throw ForeignDataFolderError(absl::StrCat(this->folderPath, " belongs to replica ", this->replicaIdentity));
    }
}

void ReplicaStore::recover()
{
    const std::string snapshotPath = this->pathOf(snapshotName);
    if (std::filesystem::exists(snapshotPath)) {
        const FrameScan scan = scanFrames(readFile(snapshotPath));
        if (scan.frames.size() != 1) {
            throw CorruptLogError(absl::StrCat(snapshotPath, ": damaged snapshot, expected exactly one intact frame"));
        }
        this->recovered.snapshot = std::make_shared<const wire::SnapshotHeaderT>(wire::unpack<wire::SnapshotHeaderT>(scan.frames.front()));
    }
    this->log = std::make_unique<FrameFile>(this->pathOf(logName));
    syncFolder(this->folderPath);
    if (this->log->tornBytes() > 0) {
        log::warning("storage", "log.torn-tail-cut", {{"folder", this->folderPath}, {"bytes", this->log->tornBytes()}});
    }
    for (const std::string &frame : this->log->releaseRecovered()) {
        auto record = wire::unpack<wire::StoredRecordT>(frame);
        if (const auto *hardState = record.body.AsHardState()) {
            this->recovered.hardState = *hardState;
        } else if (auto *entry = record.body.AsLogRecord()) {
            replay(std::move(*entry), this->recovered.entries);
        }
    }
}

const std::string &ReplicaStore::identity() const
{
    return this->replicaIdentity;
}

RecoveredState ReplicaStore::releaseRecovered()
{
    return std::move(this->recovered);
}

void ReplicaStore::append(const wire::HardStateT *hardState, const std::vector<wire::LogRecordT> &entries)
{
    if (hardState != nullptr) {
        this->log->append(packStored(*hardState));
    }
    for (const wire::LogRecordT &entry : entries) {
        this->log->append(packStored(entry));
    }
    this->log->sync();
}

void ReplicaStore::saveSnapshot(const wire::SnapshotHeaderT &snapshot, const wire::HardStateT &hardState, const std::vector<wire::LogRecordT> &entries)
{
    // The snapshot is written first: a crash before the log is replaced leaves the same state, since recovery skips entries that the
    // snapshot covers.
    replaceFile(this->pathOf(snapshotName), encodeFrame(wire::pack(snapshot)));
    std::string content = encodeFrame(packStored(hardState));
    for (const wire::LogRecordT &entry : entries) {
        content += encodeFrame(packStored(entry));
    }
    this->log.reset();
    replaceFile(this->pathOf(logName), content);
    this->log = std::make_unique<FrameFile>(this->pathOf(logName));
    this->log->releaseRecovered();
}

std::uint64_t ReplicaStore::logBytes() const
{
    return this->log->size();
}

} // namespace paddlepier::storage
