// Parsing and validation of an entry instance's settings.

#include "paddlepier/settings/settings.h"

#include "paddlepier/base/error.h"
#include "paddlepier/settings/tomlreader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <array>

namespace paddlepier
{

namespace
{

using detail::TomlReader;

constexpr std::size_t minSecretLength = 8;

bool isNumericAddress(const std::string &address)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, address.c_str(), parsed.data()) == 1 || inet_pton(AF_INET6, address.c_str(), parsed.data()) == 1;
}

/** Identifiers are part of file names, log lines and job names, so only characters that are safe in all of them are allowed. */
bool isIdentifier(std::string_view text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), allowed);
}

std::string readIdentifier(TomlReader &reader, std::string_view key)
{
    std::string text = reader.requiredString(key);
    if (!isIdentifier(text)) {
        reader.fail(key, "must have 1 to 64 characters out of a-z, 0-9 and -");
    }
    return text;
}

Endpoint readEndpoint(TomlReader &reader, std::string_view key)
{
    const std::string text = reader.requiredString(key);
    const std::optional<Endpoint> endpoint = Endpoint::parse(text);
    if (!endpoint) {
        reader.fail(key, absl::StrCat("\"", text, "\" is not a numeric IP address with a port, such as 127.0.0.1:8100"));
    }
    return *endpoint;
}

wire::Role readRole(TomlReader &reader)
{
    const std::string text = reader.requiredString("role");
    static constexpr std::array<std::pair<std::string_view, wire::Role>, 4> roleNames{{
        {"viewer", wire::Role::Viewer},
        {"operator", wire::Role::Operator},
        {"worker", wire::Role::Worker},
        {"administrator", wire::Role::Administrator},
    }};
    for (const auto &[name, role] : roleNames) {
        if (name == text) {
            return role;
        }
    }
    reader.fail("role", absl::StrCat("\"", text, "\" is not one of viewer, operator, worker, administrator"));
}

void readInstance(TomlReader &reader, Settings &settings)
{
    settings.id = readIdentifier(reader, "id");
    settings.partner = readIdentifier(reader, "partner");
    settings.dataCentre = readIdentifier(reader, "dataCentre");
    settings.dataFolder = reader.optionalString("dataFolder", "");
    const std::string level = reader.optionalString("logLevel", "info");
    try {
        settings.logLevel = log::levelFromName(level);
    } catch (const InvalidSettingsError &error) {
        reader.fail("logLevel", error.what());
    }
}

void readLimits(TomlReader &reader, LimitSettings &limits)
{
    limits.trafficThreads = reader.number("trafficThreads", limits.trafficThreads, 1, 64);
    limits.connections = reader.number("connections", limits.connections, 8, 100000);
    limits.bodyBytes = reader.number("bodyBytes", limits.bodyBytes, 1024, 64U << 20U);
    limits.queuedRequests = reader.number("queuedRequests", limits.queuedRequests, 1, 100000);
    limits.requestDeadline = reader.milliseconds("requestDeadlineMillis", limits.requestDeadline, absl::Milliseconds(10), absl::Minutes(5));
    limits.connectionIdleTimeout = reader.milliseconds("connectionIdleMillis", limits.connectionIdleTimeout, absl::Seconds(1), absl::Minutes(10));
}

void readTiming(TomlReader &reader, TimingSettings &timing)
{
    const Duration minTime = absl::Milliseconds(10);
    const Duration maxTime = absl::Minutes(10);
    timing.announceInterval = reader.milliseconds("announceMillis", timing.announceInterval, minTime, maxTime);
    timing.workerTimeout = reader.milliseconds("workerSilenceMillis", timing.workerTimeout, minTime, maxTime);
    timing.taskLease = reader.milliseconds("taskLeaseMillis", timing.taskLease, minTime, maxTime);
    timing.shareLease = reader.milliseconds("shareLeaseMillis", timing.shareLease, minTime, maxTime);
    timing.heartbeatInterval = reader.milliseconds("heartbeatMillis", timing.heartbeatInterval, minTime, maxTime);
    timing.electionTimeout = reader.milliseconds("electionMillis", timing.electionTimeout, minTime, maxTime);
    timing.driftPerMille = reader.number("driftPerMille", timing.driftPerMille, 0, 200);
    if (timing.taskLease <= 2 * timing.announceInterval) {
        reader.fail("taskLeaseMillis", "must be more than twice announceMillis");
    }
    if (timing.workerTimeout <= timing.announceInterval) {
        reader.fail("workerSilenceMillis", "must be more than announceMillis");
    }
    if (timing.electionTimeout < 3 * timing.heartbeatInterval) {
        reader.fail("electionMillis", "must be at least three times heartbeatMillis");
    }
}

PeerSettings readPeer(TomlReader &reader)
{
    PeerSettings peer;
    peer.id = readIdentifier(reader, "id");
    peer.partner = readIdentifier(reader, "partner");
    peer.dataCentre = readIdentifier(reader, "dataCentre");
    peer.http = readEndpoint(reader, "http");
    peer.peer = readEndpoint(reader, "peer");
    return peer;
}

TokenSettings readToken(TomlReader &reader)
{
    TokenSettings token;
    token.token = reader.requiredString("token");
    if (token.token.size() < minSecretLength) {
        reader.fail("token", absl::StrCat("must have at least ", minSecretLength, " characters"));
    }
    token.partner = readIdentifier(reader, "partner");
    token.role = readRole(reader);
    return token;
}

LedgerSettings readLedger(TomlReader &reader, const Settings &settings)
{
    LedgerSettings ledger;
    ledger.dataCentre = readIdentifier(reader, "dataCentre");
    ledger.replicas = reader.requiredStrings("replicas");
    for (const std::string &replica : ledger.replicas) {
        if (replica != settings.id && settings.findPeer(replica) == nullptr) {
            reader.fail("replicas", absl::StrCat("\"", replica, "\" is neither this instance nor one of the peers"));
        }
        if (std::count(ledger.replicas.begin(), ledger.replicas.end(), replica) > 1) {
            reader.fail("replicas", absl::StrCat("\"", replica, "\" stands twice"));
        }
        if (replica == settings.id && settings.dataFolder.empty()) {
            reader.fail("replicas", "holds this instance, which has no dataFolder");
        }
    }
    if (settings.findLedger(ledger.dataCentre) != nullptr) {
        reader.fail("dataCentre", absl::StrCat("\"", ledger.dataCentre, "\" has two ledgers"));
    }
    return ledger;
}

void readPeers(TomlReader &root, Settings &settings)
{
    root.tables("peers", [&settings](TomlReader &reader) {
        PeerSettings peer = readPeer(reader);
        if (peer.id == settings.id || settings.findPeer(peer.id) != nullptr) {
            reader.fail("id", absl::StrCat("\"", peer.id, "\" stands twice"));
        }
        settings.peers.push_back(std::move(peer));
    });
}

Settings readSettings(TomlReader &root)
{
    Settings settings;
    root.table("instance", true, [&settings](TomlReader &reader) { readInstance(reader, settings); });
    root.table("listen", true, [&settings](TomlReader &reader) {
        settings.http = readEndpoint(reader, "http");
        settings.peer = readEndpoint(reader, "peer");
    });
    root.table("cell", true, [&settings](TomlReader &reader) {
        settings.cellKey = reader.requiredString("key");
        if (settings.cellKey.size() < minSecretLength) {
            reader.fail("key", absl::StrCat("must have at least ", minSecretLength, " characters"));
        }
    });
    root.table("limits", false, [&settings](TomlReader &reader) { readLimits(reader, settings.limits); });
    root.table("timing", false, [&settings](TomlReader &reader) { readTiming(reader, settings.timing); });
    readPeers(root, settings);
    root.tables("tokens", [&settings](TomlReader &reader) { settings.tokens.push_back(readToken(reader)); });
    root.tables("ledgers", [&settings](TomlReader &reader) { settings.ledgers.push_back(readLedger(reader, settings)); });
    if (settings.findLedger(settings.dataCentre) == nullptr) {
        root.fail("ledgers", absl::StrCat("has none for this instance's data centre \"", settings.dataCentre, "\""));
    }
    root.finish();
    return settings;
}

} // namespace

std::string Endpoint::text() const
{
    const bool isVersion6 = this->address.find(':') != std::string::npos;
    return isVersion6 ? absl::StrCat("[", this->address, "]:", this->port) : absl::StrCat(this->address, ":", this->port);
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    if (endpoint.address.size() > 2 && endpoint.address.front() == '[' && endpoint.address.back() == ']') {
        endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
    }
    std::uint32_t port = 0;
    const std::string portText(text.substr(colon + 1));
    if (!absl::SimpleAtoi(portText, &port) || port == 0 || port > UINT16_MAX || !isNumericAddress(endpoint.address)) {
        return std::nullopt;
    }
    endpoint.port = static_cast<std::uint16_t>(port);
    return endpoint;
}

const PeerSettings *Settings::findPeer(std::string_view instance) const
{
    const auto found = std::find_if(this->peers.begin(), this->peers.end(), [instance](const PeerSettings &peer) { return peer.id == instance; });
    return found == this->peers.end() ? nullptr : &*found;
}

const LedgerSettings *Settings::findLedger(std::string_view name) const
{
    const auto found = std::find_if(this->ledgers.begin(), this->ledgers.end(), [name](const LedgerSettings &ledger) { return ledger.dataCentre == name; });
    return found == this->ledgers.end() ? nullptr : &*found;
}

std::vector<std::string> Settings::entryInstancesOf(std::string_view entryPartner) const
{
    std::vector<std::string> entries;
    if (this->partner == entryPartner) {
        entries.push_back(this->id);
    }
    for (const PeerSettings &other : this->peers) {
        if (other.dataCentre == this->dataCentre && other.partner == entryPartner) {
            entries.push_back(other.id);
        }
    }
    return entries;
}

std::vector<std::string> Settings::dataCentres() const
{
    std::vector<std::string> names;
    for (const LedgerSettings &ledger : this->ledgers) {
        if (ledger.dataCentre != deploymentLedger) {
            names.push_back(ledger.dataCentre);
        }
    }
    return names;
}

Settings parseSettings(std::string_view text, const std::string &name)
{
    try {
        const toml::table table = toml::parse(text, name);
        TomlReader root(name, "", table);
        return readSettings(root);
    } catch (const toml::parse_error &error) {
        throw InvalidSettingsError(absl::StrCat(name, ":", error.source().begin.line, ": syntax: ", std::string(error.description())));
    }
}

Settings loadSettings(const std::string &path)
{
    return parseSettings(detail::readTextFile(path), path);
}

} // namespace paddlepier
