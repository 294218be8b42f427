// Settings of one entry instance, read from TOML and checked whole before anything starts.
//
// Guarantee: loadSettings() either gives settings in which every value is within its documented bounds and every name
// that is referred to exists, or throws one InvalidSettingsError whose text is `FILE:LINE: KEY: what is wrong`.
//
// Example:
//     const Settings settings = loadSettings("instance.toml");
//
// Thread safety: a plain value; share it as const.

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

    /** `address:port`, with brackets round an IPv6 address. */
    std::string text() const;

    /** Reads `1.2.3.4:80` or `[::1]:80`; host names are refused, since a process learns addresses from its settings. */
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

/** Which instances hold the replicas of one data centre's ledger. */
struct LedgerSettings {
    std::string dataCentre;
    std::vector<std::string> replicas;
};

/** What the holder of a token may do, and for which partner. */
struct TokenSettings {
    std::string token;
    std::string partner;
    wire::Role role = wire::Role::None;
};

/** Name of the ledger that holds the deployment's configuration; it has no workers. */
constexpr std::string_view deploymentLedger = "deployment";

/** Bounds on what one instance holds at a time. */
struct LimitSettings {
    std::uint32_t trafficThreads = 2;
    std::uint32_t connections = 1024;
    std::uint32_t bodyBytes = 1 << 20;
    std::uint32_t queuedRequests = 512;
    Duration requestDeadline = absl::Seconds(10);
    Duration connectionIdle = absl::Seconds(15);
};

/** Times that the promises rest on; the same in every instance of a data centre. */
struct TimingSettings {
    Duration announceInterval = absl::Seconds(1);
    Duration workerSilence = absl::Seconds(3);
    Duration taskLease = absl::Seconds(10);
    Duration shareLease = absl::Milliseconds(1500);
    Duration heartbeat = absl::Milliseconds(100);
    Duration election = absl::Milliseconds(500);
    /** Largest rate difference of two clocks, in parts per thousand. */
    std::uint32_t driftPerMille = 10;
};

struct Settings {
    std::string id;
    std::string partner;
    std::string dataCentre;
    /** Empty if the instance has no disk. */
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
     * Instances are found at run time and are named by their peer address; `peers` is empty. Not in the settings file:
     * set where the deployment tells a process no more than a few addresses to begin with.
     */
    bool acceptsUnknownPeers = false;

    const PeerSettings *findPeer(std::string_view instance) const;
    const LedgerSettings *findLedger(std::string_view dataCentre) const;

    /** Entry instances of one partner in this data centre, this one included. */
    std::vector<std::string> entriesOf(std::string_view entryPartner) const;

    /** Data centres that have a ledger, in the order of the settings; the deployment's ledger is not among them. */
    std::vector<std::string> dataCentres() const;
};

/** @throws InvalidSettingsError for the first mistake found */
Settings loadSettings(const std::string &path);

/** The same for a text; @p name stands for the file in errors. */
Settings parseSettings(std::string_view text, const std::string &name);

} // namespace paddlepier

#endif
