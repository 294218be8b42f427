// A small deployment of the project's programs on loopback.

#include "system.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace review
{

namespace
{

sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

bool isFree(const std::string &host, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(host, port);
    const bool isBound = ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    ::close(socket);
    return isBound;
}

bool waitFor(int socket, short events, Clock::time_point end)
{
    const auto left = std::chrono::duration_cast<Millis>(end - Clock::now()).count();
    pollfd entry{socket, events, 0};
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

/** The end of the body in @p text; 0 while it isn't complete. */
std::size_t endOfReply(const std::string &text, std::size_t headEnd)
{
    std::string head = text.substr(0, headEnd);
    for (char &letter : head) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    const std::size_t length = head.find("content-length:");
    const std::size_t bytes = length == std::string::npos ? 0 : std::stoul(head.substr(length + 15));
    return text.size() >= headEnd + 4 + bytes ? headEnd + 4 + bytes : 0;
}

std::string quoted(const std::vector<std::string> &texts)
{
    std::string list;
    for (const std::string &text : texts) {
        list += (list.empty() ? "\"" : ",\"") + text + "\"";
    }
    return "[" + list + "]";
}

} // namespace

Record::Record(const std::string &path)
    : file(path)
{
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - this->start).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->file << this->now() << " ms  " << text << std::endl;
}

HttpReply call(const std::string &host,
               int port,
               const std::string &method,
               const std::string &path,
               const std::map<std::string, std::string> &headers,
               const std::string &body,
               Millis timeout)
{
    const Clock::time_point end = Clock::now() + timeout;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(host, port);
    std::string request = method + " " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\nContent-Type: application/json\r\n";
    request += headers.contains("Host") ? "" : "Host: " + host + "\r\n";
    for (const auto &[name, value] : headers) {
        request.append(name).append(": ").append(value).append("\r\n");
    }
    request.append("\r\n").append(body);
    HttpReply reply;
    std::string text;
    [[maybe_unused]] const int connecting = ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    std::size_t sent = 0;
    while (sent < request.size() && waitFor(socket, POLLOUT, end)) {
        const ssize_t count = ::send(socket, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    std::array<char, 65536> buffer{};
    while (sent == request.size() && waitFor(socket, POLLIN, end)) {
        const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        text.append(buffer.data(), static_cast<std::size_t>(count));
        const std::size_t headEnd = text.find("\r\n\r\n");
        const std::size_t replyEnd = headEnd == std::string::npos ? 0 : endOfReply(text, headEnd);
        if (replyEnd > 0) {
            reply.status = std::stoi(text.substr(9, 3));
            reply.body = text.substr(headEnd + 4, replyEnd - headEnd - 4);
            break;
        }
    }
    ::close(socket);
    return reply;
}

System::System(Record &caseRecord, std::string programPath)
    : record(caseRecord)
    , program(std::move(programPath))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-4-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    const int number = static_cast<int>(::getpid());
    this->network = "127." + std::to_string(20 + (number / 200) % 200) + "." + std::to_string(1 + number % 200) + ".";
    const int first = 20000 + number % 10000;
    this->ports = {first, first + 1, first + 2, first + 3};
}

System::~System()
{
    for (auto &[name, machine] : this->machines) {
        this->kill(name);
    }
    std::error_code error;
    std::filesystem::remove_all(this->folder, error);
}

std::string System::nextHost()
{
    std::string host = this->network + std::to_string(++this->hosts);
    for (const int port : {this->ports.control, this->ports.front, this->ports.ready, this->ports.internal}) {
        if (!isFree(host, port)) {
            throw std::runtime_error("port in use");
        }
    }
    return host;
}

Machine &System::add(const std::string &name, const std::string &role)
{
    Machine &machine = this->machines[name];
    machine.name = name;
    machine.role = role;
    machine.host = this->nextHost();
    return machine;
}

Machine &System::machine(const std::string &name)
{
    return this->machines.at(name);
}

std::string System::controlOf(const std::string &name)
{
    return this->machines.at(name).host + ":" + std::to_string(this->ports.control);
}

void System::writeSettings(const Machine &machine) const
{
    const bool isCore = machine.role == "core";
    const std::string base = this->folder + "/" + machine.name;
    std::filesystem::create_directories(base + "/data");
    std::ofstream file(base + "/node.toml");
    file << "node_name = \"" << machine.name << "\"\nrole = \"" << machine.role << "\"\nmachine_class = \"" << (isCore ? "core" : "front") << "\"\n"
         << "serves = [\"" << (isCore ? "control" : "front") << "\"]\nip_address = \"" << machine.host << "\"\nzone = \"atl-mid\"\nregion = \"atl\"\n"
         << "internal_port_range = [" << this->ports.internal << "," << this->ports.internal + 1 << "]\nseeds = " << quoted(machine.seeds) << "\n"
         << "first_start = " << (machine.isFirstStart ? "true" : "false") << "\ncounts_as_loss = " << (isCore ? "true" : "false") << "\n"
         << "discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\nconfig_mode = \"highest\"\norders = "
            "\"call\"\n";
    if (isCore) {
        file << "data_directory = \"" << base << "/data\"\n";
    }
    file << "advice = \"" << machine.host << ":" << this->ports.ready << "\"\n[zones]\natl-mid = \"atl\"\n[listen_addresses]\n";
    if (isCore) {
        file << "control = \"" << machine.host << ":" << this->ports.control << "\"\n";
    } else {
        file << "front = \"" << machine.host << ":" << this->ports.front << "\"\nready = \"" << machine.host << ":" << this->ports.ready << "\"\n";
    }
    file << "[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 256\nmax_file_descriptors = 4096\nlink_mbps = 1000.0\ndisk_mb = " << (isCore ? 128 : 0) << "\n"
         << "[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nacknowledge_ms = 4000\n"
         << "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
         << "recovery_s = 12\nmax_hold_ms = 10000\nstop_grace_ms = 200\ngang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
         << "finish_s = 14\nstatus_s = 120\nfar_factor = 1.5\ncheckpoint_interval_s = 0.5\nrestore_ms = 250\nnotice_ms = 4500\nmove_s = 1.5\n"
         << "maintenance_s = 2\nfencing_required = true\nlease_ms = 3000\nthaw_slack_ms = 300\npace_ms = 100\nharm_ms = 4000\n"
         << "[cloud]\naddress = \"" << machine.host << ":" << this->ports.ready << "\"\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0\n";
}

void System::start(const std::string &name)
{
    Machine &machine = this->machines.at(name);
    this->writeSettings(machine);
    const std::string base = this->folder + "/" + name;
    const std::string settings = "PADDLEPIER_CONFIG=" + base + "/node.toml";
    const char *path = std::getenv("PATH");
    const std::string searchPath = std::string("PATH=") + (path == nullptr ? "" : path);
    const std::string log = base + "/log";
    const std::string metrics = machine.role == "core" ? "9401" : "9402";
    machine.pid = ::fork();
    if (machine.pid == 0) {
        // It doesn't outlive the case, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        const std::array<const char *, 5> words{this->program.c_str(), machine.role.c_str(), "--metrics-port", metrics.c_str(), nullptr};
        const std::array<const char *, 3> environment{settings.c_str(), searchPath.c_str(), nullptr};
        ::execve(words[0], const_cast<char *const *>(words.data()), const_cast<char *const *>(environment.data()));
        std::_Exit(127);
    }
    this->record.line("start " + name + " at " + machine.host + (machine.isFirstStart ? ", first_start" : ""));
}

void System::signal(const std::string &name, int number)
{
    this->record.line("signal " + std::to_string(number) + " to " + name);
    ::kill(this->machines.at(name).pid, number);
}

void System::kill(const std::string &name)
{
    Machine &machine = this->machines.at(name);
    if (machine.pid > 0) {
        this->record.line("kill " + name);
        ::kill(machine.pid, SIGKILL);
        ::waitpid(machine.pid, nullptr, 0);
        machine.pid = 0;
    }
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void sleepFor(Millis time)
{
    std::this_thread::sleep_for(time);
}

} // namespace review
