// Cost of an announcement on the leader, by the number of tasks that the worker runs.

#include "paddlepier/ledger/leasetable.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

using namespace paddlepier;
using namespace paddlepier::ledger;

namespace
{

template<typename Command>
std::uint64_t applyTo(Ledger &ledger, Command command)
{
    wire::LedgerEntryT entry;
    entry.command.Set(std::move(command));
    return ledger.apply(entry).job;
}

/** Adds one worker that runs @p tasks tasks to @p ledger. @return its announcement */
wire::AnnounceRequestT fill(Ledger &ledger, std::uint32_t tasks)
{
    wire::RegisterWorkerT registration;
    registration.worker = "worker-1";
    registration.partner = "p";
    registration.capacity = wire::Resources(1000000, 1000000, 0);
    applyTo(ledger, registration);
    wire::SubmitJobT submit;
    submit.partner = "p";
    submit.submissionId = "1";
    submit.spec = std::make_unique<wire::JobSpecT>();
    submit.spec->tasks = tasks;
    submit.spec->resources = wire::Resources(1, 1, 0);
    const std::uint64_t job = applyTo(ledger, std::move(submit));
    wire::PlaceTasksT place;
    wire::ReportTasksT started;
    started.worker = "worker-1";
    wire::AnnounceRequestT request;
    for (std::uint32_t index = 0; index < tasks; ++index) {
        place.groups.push_back(std::make_unique<wire::PlacementGroupT>());
        place.groups.back()->placements.push_back(std::make_unique<wire::PlacementT>());
        place.groups.back()->placements[0]->job = job;
        place.groups.back()->placements[0]->index = index;
        place.groups.back()->placements[0]->worker = "worker-1";
        request.running.emplace_back(job, index, index + 1);
        started.started.emplace_back(job, index, index + 1);
    }
    applyTo(ledger, std::move(place));
    applyTo(ledger, std::move(started));
    request.worker = "worker-1";
    request.partner = "p";
    request.dataCentre = "atlanta-1";
    request.address = "10.0.0.1:8080";
    request.capacity = registration.capacity;
    return request;
}

void BM_Announcement(benchmark::State &state)
{
    Ledger ledger;
    wire::AnnounceRequestT request = fill(ledger, static_cast<std::uint32_t>(state.range(0)));
    LeaseTable table(TimingSettings(), 1, 1, absl::UnixEpoch());
    std::size_t requestBytes = 0;
    std::size_t replyBytes = 0;
    for (auto _ : state) {
        ++request.sequence;
        const std::string packed = wire::pack(request);
        const AnnouncementResult result = table.announce(absl::UnixEpoch(), wire::unpack<wire::AnnounceRequestT>(packed), ledger);
        requestBytes = packed.size();
        replyBytes = wire::pack(result.reply).size();
    }
    state.counters["requestBytes"] = static_cast<double>(requestBytes);
    state.counters["replyBytes"] = static_cast<double>(replyBytes);
}
BENCHMARK(BM_Announcement)->Arg(1)->Arg(20)->Arg(200);

} // namespace
