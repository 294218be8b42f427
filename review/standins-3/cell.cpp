// The project's own programs on loopback.

#include "cell.h"

#include <nlohmann/json.hpp>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review
{

namespace
{

constexpr std::size_t coreCount = 3;
constexpr const char *program = "target/paddlepier";
constexpr int internalPorts = 16;
constexpr const char *queueHost = "desk.example";
constexpr const char *queuePrefix = "/pull/";

std::string configuration()
{
    const nlohmann::json route{{"name", "r-1"},
                               {"host", queueHost},
                               {"path_prefix", queuePrefix},
                               {"kind", "unsafe"},
                               {"timeout_ms", 3000},
                               {"target_latency_ms", 250},
                               {"priority", 1},
                               {"service", "desk"},
                               {"max_attempts", 3},
                               {"stretch", 2.2}};
    const nlohmann::json service{{"name", "desk"},
                                 {"health_path", "/health"},
                                 {"max_connections", 64},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"admission_check", false},
                                 {"spare", false}};
    const nlohmann::json limits{{"max_header_bytes", 16384}, {"max_body_bytes", 262144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return nlohmann::json{{"version", 1}, {"routes", {route}}, {"services", {service}}, {"limits", limits}}.dump();
}

} // namespace

Cell::Cell(std::size_t entryCount, Record &caseRecord)
    : record(caseRecord)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    std::random_device random;
    this->network = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
    std::uint16_t base = 0;
    do {
        base = static_cast<std::uint16_t>(20000 + random() % 10000);
    } while (!isFree(this->network + "1", base));
    this->controlPort = base;
    this->frontPort = base + 1;
    this->readyPort = base + 2;
    this->minionPort = base + 3;
    this->internalPort = base + 10;
    for (std::size_t number = 0; number < coreCount; ++number) {
        this->cores.push_back({"core", this->network + std::to_string(1 + number), "z" + std::to_string(1 + number % coreCount), "", -1});
    }
    for (std::size_t number = 0; number < entryCount; ++number) {
        this->entries.push_back({"entry", this->network + std::to_string(101 + number), "z" + std::to_string(1 + number % coreCount), "", -1});
    }
}

Cell::~Cell()
{
    for (const std::vector<Node> *nodes : {&this->entries, &this->cores}) {
        for (const Node &node : *nodes) {
            if (node.process > 0) {
                ::kill(node.process, SIGKILL);
                ::waitpid(node.process, nullptr, 0);
            }
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string Cell::settingsOf(const Node &node, bool isFirstStart) const
{
    const bool isCore = node.role == "core";
    const auto quoted = [](const std::string &host, std::uint16_t port) { return "\"" + host + ":" + std::to_string(port) + "\""; };
    std::ostringstream text;
    text << "node_name = \"" << node.role << "-" << node.host << "\"\nrole = \"" << node.role << "\"\nmachine_class = \"" << (isCore ? "core" : "front")
         << "\"\nserves = [\"" << (isCore ? "control" : "front") << "\"]\nip_address = \"" << node.host << "\"\nzone = \"" << node.zone
         << "\"\nregion = \"r\"\ninternal_port_range = [" << this->internalPort << "," << this->internalPort + internalPorts - 1 << "]\nseeds = ["
         << quoted(this->cores[0].host, this->controlPort) << "," << quoted(this->cores[1].host, this->controlPort) << ","
         << quoted(this->cores[2].host, this->controlPort) << "]\nfirst_start = " << (isFirstStart ? "true" : "false")
         << "\ncounts_as_loss = " << (isCore ? "true" : "false") << "\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\n"
         << "config_mode = \"highest\"\norders = \"call\"\nadvice = " << quoted(this->network + "250", this->minionPort) << "\n";
    if (isCore) {
        text << "data_directory = \"" << node.folder << "/data\"\n";
    }
    text << "[zones]\nz1 = \"r\"\nz2 = \"r\"\nz3 = \"r\"\n[listen_addresses]\n";
    if (isCore) {
        text << "control = " << quoted(node.host, this->controlPort) << "\n";
    } else {
        text << "front = " << quoted(node.host, this->frontPort) << "\nready = " << quoted(node.host, this->readyPort) << "\n";
    }
    text << "[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 256\nmax_file_descriptors = 4096\nlink_mbps = 1000.0\ndisk_mb = " << (isCore ? 128 : 0)
         << "\n[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n"
         << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nacknowledge_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\n"
         << "config_apply_ms = 2000\nrecovery_s = 12\nmax_hold_ms = 10000\nstop_grace_ms = 200\ngang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
         << "fencing_required = true\nlease_ms = 3000\n[cloud]\naddress = " << quoted(this->network + "251", this->minionPort)
         << "\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0\n";
    return text.str();
}

void Cell::launch(Node &node, bool isFirstStart) const
{
    node.folder = this->folder + "/" + node.host;
    std::filesystem::create_directories(node.folder + "/data");
    const std::string settings = node.folder + "/node.toml";
    std::ofstream(settings) << this->settingsOf(node, isFirstStart);
    const std::string log = node.folder + "/log";
    const std::string environment = "PADDLEPIER_CONFIG=" + settings;
    node.process = ::fork();
    if (node.process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, however that ends
        std::freopen(log.c_str(), "w", stdout);
        std::freopen(log.c_str(), "a", stderr);
        const char *path = std::getenv("PATH");
        const std::string pathEntry = std::string("PATH=") + (path == nullptr ? "" : path);
        const char *const variables[] = {environment.c_str(), pathEntry.c_str(), nullptr};
        // The commands of deploy/system.toml.
        const char *port = node.role == "core" ? "9401" : "9402";
        const char *const arguments[] = {program, node.role.c_str(), "--metrics-port", port, nullptr};
        ::execve(program, const_cast<char *const *>(arguments), const_cast<char *const *>(variables));
        ::_exit(127);
    }
}

void Cell::launchAll()
{
    for (std::vector<Node> *nodes : {&this->cores, &this->entries}) {
        for (Node &node : *nodes) {
            this->launch(node, true);
        }
    }
}

bool Cell::configure(int timeoutMillis)
{
    const double end = this->record.seconds() + timeoutMillis / 1000.0;
    for (std::size_t attempt = 0; this->record.seconds() < end; ++attempt) {
        const Node &core = this->cores[attempt % this->cores.size()];
        const Answer answer = call(core.host, this->controlPort, {"PUT", "/api/configuration", {}, configuration()}, 1000);
        if (answer.status == 200) {
            this->record.write("config 1 is confirmed");
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    this->record.write("config 1 isn't confirmed");
    return false;
}

bool Cell::start()
{
    this->launchAll();
    return ::access(program, X_OK) == 0 && this->configure(20'000);
}

void Cell::killCore(std::size_t core)
{
    Node &node = this->cores.at(core);
    ::kill(node.process, SIGKILL);
    ::waitpid(node.process, nullptr, 0);
    node.process = -1;
}

void Cell::restartCore(std::size_t core)
{
    this->launch(this->cores.at(core), false);
}

void Cell::signalEntry(std::size_t entry, int number) const
{
    ::kill(this->entries.at(entry).process, number);
}

bool Cell::isWhole() const
{
    for (const std::vector<Node> *nodes : {&this->entries, &this->cores}) {
        for (const Node &node : *nodes) {
            siginfo_t info{};
            if (::waitid(P_PID, static_cast<id_t>(node.process), &info, WEXITED | WNOHANG | WNOWAIT) != 0 || info.si_pid != 0) {
                return false;
            }
        }
    }
    return true;
}

std::string Cell::freeHost() const
{
    return this->network + "240";
}

Control Cell::control() const
{
    return {{this->cores[0].host, this->cores[1].host, this->cores[2].host}, this->controlPort};
}

std::unique_ptr<Minion> Cell::addMinion(const std::string &id)
{
    ++this->minionCount;
    return std::make_unique<Minion>(id, this->network + std::to_string(200 + this->minionCount), this->minionPort, this->control(), this->record);
}

std::unique_ptr<Minion> Cell::restartMinion(const std::string &id, int seat)
{
    return std::make_unique<Minion>(id, this->network + std::to_string(200 + seat), this->minionPort, this->control(), this->record);
}

Answer Cell::submission(std::size_t entry, const std::string &method, const std::string &id, const std::string &body, int timeoutMillis)
{
    const Headers headers{{"Host", queueHost}, {"Paddlepier-Deadline-Remaining", "3000"}};
    const std::string through = " " + id + " through entry " + std::to_string(entry + 1);
    this->record.write("client sends " + method + through);
    Answer answer = call(this->entries.at(entry).host, this->frontPort, {method, queuePrefix + id, headers, body}, timeoutMillis);
    const std::string what = answer.status == 0 ? "has no answer and leaves" : "gets " + std::to_string(answer.status) + " " + answer.body;
    this->record.write("client " + what + " (" + method + through + ")");
    return answer;
}

} // namespace review
