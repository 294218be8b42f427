// Stand-ins for the platform's backend servers of which one hangs for a while, and is to leave meanwhile.
//
// They follow PROTOCOL.md: orders are executed by execution/fakeworkers.h. With the first start that reaches it, the first server begins to hang: for
// the given time, which may be 0, it answers no order, and never executes those that it gets then. Its heartbeats go on. It announces at once that
// it drains, keeps serving for 12 s after the confirmation, and then leaves. Tasks end as done after 300 ms.
// Writes a line to standard output for each event: milliseconds since 1970, event, server, and what belongs to it. Ends on SIGTERM.

#include "paddlepier/base/clock.h"
#include "paddlepier/base/log.h"
#include "paddlepier/execution/fakeworkers.h"
#include "paddlepier/http/httpclient.h"
#include "paddlepier/http/httpserver.h"
#include "platform/codec.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace paddlepier::review
{

namespace
{

using Json = nlohmann::json;
using ExchangePointer = std::shared_ptr<http::Exchange>;

constexpr std::uint16_t serverPort = 8000;
constexpr std::uint32_t firstHost = 101;
constexpr Duration heartbeatInterval = absl::Milliseconds(300);
constexpr Duration stayAfterDrain = absl::Seconds(12);

template<typename... Parts>
void writeLine(const Parts &...parts)
{
    std::printf("%s\n", absl::StrCat(absl::ToUnixMillis(absl::Now()), " ", parts...).c_str());
    std::fflush(stdout);
}

const work::StepSpecT &stepOf(const workload::TaskKey &)
{
    static const work::StepSpecT step = [] {
        work::StepSpecT made;
        made.count = 1;
        made.demand = std::make_unique<work::Demand>(500, 100, 0);
        made.estimatedMillis = 300;
        return made;
    }();
    return step;
}

struct HeldPoll {
    std::string id;
    ExchangePointer exchange;
    execution::WorkerCall call;
    Timestamp due;
};

struct Server {
    std::string id;
    std::string host;
    std::uint64_t sequence = 0;
    bool isDraining = false;
    Timestamp nextHeartbeat = absl::InfinitePast();
    std::unique_ptr<http::HttpServer> http;
};

class Servers
{
public:
    Servers(const std::string &network, int count, std::vector<std::string> controlAddresses, Duration hang)
        : controls(std::move(controlAddresses))
        , hangTime(hang)
        , fake(stepOf)
    {
        this->fake.observer = [](const execution::FakeWorkers::Event &event) {
            using Kind = execution::FakeWorkers::EventKind;
            const char *name = event.kind == Kind::Started ? "started " : event.kind == Kind::Ended ? "ended " : "acknowledged ";
            writeLine(name, event.worker, " ", event.task.text(), " ", event.run);
        };
        LimitSettings limits;
        limits.trafficThreads = 1;
        for (int number = 0; number < count; ++number) {
            Server &server = this->servers.emplace_back();
            server.host = absl::StrCat(network, ".", firstHost + static_cast<std::uint32_t>(number));
            server.id = absl::StrCat("i-", number + 1);
            this->fake.workers[server.id];
        }
        for (Server &server : this->servers) {
            const auto receive = [this, id = server.id](const ExchangePointer &exchange) { this->receive(id, exchange); };
            server.http = std::make_unique<http::HttpServer>(Endpoint{server.host, serverPort}, limits, receive);
        }
    }

    /** One step of the servers' own work. */
    void step()
    {
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            this->fake.advance(controlNow());
            this->answerPolls();
            for (Server &server : this->servers) {
                this->sendHeartbeat(server);
            }
        }
        this->pool.run(absl::Milliseconds(10));
    }

private:
    bool isHanging(const std::string &id) const
    {
        return id == this->servers.front().id && controlNow() < this->hangsUntil;
    }

    void receive(const std::string &id, const ExchangePointer &exchange)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const http::Request &request = exchange->request();
        if (request.header("Paddlepier-Expected-Instance") != id || id == this->goneId) {
            exchange->respond({421, {}, ""});
            return;
        }
        const Json body = Json::parse(request.body);
        const bool isStart = request.path == "/api/run-start";
        if (isStart) {
            writeLine("order-start ", id, " ", body["task"].get<std::string>(), " ", body["run"].get<int>());
        }
        if (isStart && id == this->servers.front().id && this->hangsUntil == absl::InfinitePast()) {
            this->hangsUntil = controlNow() + this->hangTime;
            this->servers.front().isDraining = true;
            this->servers.front().nextHeartbeat = absl::InfinitePast();
            writeLine("hangs ", id);
        }
        if (this->isHanging(id)) {
            this->unanswered.push_back(exchange);
            return;
        }
        const execution::WorkerCall call = decode(id, request.path, body);
        const execution::WorkerAnswer answer = this->fake.execute(controlNow(), call);
        const auto *poll = std::get_if<execution::PollOrder>(&call.order);
        if (poll != nullptr && poll->wait > absl::ZeroDuration() && answer.ended.empty()) {
            this->held.push_back({id, exchange, call, controlNow() + poll->wait});
        } else {
            respond(*exchange, answer);
        }
    }

    void answerPolls()
    {
        std::vector<HeldPoll> polls;
        polls.swap(this->held);
        for (const HeldPoll &poll : polls) {
            if (this->isHanging(poll.id)) {
                this->unanswered.push_back(poll.exchange);
            } else if (poll.due <= controlNow() || !this->fake.workers[poll.id].ended.empty()) {
                respond(*poll.exchange, this->fake.execute(controlNow(), poll.call));
            } else {
                this->held.push_back(poll);
            }
        }
    }

    static execution::WorkerCall decode(const std::string &id, const std::string &path, const Json &body)
    {
        execution::WorkerCall call;
        call.worker.id = id;
        call.fence = body.value("fencing_token", std::uint64_t{0});
        call.leaseEndOnWorkerClock = body.value("deadline_ms", std::int64_t{0});
        const workload::TaskKey task = body.contains("task") ? platform::parseTaskKey(body["task"]) : workload::TaskKey();
        if (path == "/api/run-start") {
            call.order = execution::StartOrder{task, body["run"], body.value("task_spec", ""), "", ""};
        } else if (path == "/api/run-stop") {
            call.order = execution::StopOrder{task, body["run"]};
        } else {
            call.order = execution::PollOrder{body.value("last_seen", std::uint64_t{0}), absl::Milliseconds(body.value("wait_ms", 0))};
        }
        return call;
    }

    static void respond(http::Exchange &exchange, const execution::WorkerAnswer &answer)
    {
        Json body{{"clock_ms", answer.clockMillis}, {"running", Json::array()}, {"ended", Json::array()}};
        for (const execution::ListedRun &run : answer.running) {
            body["running"].push_back({run.task.text(), run.run, "", run.percent, 0});
        }
        for (const execution::ListedEnd &end : answer.ended) {
            const char *how = end.kind == work::RunEndKind::Done ? "done" : end.kind == work::RunEndKind::Expired ? "lapsed" : "stopped";
            body["ended"].push_back({end.sequence, end.task.text(), end.run, how, ""});
        }
        const bool isAccepted = answer.kind == execution::AnswerKind::Accepted;
        if (!isAccepted) {
            body["reason"] = answer.kind == execution::AnswerKind::Fenced ? "fence" : answer.kind == execution::AnswerKind::OldRun ? "old" : "late";
        }
        exchange.respond({isAccepted ? 200 : 409, {{"Content-Type", "application/json"}}, body.dump()});
    }

    void sendHeartbeat(Server &server)
    {
        const Timestamp now = controlNow();
        if (server.id == this->goneId || now < server.nextHeartbeat) {
            return;
        }
        if (server.isDraining && now >= this->leavesAt) {
            this->goneId = server.id;
            writeLine("leaves ", server.id);
            this->call("DELETE", server, "", false);
            return;
        }
        server.nextHeartbeat = now + heartbeatInterval;
        Json body{{"service", "pool"},
                  {"address", absl::StrCat(server.host, ":", serverPort)},
                  {"zone", "z"},
                  {"state", server.isDraining ? "draining" : "ready"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"cold_remaining_ms", 0},
                  {"capacity", {{"cpu", 4000}, {"requested_memory_mb", 100'000}, {"gpu", 0}}},
                  {"labels", {"a", "r1"}},
                  {"clock_ms", execution::FakeWorkers::clock(this->fake.workers[server.id], now)},
                  {"sequence", ++server.sequence}};
        if (server.isDraining) {
            body["drain_remaining_ms"] = absl::ToInt64Milliseconds(std::min(stayAfterDrain, std::max(absl::ZeroDuration(), this->leavesAt - now)));
        }
        this->call("PUT", server, body.dump(), server.isDraining);
    }

    void call(const std::string &method, const Server &server, const std::string &body, bool saysDraining)
    {
        http::OutgoingRequest request;
        request.method = method;
        request.url = absl::StrCat("http://", this->controls[this->calls++ % this->controls.size()], "/api/instances/", server.id);
        request.body = body;
        request.timeout = absl::Seconds(1);
        this->pool.start(request, [this, id = server.id, saysDraining](const http::TransferResult &result) {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (saysDraining && result.isComplete && result.response.status == 200 && this->leavesAt == absl::InfiniteFuture()) {
                this->leavesAt = controlNow() + stayAfterDrain;
                writeLine("drain-confirmed ", id);
            }
        });
    }

    const std::vector<std::string> controls;
    const Duration hangTime;
    std::mutex mutex;
    execution::FakeWorkers fake;
    std::vector<Server> servers;
    std::vector<HeldPoll> held;
    /** Orders that the hanging server never answers. */
    std::vector<ExchangePointer> unanswered;
    Timestamp hangsUntil = absl::InfinitePast();
    Timestamp leavesAt = absl::InfiniteFuture();
    std::string goneId;
    std::size_t calls = 0;
    http::TransferPool pool;
};

} // namespace

} // namespace paddlepier::review

int main(int count, char **arguments)
{
    if (count < 5) {
        std::fprintf(stderr, "usage: hanging_servers NETWORK COUNT HANG_MILLIS CONTROL...\n");
        return 2;
    }
    paddlepier::log::initialize(paddlepier::log::Level::Error);
    ::signal(SIGPIPE, SIG_IGN);
    paddlepier::review::Servers servers(
        arguments[1], std::atoi(arguments[2]), std::vector<std::string>(arguments + 4, arguments + count), absl::Milliseconds(std::atoi(arguments[3])));
    while (true) {
        servers.step();
    }
}
