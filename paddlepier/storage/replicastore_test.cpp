// Recovery of a replica's store: durable data is restored, torn writes are truncated, damaged and foreign folders are refused.

#include "paddlepier/storage/replicastore.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace paddlepier;
using namespace paddlepier::storage;

namespace
{

class ReplicaStoreFixture
{
protected:
    ReplicaStoreFixture()
        : folder((std::filesystem::temp_directory_path() / absl::StrCat("paddlepier-store-", ::getpid())).string())
    {
        std::filesystem::remove_all(this->folder);
    }

    ~ReplicaStoreFixture()
    {
        std::filesystem::remove_all(this->folder);
    }

    static std::vector<wire::LogRecordT> entries(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1)
    {
        std::vector<wire::LogRecordT> list;
        for (std::uint64_t index = first; index <= last; ++index) {
            wire::LogRecordT entry;
            entry.index = index;
            entry.term = term;
            entry.data.assign(100, static_cast<std::uint8_t>(index));
            list.push_back(entry);
        }
        return list;
    }

    RecoveredState reopen() const
    {
        ReplicaStore store(this->folder, "a", 9);
        return store.releaseRecovered();
    }

    std::string logPath() const
    {
        return this->folder + "/log";
    }

    const std::string folder;
};

} // namespace

TEST_CASE_METHOD(ReplicaStoreFixture, "append_thenReopen_restoresEverything")
{
    wire::HardStateT hard;
    hard.term = 4;
    hard.votedFor = "b/1";
    ReplicaStore(this->folder, "a", 1).append(&hard, entries(1, 5));
    ReplicaStore(this->folder, "a", 2).append(nullptr, entries(4, 6, 2));
    const RecoveredState state = this->reopen();
    REQUIRE(state.hardState.term == 4);
    REQUIRE(state.hardState.votedFor == "b/1");
    REQUIRE(state.entries.size() == 6);
    REQUIRE(state.entries[2].term == 1);
    REQUIRE(state.entries[3].term == 2);
}

TEST_CASE_METHOD(ReplicaStoreFixture, "log_truncatedAtAnyByte_restoresOnlyCompleteEntries")
{
    ReplicaStore(this->folder, "a", 1).append(nullptr, entries(1, 3));
    const std::string complete = readFile(this->logPath());
    for (std::size_t length = 0; length < complete.size(); length += 7) {
        std::ofstream(this->logPath(), std::ios::binary | std::ios::trunc) << complete.substr(0, length);
        const RecoveredState state = this->reopen();
        REQUIRE(state.entries.size() == length * 3 / complete.size());
    }
}

TEST_CASE_METHOD(ReplicaStoreFixture, "log_damagedBeforeIntactEntry_isRefused")
{
    ReplicaStore(this->folder, "a", 1).append(nullptr, entries(1, 3));
    std::string content = readFile(this->logPath());
    content[40] = static_cast<char>(content[40] ^ 1);
    std::ofstream(this->logPath(), std::ios::binary | std::ios::trunc) << content;
    REQUIRE_THROWS_AS(this->reopen(), CorruptLogError);
}

TEST_CASE_METHOD(ReplicaStoreFixture, "snapshot_replacingTheLog_keepsItsTail")
{
    {
        ReplicaStore store(this->folder, "a", 1);
        store.append(nullptr, entries(1, 10));
        wire::SnapshotHeaderT snapshot;
        snapshot.index = 8;
        snapshot.term = 1;
        store.saveSnapshot(snapshot, {}, entries(9, 10));
        store.append(nullptr, entries(11, 11));
    }
    const RecoveredState state = this->reopen();
    REQUIRE(state.snapshot->index == 8);
    REQUIRE(state.entries.front().index == 9);
    REQUIRE(state.entries.back().index == 11);
}

TEST_CASE_METHOD(ReplicaStoreFixture, "snapshot_damaged_isRefused")
{
    ReplicaStore(this->folder, "a", 1).saveSnapshot({}, {}, {});
    std::ofstream(this->folder + "/snapshot", std::ios::binary | std::ios::trunc) << "damaged";
    REQUIRE_THROWS_AS(this->reopen(), CorruptLogError);
}

TEST_CASE_METHOD(ReplicaStoreFixture, "identity_createdWithItsFolder_isStableAndRefusesOthers")
{
    const std::string first = ReplicaStore(this->folder, "a", 1).identity();
    REQUIRE(ReplicaStore(this->folder, "a", 2).identity() == first);
    REQUIRE_THROWS_AS(ReplicaStore(this->folder, "b", 3), ForeignDataFolderError);
    const ReplicaStore open(this->folder, "a", 4);
    REQUIRE_THROWS_AS(ReplicaStore(this->folder, "a", 5), ForeignDataFolderError);
    std::filesystem::remove_all(this->folder);
    REQUIRE(ReplicaStore(this->folder, "a", 6).identity() != first);
}
