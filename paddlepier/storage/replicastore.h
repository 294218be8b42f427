// Durable state of one replica in its own folder.
//
// The folder holds the replica's identity, at most one snapshot and one log file. The identity is minted with the
// folder: an emptied folder makes a new replica, which can't vote under the old one's name. A folder that belongs to
// another instance, or that another process has open, is refused.
//
// Guarantee: what append() or saveSnapshot() was given is durable when it returns. A crash in between leaves the state
// before or after the call, never a mixture.
//
// Example:
//     ReplicaStore store(folder, "atlanta-1-a", mintedNumber);
//     replica.restore(store.takeRecovered());
//     store.append(hardState, entries);
//
// Thread safety: none; owned by the disk thread once it runs.

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

/** Everything a replica knew durably. */
struct RecoveredState {
    wire::HardStateT hardState;
    std::shared_ptr<const wire::SnapshotHeaderT> snapshot;
    /** Consecutive indexes; the first one follows the snapshot or lies within it. */
    std::vector<wire::LogRecordT> entries;
};

/** Folder of one replica. append() costs one sync for any number of entries. */
class ReplicaStore
{
public:
    /**
     * Opens or creates the folder.
     *
     * @param mintedNumber random number that becomes part of a new replica's identity
     * @throws ForeignDataFolderError if the folder belongs to another instance or is in use
     * @throws CorruptLogError, StorageFailureError as FrameFile
     */
    ReplicaStore(const std::string &folder, const std::string &instance, std::uint64_t mintedNumber);
    ~ReplicaStore();

    ReplicaStore(const ReplicaStore &) = delete;
    ReplicaStore &operator=(const ReplicaStore &) = delete;

    /** `instance/number`; the same over restarts, another one after the folder was lost. */
    const std::string &identity() const;

    RecoveredState releaseRecovered();

    /** Writes a changed hard state, if given, and entries; an entry replaces all with its index or a greater one. */
    void append(const wire::HardStateT *hardState, const std::vector<wire::LogRecordT> &entries);

    /** Replaces the log by a snapshot, the hard state and the entries that follow the snapshot. */
    void saveSnapshot(const wire::SnapshotHeaderT &snapshot, const wire::HardStateT &hardState, const std::vector<wire::LogRecordT> &entries);

    /** Bytes of the log file. */
    std::uint64_t logBytes() const;

private:
    void lockFolder();
    void loadIdentity(const std::string &instance, std::uint64_t mintedNumber);
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
