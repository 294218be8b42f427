// The deployment's configuration: what operators change while everything runs.
//
// A version is a TOML text; it is checked whole before it is accepted. Keys that are left out have the defaults below.
//
// Example:
//     [quick]
//     queuedRequests = 512
//     [partners.ferraresi]
//     quotaPercent = 60
//
// Every mistake is one InvalidSettingsError whose text is `NAME:LINE: KEY: what is wrong`.
// Thread safety: plain values; free functions without state.

#ifndef PADDLEPIER_SETTINGS_CONFIGURATION_H
#define PADDLEPIER_SETTINGS_CONFIGURATION_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace paddlepier
{

struct DeploymentConfiguration {
    /** Requests that may wait in one entry instance; 0 for the instance's own limit. */
    std::uint32_t queuedRequests = 0;
    /** Retries that quick requests earn, in per cent of requests. */
    std::uint32_t retryBudgetPercent = 10;
    /** Largest part of a data centre that a partner's tasks may take, in per cent, by partner. */
    std::map<std::string, std::uint32_t> quotaPercent;

    bool operator==(const DeploymentConfiguration &) const = default;
};

/** @throws InvalidSettingsError for the first mistake found */
DeploymentConfiguration parseConfiguration(std::string_view text, const std::string &name);

/** The differences between two configurations, one readable line each. */
std::vector<std::string> describeChanges(const DeploymentConfiguration &before, const DeploymentConfiguration &after);

} // namespace paddlepier

#endif
