// The deployment's configuration: parsing, validation and comparison.

#include "paddlepier/settings/configuration.h"

#include "paddlepier/base/error.h"
#include "paddlepier/settings/tomlreader.h"

#include <absl/strings/str_cat.h>

namespace paddlepier
{

namespace
{

using detail::TomlReader;

constexpr std::uint32_t maxQueuedRequests = 100'000;
constexpr std::uint32_t maxPercent = 100;

/** Printed values by their full key. */
using PrintedValues = std::map<std::string, std::string>;

PrintedValues printValues(const DeploymentConfiguration &configuration)
{
    PrintedValues values;
    values["quick.queuedRequests"] = configuration.queuedRequests == 0 ? "each instance's own" : absl::StrCat(configuration.queuedRequests);
    values["quick.retryBudgetPercent"] = absl::StrCat(configuration.retryBudgetPercent);
    for (const auto &[partner, percent] : configuration.quotaPercent) {
        values[absl::StrCat("partners.", partner, ".quotaPercent")] = absl::StrCat(percent);
    }
    return values;
}

std::string valueOrNone(const PrintedValues &values, const std::string &key)
{
    const auto found = values.find(key);
    return found == values.end() ? "none" : found->second;
}

} // namespace

DeploymentConfiguration parseConfiguration(std::string_view text, const std::string &name)
{
    try {
        const toml::table table = toml::parse(text, name);
        TomlReader root(name, "", table);
        DeploymentConfiguration configuration;
        root.table("quick", false, [&configuration](TomlReader &reader) {
            configuration.queuedRequests = reader.number("queuedRequests", 0, 1, maxQueuedRequests);
            configuration.retryBudgetPercent = reader.number("retryBudgetPercent", configuration.retryBudgetPercent, 0, maxPercent);
        });
        root.table("partners", false, [&configuration](TomlReader &reader) {
            for (const std::string &partner : reader.keys()) {
                reader.table(partner, true, [&configuration, &partner](TomlReader &entry) {
                    configuration.quotaPercent[partner] = entry.number("quotaPercent", maxPercent, 0, maxPercent);
                });
            }
        });
        root.finish();
        return configuration;
    } catch (const toml::parse_error &error) {
        throw InvalidSettingsError(absl::StrCat(name, ":", error.source().begin.line, ": syntax: ", std::string(error.description())));
    }
}

std::vector<std::string> describeChanges(const DeploymentConfiguration &before, const DeploymentConfiguration &after)
{
    const PrintedValues previous = printValues(before);
    const PrintedValues updated = printValues(after);
    PrintedValues all = previous;
    all.insert(updated.begin(), updated.end());
    std::vector<std::string> changes;
    for (const auto &[key, value] : all) {
        if (valueOrNone(previous, key) != valueOrNone(updated, key)) {
            changes.push_back(absl::StrCat(key, ": ", valueOrNone(previous, key), " -> ", valueOrNone(updated, key)));
        }
    }
    return changes;
}

} // namespace paddlepier
