// The deployment's configuration: the settings that operators can change at run time.
//
// A version is a TOML text, which is validated completely before it is accepted. Omitted keys have the defaults below.
//
// Example:
//     [quick]
//     queuedRequests = 512
//     [partners.ferraresi]
//     quotaPercent = 60
//
// Every invalid text is reported by an InvalidSettingsError of the form `NAME:LINE: KEY: problem`.
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
    /** Maximum number of quick requests queued in an entry instance; 0 selects the limit in the instance's own settings. */
    std::uint32_t queuedRequests = 0;
    /** Retries added to the retry budget of quick requests, in per cent of the requests. */
    std::uint32_t retryBudgetPercent = 10;
    /** Maximum share of a data centre that a partner's tasks may reserve, in per cent, by partner. */
    std::map<std::string, std::uint32_t> quotaPercent;

    bool operator==(const DeploymentConfiguration &) const = default;
};

/** @p name stands for the file in errors. @throws InvalidSettingsError for the first error found */
DeploymentConfiguration parseConfiguration(std::string_view text, const std::string &name);

/** The differences between two configurations, one line `KEY: OLD -> NEW` per changed key, sorted by key. */
std::vector<std::string> describeChanges(const DeploymentConfiguration &before, const DeploymentConfiguration &after);

} // namespace paddlepier

#endif
