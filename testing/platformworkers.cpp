// Stand-ins of the platform's workers, over HTTP.

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

/** A heartbeat that isn't acknowledged in this time goes to the next machine; PROTOCOL.md. */
constexpr Duration heartbeatPatience = absl::Seconds(1);

/** Machines that are asked for one heartbeat. */
constexpr int heartbeatTries = 3;

/** `drain_ms` of the platform's settings. */
constexpr Duration drainTime = absl::Seconds(2);

/** After this a worker leaves without a confirmation. */
constexpr Duration drainPatience = absl::Seconds(6);

/** Longer than anyone waits for the answer to an order. */
constexpr Duration lostFor = absl::Seconds(6);

/** A smaller room counts for starts after this: `contact_ms`, a heartbeat, and the longest that an order is late here. */
constexpr Duration shrinkingCountsAfter = absl::Seconds(7);

/** A life that a task has taken down is followed by another one within this time. */
constexpr Duration shortestCrash = absl::Milliseconds(300);
constexpr Duration longestCrash = absl::Seconds(3);

constexpr const char *lifeHeader = "Paddlepier-Expected-Instance";

execution::WorkerCall decode(const workload::Incarnation &life, const http::Request &request)
{
    const Json body = Json::parse(request.body);
    execution::WorkerCall call;
    call.worker = life;
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
    this->begin(this->seats[seat], seat);
}

void PlatformWorkers::revive(const std::string &seat)
{
    const absl::MutexLock lock(&this->mutex);
    if (!this->seats.at(seat).server) {
        this->begin(this->seats.at(seat), seat);
    }
}

void PlatformWorkers::begin(Seat &seat, const std::string &name)
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

std::unique_ptr<http::HttpServer> PlatformWorkers::end(Seat &seat)
{
    this->workers.crash(seat.incarnation.id);
    return std::move(seat.server);
}

void PlatformWorkers::crash(const std::string &seat, std::optional<Duration> heartbeatLag)
{
    // Stopped without the lock, which its handlers take.
    std::unique_ptr<http::HttpServer> server;
    const absl::MutexLock lock(&this->mutex);
    Seat &place = this->seats.at(seat);
    if (!place.server) {
        return;
    }
    if (heartbeatLag) {
        this->later(*heartbeatLag, *heartbeatLag, [this, seat, life = place.incarnation, body = this->announcementOf(place)] {
            this->send("PUT", seat, life, body, 1);
        });
    }
    server = this->end(place);
}

void PlatformWorkers::drain(const std::string &seat)
{
    const absl::MutexLock lock(&this->mutex);
    Seat &place = this->seats.at(seat);
    if (place.server && !place.isDraining) {
        place.isDraining = true;
        place.leavesAt = controlNow() + drainPatience;
        place.nextHeartbeat = absl::InfinitePast();
    }
}

void PlatformWorkers::setTrouble(const std::string &seat, WorkerTrouble trouble)
{
    const absl::MutexLock lock(&this->mutex);
    this->seats.at(seat).trouble = trouble;
}

void PlatformWorkers::setCapacity(const std::string &name, std::uint32_t milliProcessors)
{
    const absl::MutexLock lock(&this->mutex);
    Seat &seat = this->seats.at(name);
    seat.milliProcessors = milliProcessors;
    const std::uint32_t change = ++seat.capacityChanges;
    std::uint32_t &counted = this->workers.workers[seat.incarnation.id].capacity;
    if (milliProcessors >= counted) {
        counted = milliProcessors;
        return;
    }
    this->later(shrinkingCountsAfter, shrinkingCountsAfter, [this, name, life = seat.incarnation, change, milliProcessors] {
        this->mutex.AssertHeld();
        // A room that grew and shrank again meanwhile counts from its last announcement.
        if (this->seats.at(name).incarnation == life && this->seats.at(name).capacityChanges == change) {
            this->workers.workers[life.id].capacity = milliProcessors;
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
    const std::string_view meant = exchange->request().header(lifeHeader);
    // Nothing may wait at a server that is being stopped.
    if (!seat.server || (!meant.empty() && meant != seat.incarnation.id)) {
        exchange->respond({421, {}, ""});
        return;
    }
    const Received received{seat.incarnation, decode(seat.incarnation, exchange->request()), exchange};
    if (seat.trouble == WorkerTrouble::None) {
        this->handle(received);
    } else {
        this->handleInTrouble(seat.trouble, received);
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

void PlatformWorkers::handleInTrouble(WorkerTrouble trouble, const Received &received)
{
    if (trouble == WorkerTrouble::OrdersLate) {
        this->later(absl::ZeroDuration(), absl::Seconds(3), [this, received] {
            this->mutex.AssertHeld();
            write(*received.exchange, this->execute(received));
        });
        return;
    }
    this->workers.advance(controlNow());
    const execution::WorkerAnswer answer = this->execute(received);
    const bool isLost = trouble == WorkerTrouble::LosesAnswers;
    this->later(
        isLost ? lostFor : absl::Milliseconds(50), isLost ? lostFor : absl::Milliseconds(1500), [received, answer] { write(*received.exchange, answer); });
}

void PlatformWorkers::later(Duration least, Duration most, std::function<void()> action)
{
    const Duration span = std::uniform_real_distribution<double>(0, 1)(this->random) * (most - least);
    this->delayed.emplace(controlNow() + least + span, std::move(action));
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
    this->answerHeld();
    this->endCrashed(ended);
    this->announceDue();
    for (auto &[name, seat] : this->seats) {
        if (seat.server && seat.leavesAt <= controlNow()) {
            this->send("DELETE", name, seat.incarnation, seat.keepsId ? Json{{"born", seat.incarnation.born}}.dump() : "", heartbeatTries);
            ended.push_back(this->end(seat));
        }
    }
}

void PlatformWorkers::endCrashed(std::vector<std::unique_ptr<http::HttpServer>> &ended)
{
    for (auto &[name, seat] : this->seats) {
        if (!seat.server || !this->workers.workers[seat.incarnation.id].hasEnded) {
            continue;
        }
        ended.push_back(std::move(seat.server));
        this->later(shortestCrash, longestCrash, [this, name = name] {
            this->mutex.AssertHeld();
            if (!this->seats.at(name).server) {
                this->begin(this->seats.at(name), name);
            }
        });
    }
}

void PlatformWorkers::answerHeld()
{
    const std::vector<Received> waiting = std::exchange(this->held, {});
    for (const Received &received : waiting) {
        const execution::FakeWorkers::Worker &worker = this->workers.workers[received.incarnation.id];
        if (worker.hasEnded || worker.born != received.incarnation.born || !worker.ended.empty() || received.due <= controlNow()) {
            write(*received.exchange, this->execute(received));
        } else {
            this->held.push_back(received);
        }
    }
}

void PlatformWorkers::announceDue()
{
    const Timestamp now = controlNow();
    for (auto &[name, seat] : this->seats) {
        if (seat.server && seat.nextHeartbeat <= now) {
            seat.nextHeartbeat = now + heartbeatInterval;
            this->send("PUT", name, seat.incarnation, this->announcementOf(seat), heartbeatTries);
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

void PlatformWorkers::send(const std::string &method, const std::string &name, const workload::Incarnation &life, const std::string &body, int tries)
{
    http::OutgoingRequest request;
    request.method = method;
    request.url = absl::StrCat("http://", this->control(), "/api/instances/", life.id);
    request.body = body;
    request.timeout = heartbeatPatience;
    this->pool.start(request, [this, method, name, life, body, tries](const http::TransferResult &result) {
        const bool isDone = result.isComplete && result.response.status == 200;
        if (!isDone && tries > 1 && !this->stopping) {
            this->send(method, name, life, body, tries - 1);
        }
        const absl::MutexLock lock(&this->mutex);
        Seat &seat = this->seats.at(name);
        if (isDone && seat.incarnation == life && seat.isDraining && body.find("draining") != std::string::npos) {
            seat.leavesAt = std::min(seat.leavesAt, controlNow() + drainTime + absl::Milliseconds(300));
        }
    });
}

} // namespace paddlepier::testing
