// Stand-ins for the platform's workers, over HTTP.

#include "testing/platformworkers.h"

#include "paddlepier/base/clock.h"
#include "platform/codec.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace paddlepier::testing
{

namespace
{

using Json = nlohmann::json;

constexpr Duration heartbeatInterval = absl::Milliseconds(300);

/** A heartbeat that is not acknowledged within this time is sent to the next machine; PROTOCOL.md. */
constexpr Duration heartbeatTimeout = absl::Seconds(1);

/** Number of machines to which one heartbeat is sent at most. */
constexpr int heartbeatAttempts = 3;

/** `drain_ms` of the platform's settings. */
constexpr Duration drainTime = absl::Seconds(2);

/** A draining worker ends after this time even if no machine has acknowledged the drain. */
constexpr Duration maxDrainTime = absl::Seconds(6);

/** Longer than any caller's timeout for the answer to an order. */
constexpr Duration lostAnswerDelay = absl::Seconds(6);

/** A smaller capacity is enforced on starts after this: the sum of `contact_ms`, a heartbeat and the longest delay of an order here. */
constexpr Duration reductionEnforcedAfter = absl::Seconds(7);

/** Bounds of the time between the crash of an incarnation by its task and the start of the next one. */
constexpr Duration minRestartDelay = absl::Milliseconds(300);
constexpr Duration maxRestartDelay = absl::Seconds(3);

constexpr const char *incarnationHeader = "Paddlepier-Expected-Instance";

execution::WorkerCall decode(const workload::Incarnation &incarnation, const http::Request &request)
{
    const Json body = Json::parse(request.body);
    execution::WorkerCall call;
    call.worker = incarnation;
    call.fence = body.value("fencing_token", std::uint64_t{0});
    call.leaseEndOnWorkerClock = body.value("deadline_ms", std::int64_t{0});
    const workload::TaskKey task = body.contains("task") ? platform::parseTaskKey(body["task"]) : workload::TaskKey();
    if (request.path == "/api/run-start") {
        call.order = execution::StartOrder{task, body["run"], body.value("task_spec", ""), "", ""};
    } else if (request.path == "/api/run-stop") {
        call.order = execution::StopOrder{task, body["run"]};
    } else if (request.path == "/api/pace") {
        call.order = execution::PaceOrder{task, body["run"], body["percent"]};
    } else {
        call.order = execution::PollOrder{body["last_seen"], absl::Milliseconds(body.value("wait_ms", 0))};
    }
    return call;
}

std::string bodyOf(const execution::WorkerAnswer &answer)
{
    static const std::map<work::RunEndKind, std::string> ends{{work::RunEndKind::Done, "done"},
                                                              {work::RunEndKind::Failed, "failed"},
                                                              {work::RunEndKind::Stopped, "stopped"},
                                                              {work::RunEndKind::Expired, "lapsed"},
                                                              {work::RunEndKind::GangBroken, "broken"},
                                                              {work::RunEndKind::GangIncomplete, "alone"}};
    static const std::map<execution::AnswerKind, std::string> refusals{
        {execution::AnswerKind::Fenced, "fence"}, {execution::AnswerKind::OldRun, "old"}, {execution::AnswerKind::LeaseOver, "late"}};
    Json body;
    if (answer.born > 0) {
        body["born"] = answer.born;
    }
    body["clock_ms"] = answer.clockMillis;
    body["running"] = Json::array();
    body["ended"] = Json::array();
    for (const execution::ListedRun &run : answer.running) {
        body["running"].push_back({run.task.text(), run.run, run.checkpoint, run.percent, run.load});
    }
    for (const execution::ListedEnd &end : answer.ended) {
        body["ended"].push_back({end.sequence, end.task.text(), end.run, ends.at(end.kind), end.checkpoint});
    }
    if (answer.kind != execution::AnswerKind::Accepted) {
        body["reason"] = refusals.at(answer.kind);
    }
    return body.dump();
}

void write(http::Exchange &exchange, const execution::WorkerAnswer &answer)
{
    if (answer.kind == execution::AnswerKind::OtherLife) {
        exchange.respond({421, {}, ""});
        return;
    }
    const int status = answer.kind == execution::AnswerKind::Accepted ? 200 : 409;
    exchange.respond({status, {{"Content-Type", "application/json"}}, bodyOf(answer)});
}

} // namespace

PlatformWorkers::PlatformWorkers(std::function<std::string()> controlAddress, execution::FakeWorkers::Lookup lookup, std::uint64_t seed)
    : control(std::move(controlAddress))
    , workers(std::move(lookup))
    , random(seed)
{
    this->thread = std::thread([this] { this->run(); });
}

PlatformWorkers::~PlatformWorkers()
{
    this->stopping = true;
    this->thread.join();
    std::vector<std::unique_ptr<http::HttpServer>> servers;
    {
        const absl::MutexLock lock(&this->mutex);
        for (const Received &received : this->held) {
            write(*received.exchange, this->execute(received));
        }
        for (auto &[name, seat] : this->seats) {
            servers.push_back(std::move(seat.server));
        }
    }
    for (const auto &server : servers) {
        if (server) {
            server->stop(absl::Milliseconds(200));
        }
    }
}

void PlatformWorkers::add(const std::string &seat, const Endpoint &address, bool keepsId)
{
    const absl::MutexLock lock(&this->mutex);
    this->seats[seat].address = address;
    this->seats[seat].keepsId = keepsId;
    this->startIncarnation(this->seats[seat], seat);
}

void PlatformWorkers::revive(const std::string &seat)
{
    const absl::MutexLock lock(&this->mutex);
    if (!this->seats.at(seat).server) {
        this->startIncarnation(this->seats.at(seat), seat);
    }
}

void PlatformWorkers::startIncarnation(Seat &seat, const std::string &name)
{
    LimitSettings limits;
    limits.trafficThreads = 1;
    ++seat.incarnations;
    if (seat.keepsId) {
        seat.incarnation = {absl::StrCat("i-", name), static_cast<std::uint64_t>(wallMicros() / 1000)};
        this->workers.restart(controlNow(), seat.incarnation.id);
        this->workers.workers[seat.incarnation.id].born = seat.incarnation.born;
    } else {
        seat.incarnation = {absl::StrCat("i-", name, "-", seat.incarnations)};
    }
    seat.sequence = 0;
    seat.milliProcessors = fullCapacity;
    this->workers.workers[seat.incarnation.id].capacity = fullCapacity;
    seat.isDraining = false;
    seat.leavesAt = absl::InfiniteFuture();
    seat.nextHeartbeat = absl::InfinitePast();
    seat.server = std::make_unique<http::HttpServer>(
        seat.address, limits, [this, name](const std::shared_ptr<http::Exchange> &exchange) { this->receive(name, exchange); });
}

std::unique_ptr<http::HttpServer> PlatformWorkers::endIncarnation(Seat &seat)
{
    this->workers.crash(seat.incarnation.id);
    return std::move(seat.server);
}

void PlatformWorkers::crash(const std::string &seat, std::optional<Duration> heartbeatLag)
{
    // Destroyed after the lock is released: stopping the server waits for its handlers, which take the lock.
    std::unique_ptr<http::HttpServer> server;
    const absl::MutexLock lock(&this->mutex);
    Seat &state = this->seats.at(seat);
    if (!state.server) {
        return;
    }
    if (heartbeatLag) {
        this->runLater(*heartbeatLag, *heartbeatLag, [this, seat, incarnation = state.incarnation, body = this->announcementOf(state)] {
            this->send("PUT", seat, incarnation, body, 1);
        });
    }
    server = this->endIncarnation(state);
}

void PlatformWorkers::drain(const std::string &seat)
{
    const absl::MutexLock lock(&this->mutex);
    Seat &state = this->seats.at(seat);
    if (state.server && !state.isDraining) {
        state.isDraining = true;
        state.leavesAt = controlNow() + maxDrainTime;
        state.nextHeartbeat = absl::InfinitePast();
    }
}

void PlatformWorkers::setFault(const std::string &seat, WorkerFault fault)
{
    const absl::MutexLock lock(&this->mutex);
    this->seats.at(seat).fault = fault;
}

void PlatformWorkers::setCapacity(const std::string &name, std::uint32_t milliProcessors)
{
    const absl::MutexLock lock(&this->mutex);
    Seat &seat = this->seats.at(name);
    seat.milliProcessors = milliProcessors;
    const std::uint32_t change = ++seat.capacityChanges;
    std::uint32_t &enforced = this->workers.workers[seat.incarnation.id].capacity;
    if (milliProcessors >= enforced) {
        enforced = milliProcessors;
        return;
    }
    this->runLater(reductionEnforcedAfter, reductionEnforcedAfter, [this, name, incarnation = seat.incarnation, change, milliProcessors] {
        this->mutex.AssertHeld();
        // If the capacity was announced again meanwhile, only the last announcement takes effect.
        if (this->seats.at(name).incarnation == incarnation && this->seats.at(name).capacityChanges == change) {
            this->workers.workers[incarnation.id].capacity = milliProcessors;
        }
    });
}

bool PlatformWorkers::isUp(const std::string &seat)
{
    const absl::MutexLock lock(&this->mutex);
    return this->seats.at(seat).server != nullptr;
}

void PlatformWorkers::inspect(const std::function<void(execution::FakeWorkers &)> &action)
{
    const absl::MutexLock lock(&this->mutex);
    action(this->workers);
}

std::vector<std::string> PlatformWorkers::violations()
{
    const absl::MutexLock lock(&this->mutex);
    return this->workers.violations;
}

void PlatformWorkers::receive(const std::string &name, const std::shared_ptr<http::Exchange> &exchange)
{
    const absl::MutexLock lock(&this->mutex);
    const Seat &seat = this->seats.at(name);
    const std::string_view expectedId = exchange->request().header(incarnationHeader);
    // A server that is being stopped must not hold requests.
    if (!seat.server || (!expectedId.empty() && expectedId != seat.incarnation.id)) {
        exchange->respond({421, {}, ""});
        return;
    }
    const Received received{seat.incarnation, decode(seat.incarnation, exchange->request()), exchange};
    if (seat.fault == WorkerFault::None) {
        this->handle(received);
    } else {
        this->handleWithFault(seat.fault, received);
    }
}

execution::WorkerAnswer PlatformWorkers::execute(const Received &received)
{
    if (this->workers.workers[received.incarnation.id].born != received.incarnation.born) {
        execution::WorkerAnswer answer;
        answer.kind = execution::AnswerKind::OtherLife;
        return answer;
    }
    return this->workers.execute(controlNow(), received.call);
}

void PlatformWorkers::handle(const Received &received)
{
    const Timestamp now = controlNow();
    this->workers.advance(now);
    const execution::WorkerAnswer answer = this->execute(received);
    const auto *poll = std::get_if<execution::PollOrder>(&received.call.order);
    if (poll != nullptr && answer.ended.empty() && answer.kind == execution::AnswerKind::Accepted) {
        this->held.push_back(received);
        this->held.back().due = now + poll->wait;
    } else {
        write(*received.exchange, answer);
    }
}

void PlatformWorkers::handleWithFault(WorkerFault fault, const Received &received)
{
    if (fault == WorkerFault::DelayedOrders) {
        this->runLater(absl::ZeroDuration(), absl::Seconds(3), [this, received] {
            this->mutex.AssertHeld();
            write(*received.exchange, this->execute(received));
        });
        return;
    }
    this->workers.advance(controlNow());
    const execution::WorkerAnswer answer = this->execute(received);
    const bool isLost = fault == WorkerFault::LostAnswers;
    this->runLater(isLost ? lostAnswerDelay : absl::Milliseconds(50), isLost ? lostAnswerDelay : absl::Milliseconds(1500), [received, answer] {
        write(*received.exchange, answer);
    });
}

void PlatformWorkers::runLater(Duration minDelay, Duration maxDelay, std::function<void()> action)
{
    const Duration delay = std::uniform_real_distribution<double>(0, 1)(this->random) * (maxDelay - minDelay);
    this->delayed.emplace(controlNow() + minDelay + delay, std::move(action));
}

void PlatformWorkers::run()
{
    while (!this->stopping) {
        this->runDueActions();
        this->pool.run(absl::Milliseconds(20));
    }
}

void PlatformWorkers::runDueActions()
{
    std::vector<std::unique_ptr<http::HttpServer>> ended;
    const absl::MutexLock lock(&this->mutex);
    this->workers.advance(controlNow());
    while (!this->delayed.empty() && this->delayed.begin()->first <= controlNow()) {
        const std::function<void()> action = std::move(this->delayed.begin()->second);
        this->delayed.erase(this->delayed.begin());
        action();
    }
    this->answerHeldPolls();
    this->restartCrashed(ended);
    this->sendDueHeartbeats();
    for (auto &[name, seat] : this->seats) {
        if (seat.server && seat.leavesAt <= controlNow()) {
            this->send("DELETE", name, seat.incarnation, seat.keepsId ? Json{{"born", seat.incarnation.born}}.dump() : "", heartbeatAttempts);
            ended.push_back(this->endIncarnation(seat));
        }
    }
}

void PlatformWorkers::restartCrashed(std::vector<std::unique_ptr<http::HttpServer>> &ended)
{
    for (auto &[name, seat] : this->seats) {
        if (!seat.server || !this->workers.workers[seat.incarnation.id].hasEnded) {
            continue;
        }
        ended.push_back(std::move(seat.server));
        this->runLater(minRestartDelay, maxRestartDelay, [this, name = name] {
            this->mutex.AssertHeld();
            if (!this->seats.at(name).server) {
                this->startIncarnation(this->seats.at(name), name);
            }
        });
    }
}

void PlatformWorkers::answerHeldPolls()
{
    const std::vector<Received> polls = std::exchange(this->held, {});
    for (const Received &received : polls) {
        const execution::FakeWorkers::Worker &worker = this->workers.workers[received.incarnation.id];
        if (worker.hasEnded || worker.born != received.incarnation.born || !worker.ended.empty() || received.due <= controlNow()) {
            write(*received.exchange, this->execute(received));
        } else {
            this->held.push_back(received);
        }
    }
}

void PlatformWorkers::sendDueHeartbeats()
{
    const Timestamp now = controlNow();
    for (auto &[name, seat] : this->seats) {
        if (seat.server && seat.nextHeartbeat <= now) {
            seat.nextHeartbeat = now + heartbeatInterval;
            this->send("PUT", name, seat.incarnation, this->announcementOf(seat), heartbeatAttempts);
        }
    }
}

std::string PlatformWorkers::announcementOf(Seat &seat)
{
    Json body{{"service", "pool"},
              {"address", seat.address.text()},
              {"zone", "z"},
              {"state", seat.isDraining ? "draining" : "ready"},
              {"version", "v1"},
              {"slots", 8},
              {"cold_remaining_ms", 0},
              {"capacity", {{"cpu", seat.milliProcessors}, {"requested_memory_mb", 100'000}}},
              {"labels", {"a", "r1"}},
              {"clock_ms", execution::FakeWorkers::clock(this->workers.workers[seat.incarnation.id], controlNow())},
              {"sequence", ++seat.sequence}};
    if (seat.keepsId) {
        body["born"] = seat.incarnation.born;
    }
    if (seat.isDraining) {
        body["drain_remaining_ms"] = absl::ToInt64Milliseconds(drainTime);
    }
    return body.dump();
}

void PlatformWorkers::send(const std::string &method, const std::string &name, const workload::Incarnation &incarnation, const std::string &body, int attempts)
{
    http::OutgoingRequest request;
    request.method = method;
    request.url = absl::StrCat("http://", this->control(), "/api/instances/", incarnation.id);
    request.body = body;
    request.timeout = heartbeatTimeout;
    this->pool.start(request, [this, method, name, incarnation, body, attempts](const http::TransferResult &result) {
        const bool isDone = result.isComplete && result.response.status == 200;
        if (!isDone && attempts > 1 && !this->stopping) {
            this->send(method, name, incarnation, body, attempts - 1);
        }
        const absl::MutexLock lock(&this->mutex);
        Seat &seat = this->seats.at(name);
        if (isDone && seat.incarnation == incarnation && seat.isDraining && body.find("draining") != std::string::npos) {
            seat.leavesAt = std::min(seat.leavesAt, controlNow() + drainTime + absl::Milliseconds(300));
        }
    });
}

} // namespace paddlepier::testing
