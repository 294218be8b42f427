// Durable state of one replica in its own folder.
//
// The folder holds the identity of the replica, at most one snapshot, and one log file. The identity is generated with the folder: an emptied
// folder becomes a new replica, which can't vote under the old identity. A folder that belongs to another instance or is locked by another
// process is refused.
//
// Guarantee: data passed to append() or saveSnapshot() is durable when the call returns. A crash during the call leaves the state before or
// after it, never a mixture.
//
// Example:
//     ReplicaStore store(folder, "atlanta-1-a", randomNumber);
//     replica.restore(store.releaseRecovered());
//     store.append(hardState, entries);
//
// Thread safety: none; used only by the disk thread once that runs.

#ifndef PADDLEPIER_STORAGE_REPLICASTORE_H
#define PADDLEPIER_STORAGE_REPLICASTORE_H

#include "paddlepier/storage/framefile.h"
#include "paddlepier/wire/peer_generated.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace paddlepier::storage
{

/** Durable state of a replica, as read on opening. */
struct RecoveredState {
    wire::HardStateT hardState;
    std::shared_ptr<const wire::SnapshotHeaderT> snapshot;
    /** Entries with consecutive indexes; the first one is covered by the snapshot or follows it directly. */
    std::vector<wire::LogRecordT> entries;
};

/** Store of one replica. append() costs one sync for any number of entries. */
class ReplicaStore
{
public:
    /**
     * Opens or creates the folder.
     *
     * @param randomNumber  becomes part of the identity if the folder is new
     * @throws ForeignDataFolderError if the folder belongs to another instance or is in use
     * @throws CorruptLogError, StorageFailureError under the same conditions as FrameFile
     */
    ReplicaStore(const std::string &folder, const std::string &instance, std::uint64_t randomNumber);
    ~ReplicaStore();

    ReplicaStore(const ReplicaStore &) = delete;
    ReplicaStore &operator=(const ReplicaStore &) = delete;

    /** `instance/number`; stable across restarts, and new after the folder was lost. */
    const std::string &identity() const;

    RecoveredState releaseRecovered();

    /** Writes the hard state, unless null, and entries. An entry replaces all stored entries with its index or a greater one. */
    void append(const wire::HardStateT *hardState, const std::vector<wire::LogRecordT> &entries);

    /** Stores a snapshot and replaces the log by the hard state and the entries that follow the snapshot. */
    void saveSnapshot(const wire::SnapshotHeaderT &snapshot, const wire::HardStateT &hardState, const std::vector<wire::LogRecordT> &entries);

    /** Size of the log file in bytes. */
    std::uint64_t logBytes() const;

private:
    void lockFolder();
    void loadIdentity(const std::string &instance, std::uint64_t randomNumber);
    void recover();
    std::string pathOf(const char *name) const;

    const std::string folderPath;
    int lockDescriptor = -1;
    std::string replicaIdentity;
    RecoveredState recovered;
    std::unique_ptr<FrameFile> log;
};

} // namespace paddlepier::storage

#endif
