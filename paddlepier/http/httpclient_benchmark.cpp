// CPU time of a short call while many long calls stay open, each to an address of its own.
//
// Measures the thread that runs the transfers; the server has its own threads.

#include "paddlepier/http/httpclient.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

using namespace paddlepier;
using namespace paddlepier::http;

namespace
{

constexpr std::uint16_t port = 29481;
constexpr std::size_t bodyBytes = 300;
constexpr std::size_t concurrentShortCalls = 4;

/** Answers short calls immediately and holds long ones until releaseHeld() is called. */
class Server
{
public:
    Server()
    {
        LimitSettings limits;
        limits.trafficThreads = 1;
        limits.connections = 4000;
        this->server = std::make_unique<HttpServer>(Endpoint{"0.0.0.0", port}, limits, [this](const std::shared_ptr<Exchange> &exchange) {
            if (exchange->request().path == "/short") {
                exchange->respond({200, {}, exchange->request().body});
                return;
            }
            const absl::MutexLock lock(&this->mutex);
            this->held.push_back(exchange);
        });
    }

    std::size_t heldCalls()
    {
        const absl::MutexLock lock(&this->mutex);
        return this->held.size();
    }

    void releaseHeld()
    {
        const absl::MutexLock lock(&this->mutex);
        for (const std::shared_ptr<Exchange> &exchange : this->held) {
            exchange->respond({200, {}, "end"});
        }
        this->held.clear();
    }

private:
    absl::Mutex mutex;
    std::vector<std::shared_ptr<Exchange>> held;
    std::unique_ptr<HttpServer> server;
};

OutgoingRequest callTo(std::size_t worker, const std::string &path)
{
    OutgoingRequest request;
    request.url = absl::StrCat("http://127.0.", 1 + worker / 250, ".", 1 + worker % 250, ":", port, path);
    request.headers = {{"Content-Type", "application/json"}, {"X-Worker", absl::StrCat("worker-", worker)}};
    request.body = std::string(bodyBytes, 'x');
    request.timeout = absl::Seconds(60);
    return request;
}

void BM_ShortCalls(benchmark::State &state)
{
    const auto workers = static_cast<std::size_t>(state.range(0));
    Server server;
    TransferPool pool;
    pool.setMaxIdleConnections(4000);
    pool.setMaxConnectionsPerHost(16);
    std::size_t longCalls = workers;
    for (std::size_t worker = 0; worker < workers; ++worker) {
        pool.start(callTo(worker, "/long"), [&longCalls](const TransferResult &) { --longCalls; });
    }
    while (server.heldCalls() < workers) {
        pool.run(absl::Milliseconds(1));
    }
    std::size_t next = 0;
    for ([[maybe_unused]] const auto step : state) {
        std::size_t open = concurrentShortCalls;
        for (std::size_t call = 0; call < concurrentShortCalls; ++call) {
            pool.start(callTo(next++ % workers, "/short"), [&open](const TransferResult &result) { open -= result.isComplete ? 1 : 0; });
        }
        while (open > 0) {
            pool.run(absl::Milliseconds(100));
        }
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(concurrentShortCalls));
    server.releaseHeld();
    while (longCalls > 0) {
        pool.run(absl::Milliseconds(100));
    }
}

} // namespace

BENCHMARK(BM_ShortCalls)->Arg(10)->Arg(350)->Arg(1000)->Unit(benchmark::kMicrosecond);
