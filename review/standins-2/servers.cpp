// Stand-ins for the platform's backend servers, as a program of its own: servers of 4 cores at consecutive loopback addresses.
//
// They follow PROTOCOL.md: orders are executed by execution/fakeworkers.h, heartbeats go out every 1.5 s. The id of a job tells what its tasks do:
//     1a57...  they last until they are stopped, and are at work after 400 ms;
//     c4a5...  they last, and take each server down 6.5 s after they have started there; its next incarnation is back 2 to 3 s later;
//     bad0...  they fail by their own fault after 200 ms, on every server;
//     5104...  they end as done after 3 s;
//     others   they end as done after 300 ms.
// With a last argument, the first server drains: with its first start it announces that it leaves, stays for 6 s after the confirmation, and hangs
// for the given time, which may be 0: it answers no order then and never executes those that it gets, while its heartbeats go on.
// Writes a line to standard output for each event: milliseconds since 1970, event, server, and what belongs to it. Ended by a signal.

#include "paddlepier/base/clock.h"
#include "paddlepier/base/log.h"
#include "paddlepier/execution/fakeworkers.h"
#include "paddlepier/http/httpclient.h"
#include "paddlepier/http/httpserver.h"
#include "platform/codec.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
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
constexpr Duration heartbeatInterval = absl::Milliseconds(1500);
constexpr Duration stayAfterDrain = absl::Seconds(6);
constexpr Duration crashDelay = absl::Milliseconds(6500);
constexpr Duration restartDelay = absl::Milliseconds(2500);

template<typename... Parts>
void writeLine(const Parts &...parts)
{
    std::printf("%s\n", absl::StrCat(absl::ToUnixMillis(absl::Now()), " ", parts...).c_str());
    std::fflush(stdout);
}

work::StepSpecT makeStep(std::uint32_t milliProcessors, std::uint32_t estimatedMillis, bool isLasting)
{
    work::StepSpecT step;
    step.count = 1;
    step.demand = std::make_unique<work::Demand>(milliProcessors, 100, 0);
    step.estimatedMillis = estimatedMillis;
    step.isLasting = isLasting;
    return step;
}

bool isHopeless(const workload::TaskKey &task)
{
    return absl::StartsWith(task.job, "bad0");
}

bool isCrashing(const workload::TaskKey &task)
{
    return absl::StartsWith(task.job, "c4a5");
}

const work::StepSpecT &stepOf(const workload::TaskKey &task)
{
    static const work::StepSpecT lasting = makeStep(200, 400, true);
    static const work::StepSpecT hopeless = makeStep(1800, 200, false);
    static const work::StepSpecT slow = makeStep(500, 3000, false);
    static const work::StepSpecT quick = makeStep(500, 300, false);
    if (absl::StartsWith(task.job, "1a57") || isCrashing(task)) {
        return lasting;
    }
    return isHopeless(task) ? hopeless : absl::StartsWith(task.job, "5104") ? slow : quick;
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
    int incarnations = 0;
    Timestamp restartsAt = absl::InfiniteFuture();
    std::uint64_t sequence = 0;
    bool isDraining = false;
    Timestamp nextHeartbeat = absl::InfinitePast();
    std::unique_ptr<http::HttpServer> http;
};

class Servers
{
public:
    /** @param hang  how long the first server hangs; nothing if it doesn't drain */
    Servers(const std::string &network, int count, std::vector<std::string> controlAddresses, std::optional<Duration> hang)
        : controls(std::move(controlAddresses))
        , hangTime(hang)
        , fake(stepOf)
    {
        this->fake.observer = [](const execution::FakeWorkers::Event &event) {
            using Kind = execution::FakeWorkers::EventKind;
            const char *name = event.kind == Kind::Started ? "started " : event.kind == Kind::Ended ? "ended " : "acknowledged ";
            const char *end = event.kind == Kind::Started ? "" : work::EnumNameRunEndKind(event.end);
            writeLine(name, event.worker, " ", event.task.text(), " ", event.run, " ", end);
        };
        this->fake.crashDelay = crashDelay;
        this->fake.isCrashing = [](const workload::TaskKey &task, std::uint32_t) { return isCrashing(task); };
        this->fake.isFailing = [](const workload::TaskKey &task, std::uint32_t) { return isHopeless(task); };
        LimitSettings limits;
        limits.trafficThreads = 1;
        for (int number = 0; number < count; ++number) {
            Server &server = this->servers.emplace_back();
            server.host = absl::StrCat(network, ".", firstHost + static_cast<std::uint32_t>(number));
            this->startIncarnation(server, number + 1);
        }
        for (Server &server : this->servers) {
            const auto receive = [this, &server](const ExchangePointer &exchange) { this->receive(server, exchange); };
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
            for (std::size_t number = 0; number < this->servers.size(); ++number) {
                this->restartIfCrashed(this->servers[number], static_cast<int>(number) + 1);
                this->sendHeartbeat(this->servers[number]);
            }
        }
        this->pool.run(absl::Milliseconds(10));
    }

private:
    void startIncarnation(Server &server, int number)
    {
        server.id = absl::StrCat("i-", number, "-", ++server.incarnations);
        server.sequence = 0;
        server.nextHeartbeat = absl::InfinitePast();
        server.restartsAt = absl::InfiniteFuture();
        this->fake.workers[server.id];
    }

    /** A crashed server answers nothing; its next incarnation has another id. */
    void restartIfCrashed(Server &server, int number)
    {
        const bool hasCrashed = this->fake.workers[server.id].hasEnded && server.id != this->goneId;
        if (hasCrashed && server.restartsAt == absl::InfiniteFuture()) {
            server.restartsAt = controlNow() + restartDelay;
        } else if (hasCrashed && server.restartsAt <= controlNow()) {
            this->startIncarnation(server, number);
        }
    }

    bool isHanging(const std::string &id) const
    {
        return id == this->servers.front().id && controlNow() < this->hangsUntil;
    }

    void receive(const Server &server, const ExchangePointer &exchange)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const http::Request &request = exchange->request();
        const std::string id = server.id;
        if (this->fake.workers[id].hasEnded) {
            this->unanswered.push_back(exchange);
            return;
        }
        if (request.header("Paddlepier-Expected-Instance") != id || id == this->goneId) {
            exchange->respond({421, {}, ""});
            return;
        }
        const Json body = Json::parse(request.body);
        const bool isStart = request.path == "/api/run-start";
        if (isStart) {
            writeLine("order-start ", id, " ", body["task"].get<std::string>(), " ", body["run"].get<int>());
        }
        if (isStart && id == this->servers.front().id && this->hangTime && this->hangsUntil == absl::InfinitePast()) {
            this->hangsUntil = controlNow() + *this->hangTime;
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
            if (this->isHanging(poll.id) || this->fake.workers[poll.id].hasEnded) {
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
            const char *how = end.kind == work::RunEndKind::Done      ? "done"
                              : end.kind == work::RunEndKind::Failed  ? "failed"
                              : end.kind == work::RunEndKind::Expired ? "lapsed"
                                                                      : "stopped";
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
        const bool isLeaving = server.isDraining && now >= this->leavesAt;
        if (server.id == this->goneId || this->fake.workers[server.id].hasEnded || (now < server.nextHeartbeat && !isLeaving)) {
            return;
        }
        if (isLeaving) {
            this->goneId = server.id;
            writeLine("leaves ", server.id);
            this->fake.crash(server.id);
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
    const std::optional<Duration> hangTime;
    std::mutex mutex;
    execution::FakeWorkers fake;
    std::vector<Server> servers;
    std::vector<HeldPoll> held;
    /** Orders that are never answered. */
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
    constexpr int hangArgument = 6;
    if (count < hangArgument) {
        std::fprintf(stderr, "usage: servers NETWORK COUNT CONTROL CONTROL CONTROL [HANG_MILLIS]\n");
        return 2;
    }
    paddlepier::log::initialize(paddlepier::log::Level::Error);
    ::signal(SIGPIPE, SIG_IGN);
    std::optional<paddlepier::Duration> hang;
    if (count > hangArgument) {
        hang = absl::Milliseconds(std::atoi(arguments[hangArgument]));
    }
    paddlepier::review::Servers servers(arguments[1], std::atoi(arguments[2]), std::vector<std::string>(arguments + 3, arguments + hangArgument), hang);
    while (true) {
        servers.step();
    }
}
