// The platform, workers and callers of the review's cases.

#include "review/standins/cell.h"

#include "paddlepier/settings/settings.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <stdexcept>

namespace paddlepier::review
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t coreCount = 3;
constexpr std::uint16_t internalPort = 7720;
constexpr std::uint16_t frontPort = 8161;
constexpr std::uint16_t controlPort = 8166;
constexpr std::uint16_t readyPort = 8167;
constexpr std::uint16_t workerPort = 8080;
constexpr std::array<std::uint16_t, 7> usedPorts{internalPort, frontPort, controlPort, readyPort, workerPort, 9401, 9402};
constexpr std::array<const char *, 3> zones{"hall-ferrara", "hall-cento", "hall-bondeno"};

/** The longest lease that a worker grants: bounds.max_hold_ms. */
constexpr std::int64_t maxHoldMillis = 10'000;
constexpr std::int64_t heartbeatMillis = 1500;
constexpr std::int64_t restartMillis = 500;

bool isFree(const std::string &ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool isBound = ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(socket);
    return isBound;
}

/** A part of the loopback range in which the used ports are free. */
std::string chooseNetwork()
{
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
        std::string network = absl::StrCat("127.", 16 + random() % 200, ".", 1 + random() % 250);
        bool isUsable = true;
        for (std::size_t host = 1; host < 40 && isUsable; ++host) {
            isUsable = std::all_of(usedPorts.begin(), usedPorts.end(), [&](std::uint16_t port) { return isFree(absl::StrCat(network, ".", host), port); });
        }
        if (isUsable) {
            return network;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

} // namespace

std::int64_t millisNow()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

void sleepMillis(std::int64_t millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string &path)
    : file(path)
{
    if (!this->file) {
        throw std::runtime_error("the record can't be written");
    }
}

void Record::write(const std::string &line)
{
    const absl::MutexLock lock(&this->mutex);
    this->file << millisNow() << " ms  " << line << std::endl;
}

Answer call(Record &record,
            const std::string &address,
            const std::string &method,
            const std::string &path,
            const std::string &host,
            const std::string &body,
            std::int64_t timeoutMillis)
{
    constexpr std::size_t recordedBytes = 300;
    http::OutgoingRequest request;
    request.method = method;
    request.url = absl::StrCat("http://", address, path);
    request.headers = {{"Content-Type", "application/json"}, {"Paddlepier-Deadline-Remaining", absl::StrCat(timeoutMillis)}};
    if (!host.empty()) {
        request.headers.emplace_back("Host", host);
    }
    request.body = body;
    request.timeout = absl::Milliseconds(timeoutMillis);
    request.mayReuseConnection = false;
    record.write(absl::StrCat("sent ", method, " ", path, " to ", address, " ", body.substr(0, recordedBytes)));
    const http::TransferResult result = http::fetch(request);
    Answer answer = result.isComplete ? Answer{result.response.status, result.response.body} : Answer{};
    record.write(absl::StrCat("answered ",
                              method,
                              " ",
                              path,
                              " by ",
                              address,
                              ": ",
                              answer.status == 0 ? "no answer" : absl::StrCat(answer.status),
                              " ",
                              answer.body.substr(0, recordedBytes)));
    return answer;
}

std::string configurationText(std::uint64_t version, const std::vector<Route> &routes, const std::string &service)
{
    Json configuration;
    configuration["version"] = version;
    configuration["routes"] = Json::array();
    for (const Route &route : routes) {
        configuration["routes"].push_back({{"name", route.name},
                                           {"host", route.host},
                                           {"path_prefix", route.prefix},
                                           {"kind", "unsafe"},
                                           {"timeout_ms", 3000},
                                           {"target_latency_ms", 1200},
                                           {"priority", 1},
                                           {"service", service},
                                           {"max_attempts", 4},
                                           {"stretch", 2.2}});
    }
    configuration["services"] = {{{"name", service},
                                  {"health_path", "/health"},
                                  {"max_connections", 64},
                                  {"protocol", "h1"},
                                  {"tls", false},
                                  {"admission_check", false},
                                  {"spare", false}}};
    configuration["limits"] = {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return configuration.dump();
}

std::string submissionText(const std::string &payload, const std::string &requiredLabel)
{
    Json submission;
    submission["task_spec"] = payload;
    submission["steps"] = {{{"count", 1}, {"cpu", 500}, {"requested_memory_mb", 256}, {"estimated_ms", 900}}};
    if (!requiredLabel.empty()) {
        submission["steps"][0]["requirements"] = requiredLabel;
    }
    return submission.dump();
}

Cell::Cell(Record &caseRecord, std::size_t entryCount)
    : record(caseRecord)
    , network(chooseNetwork())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "paddlepier-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    for (std::size_t number = 0; number < coreCount + entryCount; ++number) {
        Node node;
        node.isCore = number < coreCount;
        node.zone = zones.at(number % zones.size());
        node.name = absl::StrCat(node.isCore ? "core-" : "front-", node.zone, "-", number);
        node.ip = this->address(number);
        std::filesystem::create_directories(absl::StrCat(this->folder, "/", node.name, "/data"));
        this->nodes.push_back(std::move(node));
    }
}

Cell::~Cell()
{
    for (Node &node : this->nodes) {
        if (node.pid > 0) {
            ::kill(node.pid, SIGKILL);
            ::waitpid(node.pid, nullptr, 0);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string Cell::address(std::size_t number) const
{
    return absl::StrCat(this->network, ".", number + 1);
}

std::string Cell::front(std::size_t entry) const
{
    return absl::StrCat(this->nodes.at(coreCount + entry).ip, ":", frontPort);
}

std::string Cell::control(std::size_t core) const
{
    return absl::StrCat(this->nodes.at(core).ip, ":", controlPort);
}

void Cell::writeSettings(const Node &node) const
{
    std::ofstream file(absl::StrCat(this->folder, "/", node.name, "/node.toml"));
    file << "node_name = \"" << node.name << "\"\nrole = \"" << (node.isCore ? "core" : "entry") << "\"\nmachine_class = \"" << (node.isCore ? "core" : "front")
         << "\"\nserves = [\"" << (node.isCore ? "control" : "front") << "\"]\nip_address = \"" << node.ip << "\"\nzone = \"" << node.zone
         << "\"\nregion = \"emilia\"\ninternal_port_range = [" << internalPort << "," << internalPort + 15 << "]\nseeds = [\"" << this->control(0) << "\",\""
         << this->control(1) << "\",\"" << this->control(2) << "\"]\nfirst_start = " << (node.hasRun ? "false" : "true")
         << "\ncounts_as_loss = " << (node.isCore ? "true" : "false")
         << "\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
            "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\n"
            "config_mode = \"highest\"\norders = \"call\"\n";
    if (node.isCore) {
        file << "data_directory = \"" << this->folder << "/" << node.name << "/data\"\n";
    }
    file << "[zones]\nhall-ferrara = \"emilia\"\nhall-cento = \"emilia\"\nhall-bondeno = \"emilia\"\n[listen_addresses]\n";
    if (node.isCore) {
        file << "control = \"" << node.ip << ":" << controlPort << "\"\n";
    } else {
        file << "front = \"" << node.ip << ":" << frontPort << "\"\nready = \"" << node.ip << ":" << readyPort << "\"\n";
    }
    file << "[limits]\ncpu_share = " << (node.isCore ? "0.5" : "0.25") << "\ncores = 1\nmemory_mb = " << (node.isCore ? 256 : 260)
         << "\nmax_file_descriptors = 4096\nlink_mbps = 1000.0\ndisk_mb = " << (node.isCore ? 128 : 0)
         << "\n[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nacknowledge_ms = 4000\n"
            "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
            "recovery_s = 12\nmax_hold_ms = 10000\nstop_grace_ms = 900\ngang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
            "finish_s = 14\nstatus_s = 120\nfar_factor = 1.5\ncheckpoint_interval_s = 0.5\nrestore_ms = 600\nnotice_ms = 4500\nmove_s = 1.5\n"
            "maintenance_s = 2\nfencing_required = true\nlease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\nharm_ms = 4000\n";
}

void Cell::startProcess(Node &node)
{
    this->writeSettings(node);
    const std::string log = absl::StrCat(this->folder, "/", node.name, "/log");
    const std::string settings = absl::StrCat("PADDLEPIER_CONFIG=", this->folder, "/", node.name, "/node.toml");
    const pid_t pid = ::fork();
    if (pid < 0) {
        throw std::runtime_error("fork failed");
    }
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        const char *program = "target/paddlepier";
        std::array<char *, 4> environment{
            const_cast<char *>(settings.c_str()), const_cast<char *>("PATH=/usr/bin:/bin"), const_cast<char *>("LANG=C"), nullptr};
        std::array<char *, 5> arguments{const_cast<char *>(program),
                                        const_cast<char *>(node.isCore ? "core" : "entry"),
                                        const_cast<char *>("--metrics-port"),
                                        const_cast<char *>(node.isCore ? "9401" : "9402"),
                                        nullptr};
        ::execve(program, arguments.data(), environment.data());
        ::_exit(127);
    }
    node.pid = pid;
    node.hasRun = true;
    this->record.write(absl::StrCat("started ", node.name, " at ", node.ip));
}

void Cell::start()
{
    for (Node &node : this->nodes) {
        this->startProcess(node);
    }
}

void Cell::supervise()
{
    for (Node &node : this->nodes) {
        int status = 0;
        if (node.pid > 0 && ::waitpid(node.pid, &status, WNOHANG) == node.pid) {
            const std::string how = WIFSIGNALED(status) ? absl::StrCat("signal ", WTERMSIG(status)) : absl::StrCat("status ", WEXITSTATUS(status));
            this->record.write(absl::StrCat("ended by itself: ", node.name, ", ", how));
            ++this->ends;
            node.pid = -1;
            node.restartAt = millisNow() + restartMillis;
        }
        if (node.pid < 0 && node.hasRun && millisNow() >= node.restartAt) {
            this->startProcess(node);
        }
    }
}

void Cell::run(std::int64_t millis)
{
    constexpr std::int64_t interval = 20;
    for (const std::int64_t end = millisNow() + millis; millisNow() < end;) {
        this->supervise();
        sleepMillis(interval);
    }
}

Answer Cell::callControl(const std::string &method, const std::string &path, const std::string &body, std::int64_t timeoutMillis)
{
    constexpr std::int64_t callMillis = 1000;
    constexpr std::int64_t pauseMillis = 200;
    for (const std::int64_t end = millisNow() + timeoutMillis; millisNow() < end;) {
        Answer answer = call(this->record, this->control(this->nextCore++ % coreCount), method, path, "", body, callMillis);
        if (answer.status != 0 && answer.status < 500) {
            return answer;
        }
        this->run(pauseMillis);
    }
    return {};
}

bool Cell::configure(const std::string &configuration, std::int64_t timeoutMillis)
{
    return this->callControl("PUT", "/api/configuration", configuration, timeoutMillis).status == 200;
}

bool Cell::isReady(std::size_t entry)
{
    constexpr std::int64_t timeoutMillis = 500;
    const std::string ready = absl::StrCat(this->nodes.at(coreCount + entry).ip, ":", readyPort);
    return call(this->record, ready, "GET", "/api/readiness", "", "", timeoutMillis).status == 200;
}

void Cell::freezeEntry(std::size_t entry)
{
    const Node &node = this->nodes.at(coreCount + entry);
    this->record.write(absl::StrCat("DISRUPTION: ", node.name, " freezes"));
    ::kill(node.pid, SIGSTOP);
}

void Cell::thawEntry(std::size_t entry)
{
    const Node &node = this->nodes.at(coreCount + entry);
    this->record.write(absl::StrCat("DISRUPTION ends: ", node.name, " wakes"));
    ::kill(node.pid, SIGCONT);
}

std::size_t Cell::ownEnds() const
{
    return this->ends;
}

Worker::Worker(
    Record &caseRecord, const Cell &caseCell, std::string workerId, std::string workerService, const std::string &workerAddress, std::string workerKind)
    : record(caseRecord)
    , cell(caseCell)
    , service(std::move(workerService))
    , address(absl::StrCat(workerAddress, ":", workerPort))
    , id(std::move(workerId))
    , kind(std::move(workerKind))
{
    LimitSettings limits;
    limits.trafficThreads = 1;
    this->server = std::make_unique<http::HttpServer>(
        Endpoint::parse(this->address).value(), limits, [this](const std::shared_ptr<http::Exchange> &exchange) { this->handle(exchange); });
    this->thread = std::thread([this] { this->loop(); });
    this->beatThread = std::thread([this] { this->beat(); });
}

Worker::~Worker()
{
    this->stopping = true;
    this->thread.join();
    this->beatThread.join();
    this->server->stop(absl::Milliseconds(100));
}

void Worker::crashAfterNextPoll()
{
    const absl::MutexLock lock(&this->mutex);
    this->crashesAfterPoll = true;
}

bool Worker::isDown()
{
    const absl::MutexLock lock(&this->mutex);
    return this->isSilent;
}

void Worker::crash()
{
    this->isSilent = true;
    this->crashesAfterPoll = false;
    this->record.write(absl::StrCat("DISRUPTION: worker ", this->id, " crashes, with ", this->runs.size(), " runs, and is silent"));
    for (const auto &[task, run] : this->runs) {
        ++this->crashedRuns[task.substr(0, task.find('.'))];
    }
    this->runs.clear();
    this->highestEnded.clear();
    this->ends.clear();
    for (const Held &poll : this->held) {
        this->unanswered.push_back(poll.exchange);
    }
    this->held.clear();
}

void Worker::boot(const std::string &newId, const std::string &newKind)
{
    const absl::MutexLock lock(&this->mutex);
    this->record.write(absl::StrCat("worker ", this->id, " starts again as ", newId, ", of kind ", newKind));
    this->id = newId;
    this->kind = newKind;
    this->isSilent = false;
    this->fence = 0;
    this->deadline = 0;
    this->lastSequence = 0;
    this->beats = 0;
    this->nextBeat = 0;
}

std::string Worker::announcement(std::string &ownId)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->isSilent || millisNow() < this->nextBeat) {
        return "";
    }
    this->nextBeat = millisNow() + heartbeatMillis;
    ownId = this->id;
    const Json beat{{"service", this->service},
                    {"address", this->address},
                    {"zone", zones.front()},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"cold_remaining_ms", 0},
                    {"capacity", {{"cpu", 32000}, {"requested_memory_mb", 65536}, {"gpu", 0}}},
                    {"labels", {this->kind, "r1-1"}},
                    {"clock_ms", millisNow()},
                    {"sequence", ++this->beats}};
    return beat.dump();
}

void Worker::beat()
{
    constexpr std::int64_t callMillis = 1000;
    constexpr std::int64_t retryMillis = 100;
    for (std::size_t core = 0; !this->stopping;) {
        std::string ownId;
        const std::string body = this->announcement(ownId);
        if (body.empty()) {
            sleepMillis(5);
            continue;
        }
        http::OutgoingRequest request;
        request.method = "PUT";
        request.url = absl::StrCat("http://", this->cell.control(core % coreCount), "/api/instances/", ownId);
        request.headers = {{"Content-Type", "application/json"}};
        request.body = body;
        request.timeout = absl::Milliseconds(callMillis);
        request.mayReuseConnection = false;
        const http::TransferResult result = http::fetch(request);
        if (!result.isComplete || result.response.status / 100 != 2) {
            ++core;
            const absl::MutexLock lock(&this->mutex);
            this->nextBeat = std::min(this->nextBeat, millisNow() + retryMillis);
        }
    }
}

void Worker::loop()
{
    while (!this->stopping) {
        sleepMillis(5);
        const absl::MutexLock lock(&this->mutex);
        if (this->isSilent) {
            continue;
        }
        const std::int64_t now = millisNow();
        std::vector<std::pair<std::string, std::string>> ended;
        for (const auto &[task, run] : this->runs) {
            if (run.endsAt <= now) {
                ended.emplace_back(task, "done");
            } else if (this->deadline <= now) {
                ended.emplace_back(task, "lapsed");
            }
        }
        for (const auto &[task, how] : ended) {
            this->end(task, how);
        }
        std::vector<Held> remaining;
        bool hasAnswered = false;
        for (const Held &poll : this->held) {
            if (!this->ends.empty() || poll.due <= now) {
                poll.exchange->respond({200, {{"Content-Type", "application/json"}}, this->lists().dump()});
                hasAnswered = true;
            } else {
                remaining.push_back(poll);
            }
        }
        this->held = std::move(remaining);
        if (hasAnswered && this->crashesAfterPoll) {
            this->crash();
        }
    }
}

void Worker::end(const std::string &task, const std::string &how)
{
    const std::int64_t number = this->runs.at(task).number;
    this->runs.erase(task);
    this->highestEnded[task] = std::max(this->highestEnded[task], number);
    this->ends.push_back({++this->lastSequence, task, number, how});
    this->record.write(absl::StrCat("worker ", this->id, ": run ", number, " of ", task, " has ended, ", how));
}

Json Worker::lists() const
{
    Json answer{{"clock_ms", millisNow()}, {"running", Json::array()}, {"ended", Json::array()}};
    for (const auto &[task, run] : this->runs) {
        const std::int64_t length = std::max<std::int64_t>(1, run.endsAt - run.begunAt);
        answer["running"].push_back({task, run.number, "", std::min<std::int64_t>(99, 100 * (millisNow() - run.begunAt) / length), 500});
    }
    for (const End &entry : this->ends) {
        answer["ended"].push_back({entry.sequence, entry.task, entry.number, entry.how, ""});
    }
    return answer;
}

void Worker::handle(const std::shared_ptr<http::Exchange> &exchange)
{
    const http::Request &request = exchange->request();
    const absl::MutexLock lock(&this->mutex);
    if (this->isSilent) {
        this->unanswered.push_back(exchange);
        return;
    }
    if (request.header("Paddlepier-Expected-Instance") != this->id) {
        exchange->respond({421, {{"Content-Type", "application/json"}}, Json{{"clock_ms", millisNow()}}.dump()});
        return;
    }
    const Json order = Json::parse(request.body, nullptr, false);
    if (order.is_discarded() || !order.is_object()) {
        exchange->respond({400, {{"Content-Type", "application/json"}}, "{}"});
        return;
    }
    this->handleOrder(exchange, order);
}

void Worker::handleOrder(const std::shared_ptr<http::Exchange> &exchange, const Json &order)
{
    const std::string &path = exchange->request().path;
    const auto respond = [&exchange](const std::string &reason) {
        Json body{{"clock_ms", millisNow()}};
        if (!reason.empty()) {
            body["reason"] = reason;
        }
        exchange->respond({reason.empty() ? 200 : 409, {{"Content-Type", "application/json"}}, body.dump()});
    };
    const std::uint64_t token = order.value("fencing_token", std::uint64_t{0});
    if (token < this->fence) {
        return respond("fence");
    }
    this->fence = token;
    const std::int64_t lease = std::min(order.value("deadline_ms", std::int64_t{0}), millisNow() + maxHoldMillis);
    if (path == "/api/run-start") {
        return respond(this->start(order));
    }
    this->deadline = std::max(this->deadline, lease);
    if (path == "/api/hold") {
        const std::int64_t seen = order.value("last_seen", std::int64_t{0});
        std::erase_if(this->ends, [seen](const End &entry) { return entry.sequence <= seen; });
        this->held.push_back({exchange, millisNow() + order.value("wait_ms", std::int64_t{0})});
    } else if (path == "/api/run-stop") {
        const std::string task = order.value("task", "");
        const auto number = order.value("run", std::int64_t{0});
        this->record.write(absl::StrCat("worker ", this->id, ": told to stop run ", number, " of ", task));
        const auto found = this->runs.find(task);
        if (found != this->runs.end() && found->second.number == number) {
            this->end(task, "stopped");
        }
        this->highestEnded[task] = std::max(this->highestEnded[task], number);
        respond("");
    } else {
        respond("");
    }
}

std::string Worker::start(const Json &order)
{
    const std::string task = order.value("task", "");
    const auto number = order.value("run", std::int64_t{0});
    const std::string payload = order.value("task_spec", "");
    const std::int64_t now = millisNow();
    const std::int64_t lease = std::min(order.value("deadline_ms", std::int64_t{0}), now + maxHoldMillis);
    const auto running = this->runs.find(task);
    const auto ended = this->highestEnded.find(task);
    const bool isOld = (ended != this->highestEnded.end() && number <= ended->second) || (running != this->runs.end() && number < running->second.number);
    std::string reason;
    if (isOld) {
        reason = "old";
    } else if (lease <= now) {
        reason = "late";
    }
    if (reason != "late") {
        this->deadline = std::max(this->deadline, lease);
    }
    if (reason.empty() && (running == this->runs.end() || running->second.number < number)) {
        this->runs[task] = {number, now, now + std::atoll(payload.c_str())};
        this->firstStarts.try_emplace(task.substr(0, task.find('.')), now);
    }
    this->record.write(
        absl::StrCat("worker ", this->id, ": told to start run ", number, " of ", task, ", payload ", payload, ": ", reason.empty() ? "runs" : reason));
    return reason;
}

std::int64_t Worker::startedAt(const std::string &job)
{
    const absl::MutexLock lock(&this->mutex);
    const auto found = this->firstStarts.find(job);
    return found == this->firstStarts.end() ? -1 : found->second;
}

bool Worker::isRunning(const std::string &job)
{
    const absl::MutexLock lock(&this->mutex);
    return std::any_of(this->runs.begin(), this->runs.end(), [&job](const auto &entry) { return absl::StartsWith(entry.first, job + "."); });
}

std::size_t Worker::crashedRunsOf(const std::string &job)
{
    const absl::MutexLock lock(&this->mutex);
    return this->crashedRuns[job];
}

} // namespace paddlepier::review
