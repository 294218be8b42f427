// Benchmarks of synced log writes by batch size, and of recovery by log length.

#include "paddlepier/storage/replicastore.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>
#include <unistd.h>

#include <filesystem>

using namespace paddlepier;
using namespace paddlepier::storage;

namespace
{

/** Size of a typical placement command. */
constexpr std::size_t entryBytes = 160;

/** Temporary folder in the working directory, so that it is on the same disk as the build. */
class Folder
{
public:
    Folder()
        : path(absl::StrCat("bench-store-", ::getpid()))
    {
    }

    ~Folder()
    {
        std::filesystem::remove_all(this->path);
    }

    const std::string path;
};

std::vector<wire::LogRecordT> entriesFrom(std::uint64_t first, std::int64_t count)
{
    std::vector<wire::LogRecordT> entries(static_cast<std::size_t>(count));
    for (wire::LogRecordT &entry : entries) {
        entry.term = 1;
        entry.index = first++;
        entry.kind = wire::EntryKind::Command;
        entry.data.assign(entryBytes, 'x');
    }
    return entries;
}

void BM_SyncedAppend(benchmark::State &state)
{
    const Folder folder;
    ReplicaStore store(folder.path, "bench", 1);
    std::uint64_t next = 1;
    for (auto _ : state) {
        store.append(nullptr, entriesFrom(next, state.range(0)));
        next += static_cast<std::uint64_t>(state.range(0));
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(next));
}
BENCHMARK(BM_SyncedAppend)->Arg(1)->Arg(8)->Arg(64)->Arg(512)->UseRealTime();

void BM_Recovery(benchmark::State &state)
{
    const Folder folder;
    {
        ReplicaStore store(folder.path, "bench", 1);
        store.append(nullptr, entriesFrom(1, state.range(0)));
    }
    for (auto _ : state) {
        ReplicaStore store(folder.path, "bench", 1);
        benchmark::DoNotOptimize(store.releaseRecovered());
    }
}
BENCHMARK(BM_Recovery)->Arg(500)->Arg(10000)->Arg(100000)->Unit(benchmark::kMillisecond);

} // namespace
