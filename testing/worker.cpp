// Stand-in for a backend server.

#include "testing/worker.h"

#include "paddlepier/instance/quickheaders.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace paddlepier::testing
{

namespace
{

constexpr Duration announceTimeout = absl::Seconds(2);
constexpr std::uint32_t waitMillis = 1000;
constexpr Duration retryDelay = absl::Milliseconds(200);
constexpr Duration stallTime = absl::Seconds(30);

/** The number after `name=` in a query or command; @p fallback if there is none. */
std::int64_t numberAfter(const std::string &text, const std::string &name, std::int64_t fallback)
{
    const std::size_t at = text.find(name + "=");
    std::int64_t value = 0;
    if (at == std::string::npos) {
        return fallback;
    }
    const std::string digits = text.substr(at + name.size() + 1);
    const bool isRead = absl::SimpleAtoi(digits.substr(0, digits.find_first_not_of("0123456789")), &value);
    return isRead ? value : fallback;
}

wire::TaskLease toLease(const std::pair<std::uint64_t, std::uint32_t> &key, std::uint64_t epoch)
{
    return {key.first, key.second, epoch};
}

} // namespace

Fault faultFromName(const std::string &name)
{
    static constexpr std::array<std::pair<std::string_view, Fault>, 6> faultNames{{
        {"none", Fault::None},
        {"truncate", Fault::Truncate},
        {"wrong-id", Fault::WrongId},
        {"stall", Fault::Stall},
        {"fail", Fault::FailEverything},
        {"doubled", Fault::Doubled},
    }};
    for (const auto &[known, fault] : faultNames) {
        if (known == name) {
            return fault;
        }
    }
    throw InvalidArgumentError(absl::StrCat("unknown fault \"", name, "\""));
}

std::int64_t monotonicMicros()
{
    return absl::ToUnixMicros(controlNow());
}

StandinWorker::StandinWorker(WorkerOptions workerOptions)
    : options(std::move(workerOptions))
    , log(this->options.logPath, std::ios::app)
    , sequence(static_cast<std::uint64_t>(wallMicros()))
{
    const bool isRaw = this->options.fault == Fault::Truncate || this->options.fault == Fault::Doubled;
    if (isRaw) {
        this->serving = std::thread([this] { this->serveRaw(); });
    } else {
        LimitSettings limits;
        limits.trafficThreads = 1;
        this->server = std::make_unique<http::HttpServer>(
            this->options.address, limits, [this](const std::shared_ptr<http::Exchange> &exchange) { this->serve(exchange); });
        this->serving = std::thread([this] {
            while (!this->stopping) {
                this->sendDueAnswers();
                absl::SleepFor(absl::Milliseconds(1));
            }
        });
    }
    this->announcer = std::thread([this] { this->run(); });
}

StandinWorker::~StandinWorker()
{
    this->stopping = true;
    this->announcer.join();
    this->serving.join();
}

void StandinWorker::drain()
{
    if (!this->draining.exchange(true)) {
        this->writeLog("drain");
    }
}

void StandinWorker::writeLog(const std::string &line)
{
    const absl::MutexLock lock(&this->mutex);
    this->log << monotonicMicros() << " " << line << "\n" << std::flush;
}

void StandinWorker::run()
{
    const Timestamp start = controlNow();
    while (!this->stopping) {
        const Timestamp now = controlNow();
        if (now - start >= this->options.drainAfter && !this->draining) {
            this->drain();
            this->hasUnreportedChange = true;
        }
        this->endDueTasks();
        const bool hasTimedOut = this->isAnnouncementInFlight && now >= this->announceDeadline;
        const bool isDue = !this->isAnnouncementInFlight && now >= this->nextAnnouncement;
        if (hasTimedOut || isDue || (this->hasUnreportedChange && now >= this->nextAnnouncement)) {
            this->nextEntry += hasTimedOut ? 1 : 0;
            this->announce();
        }
        this->pool.run(absl::Milliseconds(5));
    }
}

wire::AnnounceRequestT StandinWorker::describe()
{
    wire::AnnounceRequestT request;
    request.worker = this->options.name;
    request.partner = this->options.partner;
    request.dataCentre = this->options.dataCentre;
    request.rack = this->options.rack;
    request.address = this->options.address.text();
    request.sequence = ++this->sequence;
    request.clockMicros = monotonicMicros();
    request.capacity = this->options.capacity;
    request.slots = this->options.slots;
    request.connections = this->options.connections;
    request.draining = this->draining;
    request.term = this->term;
    request.replySequence = this->replySequence;
    request.waitMillis = waitMillis;
    const absl::MutexLock lock(&this->mutex);
    for (const auto &[key, task] : this->running) {
        request.running.push_back(toLease(key, task.epoch));
    }
    for (const wire::FinishedAttemptT &attempt : this->finished) {
        request.finished.push_back(std::make_unique<wire::FinishedAttemptT>(attempt));
    }
    return request;
}

void StandinWorker::announce()
{
    const wire::AnnounceRequestT request = this->describe();
    this->hasUnreportedChange = false;
    this->isAnnouncementInFlight = true;
    this->announceDeadline = controlNow() + announceTimeout;
    this->nextAnnouncement = controlNow() + absl::Milliseconds(20);
    http::OutgoingRequest outgoing;
    outgoing.url = absl::StrCat("http://", this->options.entries[this->nextEntry % this->options.entries.size()], "/v1/WorkerService/Announce");
    outgoing.headers = {{"Content-Type", "application/x-flatbuffers"}, {"Authorization", absl::StrCat("Bearer ", this->options.token)}};
    outgoing.body = wire::pack(request);
    outgoing.timeout = announceTimeout;
    const std::uint64_t announced = request.sequence;
    const std::int64_t sentClock = request.clockMicros;
    this->pool.start(std::move(outgoing),
                     [this, announced, sentClock](const http::TransferResult &result) { this->handleAnswer(announced, sentClock, result); });
}

void StandinWorker::handleAnswer(std::uint64_t announced, std::int64_t sentClock, const http::TransferResult &result)
{
    if (announced != this->sequence) {
        return; // This announcement timed out, and a later one is in flight.
    }
    this->isAnnouncementInFlight = false;
    if (!result.isComplete || result.response.status != 200) {
        ++this->nextEntry;
        this->nextAnnouncement = controlNow() + retryDelay;
        return;
    }
    const auto reply = wire::unpack<wire::AnnounceReplyT>(result.response.body);
    if (reply.term >= this->term && reply.sequence == this->sequence) {
        this->nextAnnouncement = controlNow() + absl::Milliseconds(reply.nextAnnounceMillis);
        this->handleReply(reply, sentClock);
    }
}

void StandinWorker::handleReply(const wire::AnnounceReplyT &reply, std::int64_t sentClock)
{
    this->term = reply.term;
    this->replySequence = reply.sequence;
    this->leaseEndClock = sentClock + static_cast<std::int64_t>(reply.leaseMillis) * 1000;
    std::map<TaskKey, std::uint64_t> renewed;
    for (const wire::TaskLease &lease : reply.renewed) {
        renewed[{lease.job(), lease.index()}] = lease.epoch();
    }
    std::vector<TaskKey> stopped;
    {
        const absl::MutexLock lock(&this->mutex);
        for (const auto &[key, task] : this->running) {
            const auto found = renewed.find(key);
            if (found == renewed.end() || found->second != task.epoch) {
                stopped.push_back(key);
            }
        }
        std::erase_if(this->finished, [&reply](const wire::FinishedAttemptT &attempt) {
            return std::any_of(
                reply.recorded.begin(), reply.recorded.end(), [&attempt](const wire::TaskLease &lease) { return lease.epoch() == attempt.lease.epoch(); });
        });
    }
    for (const TaskKey &key : stopped) {
        this->stopTask(key);
        this->hasUnreportedChange = true;
    }
    for (const auto &assignment : reply.started) {
        this->startTask(*assignment);
    }
}

void StandinWorker::startTask(const wire::AssignmentT &assignment)
{
    const wire::TaskLease &lease = assignment.lease;
    const TaskKey key{lease.job(), lease.index()};
    const bool fails = this->options.fault == Fault::FailEverything || absl::StrContains(assignment.command, "fail");
    const std::int64_t millis = numberAfter(assignment.command, "millis", static_cast<std::int64_t>(assignment.runSeconds) * 1000);
    Task task;
    task.epoch = lease.epoch();
    task.outcome = fails ? wire::AttemptOutcome::Failed : wire::AttemptOutcome::Succeeded;
    const bool isEndless = assignment.kind == wire::JobKind::Service && !fails;
    task.end = isEndless ? absl::InfiniteFuture() : controlNow() + absl::Milliseconds(millis);
    {
        const absl::MutexLock lock(&this->mutex);
        if (!this->running.emplace(key, task).second) {
            return;
        }
        this->hasUnreportedChange = true;
    }
    const wire::Resources &need = assignment.resources;
    this->writeLog(absl::StrCat(
        "task-start ", key.first, " ", key.second, " ", task.epoch, " ", need.milliProcessors(), " ", need.memoryMegabytes(), " ", need.accelerators()));
}

void StandinWorker::stopTask(const TaskKey &key)
{
    std::uint64_t epoch = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        epoch = this->running.at(key).epoch;
        this->running.erase(key);
    }
    this->writeLog(absl::StrCat("task-end ", key.first, " ", key.second, " ", epoch));
}

void StandinWorker::endDueTasks()
{
    const bool hasLeaseExpired = monotonicMicros() >= this->leaseEndClock;
    const Timestamp now = controlNow();
    std::vector<std::pair<TaskKey, Task>> ended;
    {
        const absl::MutexLock lock(&this->mutex);
        for (const auto &[key, task] : this->running) {
            if (hasLeaseExpired || task.end <= now) {
                ended.emplace_back(key, task);
            }
        }
    }
    for (const auto &[key, task] : ended) {
        this->stopTask(key);
        this->hasUnreportedChange = true;
        if (task.end <= now) {
            wire::FinishedAttemptT attempt;
            attempt.lease = toLease(key, task.epoch);
            attempt.outcome = task.outcome;
            const absl::MutexLock lock(&this->mutex);
            this->finished.push_back(attempt);
        }
    }
}

void StandinWorker::serve(const std::shared_ptr<http::Exchange> &exchange)
{
    const http::Request &request = exchange->request();
    const std::string requestId(request.header(instance::requestIdHeader));
    std::int64_t validUntil = 0;
    const bool isFenced = absl::SimpleAtoi(std::string(request.header(instance::validUntilHeader)), &validUntil);
    if (isFenced && monotonicMicros() > validUntil) {
        exchange->respond({503, {{instance::requestIdHeader, requestId}, {instance::refusedHeader, "share-expired"}}, ""});
        return;
    }
    std::uint32_t busyNow = 0;
    {
        const absl::MutexLock lock(&this->mutex);
        busyNow = ++this->busy;
    }
    const std::int64_t key = numberAfter(request.target, "key", 0);
    this->writeLog(absl::StrCat("request ", requestId, " ", key, " ", busyNow));
    DelayedAnswer answer;
    const bool stalls = this->options.fault == Fault::Stall;
    answer.due = controlNow() + (stalls ? stallTime : absl::Milliseconds(numberAfter(request.target, "delay", 0)));
    answer.exchange = exchange;
    const std::string sentId = this->options.fault == Fault::WrongId ? "someone-elses" : requestId;
    const int status = this->options.fault == Fault::FailEverything ? 500 : 200;
    const std::string target = this->options.fault == Fault::WrongId ? "/someone-elses" : request.target;
    const std::string body = absl::StrCat("answer to ", target, " ", request.body);
    answer.answer = {status, {{"Content-Type", "text/plain"}, {instance::requestIdHeader, sentId}}, body};
    const absl::MutexLock lock(&this->mutex);
    this->delayed.push(std::move(answer));
}

void StandinWorker::sendDueAnswers()
{
    const Timestamp now = controlNow();
    const absl::MutexLock lock(&this->mutex);
    while (!this->delayed.empty() && this->delayed.top().due <= now) {
        const DelayedAnswer answer = this->delayed.top();
        this->delayed.pop();
        --this->busy;
        answer.exchange->respond(answer.answer);
    }
}

void StandinWorker::serveRaw()
{
    this->rawListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->rawListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->options.address.port);
    inet_pton(AF_INET, this->options.address.address.c_str(), &address.sin_addr);
    if (::bind(this->rawListener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->rawListener, SOMAXCONN) != 0) {
        throw InvalidArgumentError("cannot listen on " + this->options.address.text());
    }
    while (!this->stopping) {
        pollfd entry{this->rawListener, POLLIN, 0};
        if (::poll(&entry, 1, 20) <= 0) {
            continue;
        }
        const int connection = ::accept(this->rawListener, nullptr, nullptr);
        std::array<char, 8192> buffer{};
        const ssize_t count = ::recv(connection, buffer.data(), buffer.size() - 1, 0);
        const std::string text(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        const std::string name = absl::StrCat(instance::requestIdHeader, ": ");
        const std::size_t at = text.find(name);
        const std::string id = at == std::string::npos ? "" : text.substr(at + name.size(), text.find("\r\n", at) - at - name.size());
        this->writeLog(absl::StrCat("request ", id, " 0 1"));
        const bool truncates = this->options.fault == Fault::Truncate;
        const std::size_t targetAt = text.find(' ') + 1;
        const std::string body = absl::StrCat("answer to ", text.substr(targetAt, text.find(' ', targetAt) - targetAt), " ");
        const std::size_t length = body.size() + (truncates ? 100 : 0);
        const std::string head = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", name, id, "\r\nContent-Length: ", length, "\r\n\r\n", body);
        const std::string bytes = truncates ? head : head + head;
        ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        ::close(connection);
    }
    ::close(this->rawListener);
}

} // namespace paddlepier::testing
