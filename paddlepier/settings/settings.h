// Settings of an entry instance, read from TOML and validated completely before the instance starts.
//
// Guarantee: loadSettings() either returns settings in which every value is within its documented bounds and every
// referenced name is defined, or throws an InvalidSettingsError of the form `FILE:LINE: KEY: problem`.
//
// Example:
//     const Settings settings = loadSettings("instance.toml");
//
// Thread safety: plain values; share them as const.

#ifndef PADDLEPIER_SETTINGS_SETTINGS_H
#define PADDLEPIER_SETTINGS_SETTINGS_H

#include "paddlepier/base/clock.h"
#include "paddlepier/base/log.h"
#include "paddlepier/wire/api_generated.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier
{

/** A numeric IP address and a port. */
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    /** `address:port`, with an IPv6 address in brackets. */
    std::string text() const;

    /** Parses `1.2.3.4:80` or `[::1]:80`. Host names are rejected: processes take addresses from their settings only. */
    static std::optional<Endpoint> parse(std::string_view text);

    bool operator==(const Endpoint &) const = default;
};

/** Another entry instance of the deployment. */
struct PeerSettings {
    std::string id;
    std::string partner;
    std::string dataCentre;
    Endpoint http;
    Endpoint peer;
};

/** The instances that host the replicas of a data centre's ledger. */
struct LedgerSettings {
    std::string dataCentre;
    std::vector<std::string> replicas;
};

/** A bearer token with the role and partner that it grants. */
struct TokenSettings {
    std::string token;
    std::string partner;
    wire::Role role = wire::Role::None;
};

/** Name of the ledger that stores the deployment's configuration; it has no workers. */
constexpr std::string_view deploymentLedger = "deployment";

/** Resource limits of one instance. */
struct LimitSettings {
    std::uint32_t trafficThreads = 2;
    std::uint32_t connections = 1024;
    std::uint32_t bodyBytes = 1 << 20;
    std::uint32_t queuedRequests = 512;
    Duration requestDeadline = absl::Seconds(10);
    Duration connectionIdleTimeout = absl::Seconds(15);
};

/** Times on which the guarantees depend; they must be equal in all instances of a data centre. */
struct TimingSettings {
    Duration announceInterval = absl::Seconds(1);
    Duration workerTimeout = absl::Seconds(3);
    Duration taskLease = absl::Seconds(10);
    Duration shareLease = absl::Milliseconds(1500);
    Duration heartbeatInterval = absl::Milliseconds(100);
    Duration electionTimeout = absl::Milliseconds(500);
    /** Maximum difference in rate between two clocks, in parts per thousand. */
    std::uint32_t driftPerMille = 10;
};

struct Settings {
    std::string id;
    std::string partner;
    std::string dataCentre;
    /** Folder of the instance's data; empty if the instance has no disk. */
    std::string dataFolder;
    Endpoint http;
    Endpoint peer;
    std::string cellKey;
    log::Level logLevel = log::Level::Info;
    std::vector<PeerSettings> peers;
    std::vector<LedgerSettings> ledgers;
    std::vector<TokenSettings> tokens;
    LimitSettings limits;
    TimingSettings timing;
    /**
     * If true, instances are discovered at run time and named by their peer address, and `peers` is empty. It isn't read from
     * the settings file; it is set for deployments that give a process only a few initial addresses.
     */
    bool acceptsUnknownPeers = false;

    const PeerSettings *findPeer(std::string_view instance) const;
    const LedgerSettings *findLedger(std::string_view dataCentre) const;

    /** Entry instances of a partner in this data centre, including this instance. */
    std::vector<std::string> entryInstancesOf(std::string_view entryPartner) const;

    /** Data centres that have a ledger, in the order of the settings, without the deployment's ledger. */
    std::vector<std::string> dataCentres() const;
};

/** @throws InvalidSettingsError for the first error found */
Settings loadSettings(const std::string &path);

/** As loadSettings(), for a text; @p name stands for the file in errors. */
Settings parseSettings(std::string_view text, const std::string &name);

} // namespace paddlepier

#endif
