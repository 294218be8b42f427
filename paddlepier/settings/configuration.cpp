// The deployment's configuration.

#include "paddlepier/settings/configuration.h"

#include "paddlepier/base/error.h"
#include "paddlepier/settings/tomlreader.h"

#include <absl/strings/str_cat.h>

namespace paddlepier
{

namespace
{

using detail::TomlReader;

constexpr std::uint32_t mostQueued = 100'000;
constexpr std::uint32_t wholePercent = 100;

using Lines = std::map<std::string, std::string>;

Lines toLines(const DeploymentConfiguration &configuration)
{
    Lines lines;
    lines["quick.queuedRequests"] = configuration.queuedRequests == 0 ? "each instance's own" : absl::StrCat(configuration.queuedRequests);
    lines["quick.retryBudgetPercent"] = absl::StrCat(configuration.retryBudgetPercent);
    for (const auto &[partner, percent] : configuration.quotaPercent) {
        lines[absl::StrCat("partners.", partner, ".quotaPercent")] = absl::StrCat(percent);
    }
    return lines;
}

std::string valueIn(const Lines &lines, const std::string &key)
{
    const auto found = lines.find(key);
    return found == lines.end() ? "none" : found->second;
}

} // namespace

DeploymentConfiguration parseConfiguration(std::string_view text, const std::string &name)
{
    try {
        const toml::table table = toml::parse(text, name);
        TomlReader root(name, "", table);
        DeploymentConfiguration configuration;
        root.table("quick", false, [&configuration](TomlReader &reader) {
            configuration.queuedRequests = reader.number("queuedRequests", 0, 1, mostQueued);
            configuration.retryBudgetPercent = reader.number("retryBudgetPercent", configuration.retryBudgetPercent, 0, wholePercent);
        });
        root.table("partners", false, [&configuration](TomlReader &reader) {
            for (const std::string &partner : reader.keys()) {
                reader.table(partner, true, [&configuration, &partner](TomlReader &entry) {
                    configuration.quotaPercent[partner] = entry.number("quotaPercent", wholePercent, 0, wholePercent);
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
    const Lines old = toLines(before);
    const Lines changed = toLines(after);
    Lines all = old;
    all.insert(changed.begin(), changed.end());
    std::vector<std::string> changes;
    for (const auto &[key, value] : all) {
        if (valueIn(old, key) != valueIn(changed, key)) {
            changes.push_back(absl::StrCat(key, ": ", valueIn(old, key), " -> ", valueIn(changed, key)));
        }
    }
    return changes;
}

} // namespace paddlepier
