// A cell of real processes on loopback.

#include "testing/harness.h"

#include "testing/worker.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>

namespace paddlepier::testing
{

namespace
{

constexpr const char *cellKey = "key-of-the-test-cell";

std::vector<char *> pointersTo(const std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (const std::string &text : texts) {
        pointers.push_back(const_cast<char *>(text.c_str()));
    }
    return pointers;
}

std::string loopback(std::uint16_t port)
{
    return absl::StrCat("127.0.0.1:", port);
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, Duration limit)
{
    const Timestamp end = controlNow() + limit;
    while (controlNow() < end) {
        if (condition()) {
            return true;
        }
        absl::SleepFor(absl::Milliseconds(20));
    }
    return condition();
}

std::uint16_t freePort()
{
    static std::set<std::uint16_t> allocated;
    while (true) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), size) != 0) {
            throw InternalError("no free port on loopback");
        }
        ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        ::close(descriptor);
        const std::uint16_t port = ntohs(address.sin_port);
        if (allocated.insert(port).second) {
            return port;
        }
    }
}

Process::Process(const std::vector<std::string> &command, const std::string &outputPath, const std::vector<std::string> &environment)
{
    std::vector<char *> arguments = pointersTo(command);
    arguments.push_back(nullptr);
    std::vector<char *> variables = pointersTo(environment);
    for (char **variable = environ; *variable != nullptr; ++variable) {
        variables.push_back(*variable);
    }
    variables.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&this->child, command[0].c_str(), &actions, nullptr, arguments.data(), variables.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw InternalError(absl::StrCat("cannot start ", command[0]));
    }
}

Process::~Process()
{
    if (!this->ended) {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        this->wait();
    }
}

void Process::signal(int number) const
{
    ::kill(this->child, number);
}

int Process::wait()
{
    if (!this->ended) {
        ::waitpid(this->child, &this->status, 0);
        this->ended = true;
    }
    return WIFEXITED(this->status) ? WEXITSTATUS(this->status) : 128 + WTERMSIG(this->status);
}

bool Process::hasEnded()
{
    this->ended = this->ended || ::waitpid(this->child, &this->status, WNOHANG) == this->child;
    return this->ended;
}

pid_t Process::pid() const
{
    return this->child;
}

Cell::Cell(std::string programs, std::vector<EntrySpec> entries, std::vector<LedgerSpec> ledgers, std::string extraSettings, bool withForwarders)
    : programFolder(std::move(programs))
    , entrySpecs(std::move(entries))
    , ledgerSpecs(std::move(ledgers))
    , extra(std::move(extraSettings))
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/paddlepier-XXXXXX";
    this->temporary = ::mkdtemp(pattern.data());
    for (const EntrySpec &entry : this->entrySpecs) {
        this->ports[entry.id] = {freePort(), freePort()};
    }
    for (const EntrySpec &from : this->entrySpecs) {
        for (const EntrySpec &to : this->entrySpecs) {
            if (withForwarders && from.id != to.id) {
                Link link{from.id, to.id, freePort(), freePort(), nullptr, nullptr};
                link.httpForwarder = std::make_unique<Forwarder>(link.http, this->ports.at(to.id).first);
                link.peerForwarder = std::make_unique<Forwarder>(link.peer, this->ports.at(to.id).second);
                this->links.push_back(std::move(link));
            }
        }
    }
    for (const EntrySpec &entry : this->entrySpecs) {
        this->writeSettings(entry);
    }
}

Cell::~Cell()
{
    this->processes.clear();
    std::filesystem::remove_all(this->temporary);
}

std::pair<std::uint16_t, std::uint16_t> Cell::portsSeenFrom(const std::string &from, const std::string &to) const
{
    for (const Link &link : this->links) {
        if (link.from == from && link.to == to) {
            return {link.http, link.peer};
        }
    }
    return this->ports.at(to);
}

void Cell::cutOff(const std::string &id, bool isCut)
{
    for (Link &link : this->links) {
        if (link.from == id || link.to == id) {
            link.httpForwarder->setCut(isCut);
            link.peerForwarder->setCut(isCut);
        }
    }
}

std::string Cell::operatorToken(const std::string &partner)
{
    return absl::StrCat("operator-of-", partner);
}

std::string Cell::viewerToken(const std::string &partner)
{
    return absl::StrCat("viewer-of-", partner);
}

std::string Cell::workerToken(const std::string &partner)
{
    return absl::StrCat("workers-of-", partner);
}

void Cell::writeSettings(const EntrySpec &entry) const
{
    std::ofstream file(this->settingsPath(entry.id));
    file << "[instance]\nid = \"" << entry.id << "\"\npartner = \"" << entry.partner << "\"\ndataCentre = \"" << entry.dataCentre << "\"\ndataFolder = \""
         << this->temporary << "/" << entry.id << "\"\n";
    file << "[listen]\nhttp = \"" << loopback(this->ports.at(entry.id).first) << "\"\npeer = \"" << loopback(this->ports.at(entry.id).second) << "\"\n";
    file << "[cell]\nkey = \"" << cellKey << "\"\n" << this->extra << "\n";
    std::set<std::string> partners;
    for (const EntrySpec &other : this->entrySpecs) {
        partners.insert(other.partner);
        if (other.id != entry.id) {
            file << "[[peers]]\nid = \"" << other.id << "\"\npartner = \"" << other.partner << "\"\ndataCentre = \"" << other.dataCentre << "\"\nhttp = \""
                 << loopback(this->portsSeenFrom(entry.id, other.id).first) << "\"\npeer = \"" << loopback(this->portsSeenFrom(entry.id, other.id).second)
                 << "\"\n";
        }
    }
    for (const LedgerSpec &ledger : this->ledgerSpecs) {
        file << "[[ledgers]]\ndataCentre = \"" << ledger.dataCentre << "\"\nreplicas = [\"" << absl::StrJoin(ledger.replicas, "\", \"") << "\"]\n";
    }
    file << "[[tokens]]\ntoken = \"" << administratorToken() << "\"\npartner = \"" << entry.partner << "\"\nrole = \"administrator\"\n";
    for (const std::string &partner : partners) {
        file << "[[tokens]]\ntoken = \"" << operatorToken(partner) << "\"\npartner = \"" << partner << "\"\nrole = \"operator\"\n";
        file << "[[tokens]]\ntoken = \"" << viewerToken(partner) << "\"\npartner = \"" << partner << "\"\nrole = \"viewer\"\n";
        file << "[[tokens]]\ntoken = \"" << workerToken(partner) << "\"\npartner = \"" << partner << "\"\nrole = \"worker\"\n";
    }
}

std::string Cell::settingsPath(const std::string &id) const
{
    return absl::StrCat(this->temporary, "/", id, ".toml");
}

std::string Cell::outputPath(const std::string &name) const
{
    return absl::StrCat(this->temporary, "/", name, ".out");
}

const std::string &Cell::folder() const
{
    return this->temporary;
}

pid_t Cell::pidOf(const std::string &id) const
{
    return this->processes.at(id)->pid();
}

void Cell::startEntry(const std::string &id)
{
    const std::vector<std::string> command{this->programFolder + "/paddlepier", "serve", "--config", this->settingsPath(id)};
    this->processes[id] = std::make_unique<Process>(command, this->outputPath(id));
    this->setRunning(id, true);
}

void Cell::startAll()
{
    for (const EntrySpec &entry : this->entrySpecs) {
        this->startEntry(entry.id);
    }
}

void Cell::startWorker(const WorkerSpec &spec)
{
    const std::string logPath = absl::StrCat(this->temporary, "/", spec.name, ".log");
    const std::vector<std::string> command{this->programFolder + "/testing/standin_worker",
                                           "--name",
                                           spec.name,
                                           "--partner",
                                           spec.partner,
                                           "--data-centre",
                                           spec.dataCentre,
                                           "--rack",
                                           spec.rack,
                                           "--token",
                                           workerToken(spec.partner),
                                           "--address",
                                           loopback(freePort()),
                                           "--entries",
                                           absl::StrJoin(this->httpOfDataCentre(spec.dataCentre), ","),
                                           "--milli-processors",
                                           absl::StrCat(spec.capacity.milliProcessors()),
                                           "--memory",
                                           absl::StrCat(spec.capacity.memoryMegabytes()),
                                           "--accelerators",
                                           absl::StrCat(spec.capacity.accelerators()),
                                           "--log",
                                           logPath,
                                           "--fault",
                                           spec.fault,
                                           "--drain-after-millis",
                                           absl::StrCat(spec.drainAfterMillis)};
    this->processes[spec.name] = std::make_unique<Process>(command, this->outputPath(spec.name));
    this->logs.push_back({spec.name, spec.dataCentre, logPath, spec.capacity, 8});
}

void Cell::setRunning(const std::string &id, bool isRunning)
{
    for (Link &link : this->links) {
        if (link.to == id) {
            link.httpForwarder->setTargetRunning(isRunning);
            link.peerForwarder->setTargetRunning(isRunning);
        }
    }
}

void Cell::killEntry(const std::string &id)
{
    this->setRunning(id, false);
    this->processes.erase(id);
}

void Cell::killWorker(const std::string &name)
{
    this->processes.erase(name);
    std::ofstream log(absl::StrCat(this->temporary, "/", name, ".log"), std::ios::app);
    log << monotonicMicros() << " killed\n";
}

void Cell::signalEntry(const std::string &id, int number)
{
    this->processes.at(id)->signal(number);
}

int Cell::waitEntry(const std::string &id)
{
    return this->processes.at(id)->wait();
}

void Cell::loseDisk(const std::string &id)
{
    std::filesystem::remove_all(absl::StrCat(this->temporary, "/", id));
}

std::string Cell::httpOf(const std::string &id) const
{
    return loopback(this->ports.at(id).first);
}

std::vector<std::string> Cell::httpOfDataCentre(const std::string &dataCentre) const
{
    std::vector<std::string> list;
    for (const EntrySpec &entry : this->entrySpecs) {
        if (entry.dataCentre == dataCentre) {
            list.push_back(this->httpOf(entry.id));
        }
    }
    return list;
}

http::Response Cell::post(const std::string &id, const std::string &path, const std::string &body, const std::string &token, const std::string &type) const
{
    http::OutgoingRequest request;
    request.url = absl::StrCat("http://", this->httpOf(id), path);
    request.headers = {{"Content-Type", type}};
    if (!token.empty()) {
        request.headers.emplace_back("Authorization", absl::StrCat("Bearer ", token));
    }
    request.body = body;
    return http::fetch(request).response;
}

std::string Cell::callBytes(const std::string &id, rpc::Method method, const std::string &request, const std::string &token) const
{
    const std::string path = absl::StrCat("/v1/", rpc::CallCatalog::instance().info(method).name);
    const http::Response answer = this->post(id, path, request, token, "application/x-flatbuffers");
    if (answer.status != 200) {
        if (answer.status == 0) {
            throw DataCentreUnreachableError("the instance did not respond");
        }
        const wire::ErrorReplyT error = rpc::errorFromJson(answer.body);
        throw Error(error.error, error.message);
    }
    return answer.body;
}

std::string Cell::administratorToken()
{
    return "administrator-of-the-cell";
}

wire::ChangeReplyT Cell::change(const std::string &id, std::uint64_t expectedVersion, const std::string &text, const std::string &revision) const
{
    wire::ChangeRequestT request;
    request.expectedVersion = expectedVersion;
    request.text = text;
    request.revision = revision;
    return wire::unpack<wire::ChangeReplyT>(this->callBytes(id, rpc::Method::Change, wire::pack(request), administratorToken()));
}

wire::ConfigurationStatusReplyT Cell::configuration(const std::string &id) const
{
    const std::string request = wire::pack(wire::ConfigurationStatusRequestT());
    return wire::unpack<wire::ConfigurationStatusReplyT>(this->callBytes(id, rpc::Method::ShowStatus, request, administratorToken()));
}

std::string Cell::submit(const std::string &id, const std::string &partner, const wire::JobSpecT &spec, const std::string &submissionId) const
{
    wire::SubmitRequestT request;
    request.spec = std::make_unique<wire::JobSpecT>(spec);
    request.submissionId = submissionId;
    return this->call<wire::SubmitReplyT>(id, rpc::Method::Submit, request, partner).job;
}

wire::ExplainReplyT Cell::explain(const std::string &id, const std::string &partner, const std::string &job) const
{
    wire::ExplainRequestT request;
    request.job = job;
    return this->call<wire::ExplainReplyT>(id, rpc::Method::Explain, request, partner);
}

bool Cell::waitForState(const std::string &id, const std::string &partner, const std::string &job, wire::TaskState state, Duration limit) const
{
    return waitUntil(
        [&] {
            try {
                return this->explain(id, partner, job).summary->state == state;
            } catch (const Error &) {
                return false; // There is no leader at this time.
            }
        },
        limit);
}

bool Cell::waitReady(const std::string &id, std::size_t workers) const
{
    const auto entry = std::find_if(this->entrySpecs.begin(), this->entrySpecs.end(), [&id](const EntrySpec &spec) { return spec.id == id; });
    return waitUntil([&] {
        try {
            const auto status = this->call<wire::StatusReplyT>(id, rpc::Method::Status, wire::StatusRequestT(), entry->partner);
            const auto reachable = std::count_if(status.workers.begin(), status.workers.end(), [](const auto &worker) { return worker->reachable; });
            return static_cast<std::size_t>(reachable) >= workers;
        } catch (const Error &) {
            return false;
        }
    });
}

CheckReport Cell::check(const std::vector<std::string> &notRunIds) const
{
    return checkLogs(this->logs, notRunIds);
}

} // namespace paddlepier::testing
