// The processes, workers and links of one seed, and the effect of each fault on them.

#include "testing/soak/cell.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>
#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

namespace paddlepier::testing::soak
{

namespace
{

constexpr std::uint16_t internalPort = 7720;
constexpr std::uint16_t controlPort = 8161;
constexpr std::uint16_t frontPort = 8162;
constexpr std::uint16_t readyPort = 8163;
constexpr std::uint16_t workerPort = 8000;

/** Until this time after its start, a process may not have reached its main() yet. */
constexpr Duration startTime = absl::Milliseconds(500);

/** `grace_s` of the platform's settings: a process that still runs this long after SIGTERM is killed. */
constexpr Duration graceTime = absl::Seconds(6);

/** Longer than a BreakCoreLinks fault: nothing that it holds back is forwarded before the connection is reset. */
constexpr Duration holdTime = absl::Seconds(1);

constexpr const char *coreHostPrefix = "127.7.1.";

std::string workerHost(std::uint32_t worker)
{
    return absl::StrCat("127.7.3.", worker + 1);
}

/** Whether a run fails because of its task; the payload determines the percentage of runs that do. */
bool shouldFail(const std::string &payload, const workload::TaskKey &task, std::uint32_t run)
{
    const std::size_t rate = absl::StartsWith(payload, "hopeless") ? 100 : absl::StartsWith(payload, "flaky") ? 30 : 0;
    return std::hash<std::string>()(absl::StrCat(task.text(), "/", run)) % 100 < rate;
}

} // namespace

Cell::Cell(Sizes cellSizes, std::uint64_t seed, std::string cellFolder, std::string programFolder, Checker &violationChecker)
    : sizes(cellSizes)
    , folder(std::move(cellFolder))
    , programs(std::move(programFolder))
    , checker(violationChecker)
{
    for (std::uint32_t core = 0; core < this->sizes.cores; ++core) {
        this->addInstance("core", absl::StrCat(coreHostPrefix, core + 1));
    }
    for (std::uint32_t entry = 0; entry < this->sizes.entries; ++entry) {
        this->addInstance("entry", absl::StrCat("127.7.2.", entry + 1));
    }
    this->addLinks();
    this->workers = std::make_unique<PlatformWorkers>(
        [this, next = std::make_shared<std::atomic<std::uint32_t>>()] { return this->control((*next)++ % this->sizes.cores).text(); },
        [this](const workload::TaskKey &task) -> const work::StepSpecT & { return this->checker.stepOf(task); },
        seed);
    this->workers->inspect([this](execution::FakeWorkers &fake) {
        fake.observer = [this](const Checker::Event &event) { this->checker.recordEvent(event, controlNow()); };
        fake.isCrashing = [this](const workload::TaskKey &task, std::uint32_t) { return this->checker.payloadOf(task.job) == crashingPayload; };
        fake.isFailing = [this](const workload::TaskKey &task, std::uint32_t run) { return shouldFail(this->checker.payloadOf(task.job), task, run); };
    });
    for (std::uint32_t worker = 0; worker < this->sizes.workers; ++worker) {
        // Every second worker keeps its id when it restarts.
        this->workers->add(workerHost(worker), {workerHost(worker), workerPort}, worker % 2 == 1);
    }
    for (const auto &instance : this->instances) {
        this->start(*instance);
    }
}

Cell::~Cell()
{
    this->workers.reset();
    for (const auto &instance : this->instances) {
        instance->process.reset();
    }
}

void Cell::addInstance(const std::string &role, const std::string &host)
{
    auto instance = std::make_unique<Instance>();
    instance->node.host = host;
    instance->node.role = role;
    instance->node.internalPort = internalPort;
    instance->node.isFirstStart = true;
    for (std::uint32_t seed = 0; seed < std::min(this->sizes.cores, 3U); ++seed) {
        instance->node.seeds.push_back(this->control(seed).text());
    }
    if (role == "core") {
        instance->node.listenAddresses["control"] = Endpoint{host, controlPort}.text();
        instance->node.dataDirectory = absl::StrCat(this->folder, "/data-", host);
    } else {
        instance->node.listenAddresses = {{"front", Endpoint{host, frontPort}.text()}, {"ready", Endpoint{host, readyPort}.text()}};
    }
    instance->space = std::make_unique<NetworkSpace>();
    this->instances.push_back(std::move(instance));
}

void Cell::addLink(const Instance *from, const std::string &toHost, std::uint16_t port, const Instance *to)
{
    const ForwarderEnd listenAt{toHost, port, from == nullptr ? nullptr : from->space.get()};
    const ForwarderEnd forwardTo{toHost, port, to == nullptr ? nullptr : to->space.get()};
    this->links.push_back({from == nullptr ? "" : from->node.host, toHost, std::make_unique<Forwarder>(listenAt, forwardTo)});
    this->links.back().forwarder->setTargetRunning(true);
}

void Cell::addLinks()
{
    for (const auto &to : this->instances) {
        this->addLink(nullptr, to->node.host, to->node.role == "core" ? controlPort : frontPort, to.get());
        for (const auto &from : this->instances) {
            if (from != to) {
                this->addLink(from.get(), to->node.host, internalPort, to.get());
            }
        }
    }
    for (std::uint32_t core = 0; core < this->sizes.cores; ++core) {
        for (std::uint32_t worker = 0; worker < this->sizes.workers; ++worker) {
            this->addLink(this->instances[core].get(), workerHost(worker), workerPort, nullptr);
        }
    }
}

void Cell::start(Instance &instance)
{
    const PlatformNode &node = instance.node;
    const std::string settings = absl::StrCat(this->folder, "/", node.host, ".toml");
    std::ofstream(settings) << settingsOf(node);
    if (std::exchange(instance.losesDisk, false)) {
        std::filesystem::remove_all(node.dataDirectory);
    }
    if (!node.dataDirectory.empty()) {
        std::filesystem::create_directories(node.dataDirectory);
    }
    instance.space->inside([&] {
        instance.process = std::make_unique<Process>(std::vector<std::string>{this->programs + "/paddlepier", node.role},
                                                     absl::StrCat(this->folder, "/", node.host, ".log"),
                                                     std::vector<std::string>{"PADDLEPIER_CONFIG=" + settings});
    });
    instance.node.isFirstStart = false;
    instance.isKilled = false;
    instance.isPaused = false;
    instance.stopMicros = 0;
    instance.startedAt = controlNow();
    for (const Link &link : this->links) {
        if (link.to == node.host) {
            link.forwarder->setTargetRunning(true);
        }
    }
}

void Cell::stop(Instance &instance, Duration length)
{
    if (!instance.process->hasEnded() && instance.stopMicros == 0) {
        instance.downUntil = controlNow() + length;
        instance.stopMicros = absl::ToUnixMicros(controlNow());
        instance.process->signal(SIGTERM);
    }
}

void Cell::kill(Instance &instance, Duration length)
{
    instance.downUntil = std::max(instance.downUntil, controlNow() + length);
    instance.isKilled = true;
    instance.process->signal(SIGKILL);
    instance.process->wait();
}

void Cell::pause(Instance &instance)
{
    if (!instance.process->hasEnded()) {
        instance.isPaused = true;
        instance.process->signal(SIGSTOP);
    }
}

void Cell::resume(Instance &instance)
{
    if (!instance.process->hasEnded()) {
        instance.process->signal(SIGCONT);
    }
}

void Cell::supervise()
{
    const Timestamp now = controlNow();
    for (const auto &instance : this->instances) {
        const bool isStopping = instance->stopMicros != 0;
        if (!instance->process->hasEnded()) {
            if (isStopping && now > absl::FromUnixMicros(instance->stopMicros) + graceTime) {
                if (!instance->isPaused) {
                    this->checker.violation(absl::StrCat(instance->node.host, " still runs at the end of the grace time"));
                }
                this->kill(*instance, absl::ZeroDuration());
            }
            continue;
        }
        for (const Link &link : this->links) {
            if (link.to == instance->node.host) {
                link.forwarder->setTargetRunning(false);
            }
        }
        if (!instance->isKilled && !hasEndedAsExpected(*instance)) {
            this->checker.violation(absl::StrCat(instance->node.host, " ended unexpectedly with status ", instance->process->wait()));
        }
        if (now >= instance->downUntil) {
            this->start(*instance);
        }
    }
}

bool Cell::hasEndedAsExpected(Instance &instance)
{
    // SIGTERM kills a process that has not installed its signal handling yet.
    const bool isEarly = absl::FromUnixMicros(instance.stopMicros) < instance.startedAt + startTime;
    const int status = instance.process->wait();
    return instance.stopMicros != 0 && (status == 0 || (isEarly && status == 128 + SIGTERM));
}

void Cell::begin(const Fault &fault)
{
    const bool isOfEntry = fault.kind == FaultKind::StopEntry || fault.kind == FaultKind::KillEntry || fault.kind == FaultKind::PauseEntry;
    Instance &instance = *this->instances[(fault.target + (isOfEntry ? this->sizes.cores : 0)) % this->instances.size()];
    switch (fault.kind) {
    case FaultKind::StopCore:
    case FaultKind::StopEntry:
        this->stop(instance, fault.length);
        break;
    case FaultKind::ReplaceCore:
        instance.losesDisk = true;
        this->stop(instance, fault.length);
        break;
    case FaultKind::KillCore:
    case FaultKind::KillEntry:
        this->kill(instance, fault.length);
        break;
    case FaultKind::LoseDisk:
        this->kill(instance, fault.length);
        std::filesystem::remove_all(instance.node.dataDirectory);
        break;
    case FaultKind::KillAllCores:
        for (std::uint32_t core = 0; core < this->sizes.cores; ++core) {
            this->kill(*this->instances[core], fault.length);
        }
        break;
    case FaultKind::PauseCore:
    case FaultKind::PauseEntry:
        this->pause(instance);
        break;
    default:
        fault.kind >= FaultKind::CrashWorker ? this->applyWorkerFault(fault, false) : this->applyLinkFault(fault, false);
    }
}

void Cell::end(const Fault &fault)
{
    if (fault.kind == FaultKind::PauseCore || fault.kind == FaultKind::PauseEntry) {
        this->resume(*this->instances[fault.target + (fault.kind == FaultKind::PauseEntry ? this->sizes.cores : 0)]);
    } else if (fault.kind >= FaultKind::CrashWorker) {
        this->applyWorkerFault(fault, true);
    } else if (fault.kind >= FaultKind::DelayLinks) {
        this->applyLinkFault(fault, true);
    }
}

void Cell::applyLinkFault(const Fault &fault, bool isEnd)
{
    if (fault.kind == FaultKind::BreakCoreLinks) {
        this->breakCoreLinks(isEnd);
        return;
    }
    const std::string &host = this->instances[fault.target]->node.host;
    for (std::size_t index = 0; index < this->links.size(); ++index) {
        Link &link = this->links[index];
        const bool isOutgoing = link.from == host;
        if ((!isOutgoing && link.to != host) || (fault.part != 0 && (index + fault.part) % 3 != 0)) {
            continue;
        }
        if (fault.kind == FaultKind::DelayLinks) {
            link.forwarder->setDelay(isEnd ? absl::ZeroDuration() : absl::Milliseconds(10 + fault.part / 3));
        } else if (fault.kind == FaultKind::CutLinks) {
            // Loses either the data that the target sends, or the data that is sent to it.
            const bool losesOwn = fault.part % 2 == 0;
            link.forwarder->setLoss(isOutgoing == losesOwn ? Direction::ToTarget : Direction::FromTarget, !isEnd);
        } else if (!isEnd) {
            fault.kind == FaultKind::SilenceLinks ? link.forwarder->silenceAll() : link.forwarder->resetAll();
        }
    }
}

void Cell::breakCoreLinks(bool isEnd)
{
    if (!isEnd) {
        this->heldHost = this->control(this->leader().second.value_or(0)).address;
    }
    // A core sends over its own connections only, so that what the leader sends isn't affected.
    for (const Link &link : this->links) {
        if (link.to == this->heldHost && absl::StartsWith(link.from, coreHostPrefix)) {
            link.forwarder->setDelay(isEnd ? absl::ZeroDuration() : holdTime);
            isEnd ? link.forwarder->resetAll() : static_cast<void>(0);
        }
    }
}

void Cell::setWorkerLinks(const std::string &host, bool isUp)
{
    for (const Link &link : this->links) {
        if (link.to == host) {
            link.forwarder->setTargetRunning(isUp);
            isUp ? static_cast<void>(0) : link.forwarder->resetAll();
        }
    }
}

void Cell::applyWorkerFault(const Fault &fault, bool isEnd)
{
    const std::string host = workerHost(fault.target);
    if (fault.kind == FaultKind::ReduceCapacity) {
        const std::uint32_t full = PlatformWorkers::fullCapacity;
        this->workers->setCapacity(host, isEnd ? full : fault.part * full / maxPart);
        return;
    }
    if (fault.kind == FaultKind::CrashWorker || fault.kind == FaultKind::DrainWorker) {
        if (isEnd) {
            this->setWorkerLinks(host, true);
            this->workers->revive(host);
        } else if (fault.kind == FaultKind::DrainWorker) {
            this->workers->drain(host);
        } else {
            this->setWorkerLinks(host, false);
            this->workers->crash(host, fault.part == 0 ? std::nullopt : std::optional(absl::Milliseconds(fault.part * 3)));
        }
        return;
    }
    const WorkerFault workerFault = fault.kind == FaultKind::DelayWorkerAnswers  ? WorkerFault::DelayedAnswers
                                    : fault.kind == FaultKind::LoseWorkerAnswers ? WorkerFault::LostAnswers
                                                                                 : WorkerFault::DelayedOrders;
    this->workers->setFault(host, isEnd ? WorkerFault::None : workerFault);
}

void Cell::heal()
{
    for (const auto &instance : this->instances) {
        this->resume(*instance);
        instance->downUntil = absl::InfinitePast();
    }
    for (const Link &link : this->links) {
        link.forwarder->setDelay(absl::ZeroDuration());
        link.forwarder->setLoss(Direction::ToTarget, false);
        link.forwarder->setLoss(Direction::FromTarget, false);
    }
    for (std::uint32_t worker = 0; worker < this->sizes.workers; ++worker) {
        this->workers->setFault(workerHost(worker), WorkerFault::None);
        this->workers->setCapacity(workerHost(worker), PlatformWorkers::fullCapacity);
        this->setWorkerLinks(workerHost(worker), true);
        this->workers->revive(workerHost(worker));
    }
}

std::pair<std::uint64_t, std::optional<std::uint32_t>> Cell::leader() const
{
    std::pair<std::uint64_t, std::optional<std::uint32_t>> newest;
    for (std::uint32_t core = 0; core < this->sizes.cores; ++core) {
        std::ifstream log(absl::StrCat(this->folder, "/", this->instances[core]->node.host, ".log"));
        for (std::string line; std::getline(log, line);) {
            if (absl::StrContains(line, "service.started")) {
                newest = std::max(newest, std::pair(nlohmann::json::parse(line).at("term").get<std::uint64_t>(), std::optional(core)));
            }
        }
    }
    return newest;
}

bool Cell::isCaughtUp() const
{
    const auto [term, core] = this->leader();
    if (!core) {
        return false;
    }
    std::ifstream log(absl::StrCat(this->folder, "/", this->instances[*core]->node.host, ".log"));
    bool isComplete = false;
    for (std::string line; std::getline(log, line);) {
        if (absl::StrContains(line, "ledger.load")) {
            // A row each: instance/lag/in flight/silence.
            const auto report = nlohmann::json::parse(line);
            const std::vector<std::string> followers = absl::StrSplit(report.at("followers").get<std::string>(), ' ', absl::SkipEmpty());
            const auto hasNoLag = [](const std::string &follower) { return absl::StrContains(follower, "/0/"); };
            isComplete = report.at("term").get<std::uint64_t>() == term && followers.size() + 1 == this->sizes.cores
                         && std::all_of(followers.begin(), followers.end(), hasNoLag);
        }
    }
    return isComplete;
}

bool Cell::hasEnded(std::uint32_t core) const
{
    return this->instances[core]->process->hasEnded();
}

Endpoint Cell::front(std::uint32_t entry) const
{
    return {absl::StrCat("127.7.2.", entry + 1), frontPort};
}

Endpoint Cell::control(std::uint32_t core) const
{
    return {absl::StrCat(coreHostPrefix, core + 1), controlPort};
}

Timestamp Cell::stopAt(std::uint32_t entry) const
{
    const std::int64_t micros = this->instances[this->sizes.cores + entry]->stopMicros;
    return micros == 0 ? absl::InfiniteFuture() : absl::FromUnixMicros(micros);
}

std::vector<std::string> Cell::violations()
{
    return this->workers->violations();
}

} // namespace paddlepier::testing::soak
