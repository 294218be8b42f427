// Consistency checks of a configuration.

#include "paddlepier/workload/configurationcheck.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

#include <set>
#include <string>
#include <utility>

namespace paddlepier::workload
{

namespace
{

/** Error messages name teams, never keys: keys are secrets. */
void checkTeams(const work::ChangeConfigurationT &configuration)
{
    std::set<std::string> names;
    std::set<std::string> keys;
    for (const auto &team : configuration.teams) {
        if (team->name.empty()) {
            throw InvalidArgumentError("teams: a team has an empty name");
        }
        if (!names.insert(team->name).second) {
            throw InvalidArgumentError(absl::StrCat("team ", team->name, ": the name is used by more than one team"));
        }
        for (const std::string &key : team->keys) {
            if (key.empty()) {
                throw InvalidArgumentError(absl::StrCat("team ", team->name, ": a key is empty"));
            }
            if (!keys.insert(key).second) {
                throw InvalidArgumentError(absl::StrCat("team ", team->name, ": one of its keys is listed more than once, here or for another team"));
            }
        }
    }
}

} // namespace

void checkConfiguration(const work::ChangeConfigurationT &configuration)
{
    std::set<std::string> services;
    for (const auto &service : configuration.services) {
        services.insert(service->name);
    }
    std::set<std::pair<std::string, std::string>> routes;
    for (const auto &queue : configuration.queues) {
        if (!services.contains(queue->service)) {
            throw InvalidArgumentError(absl::StrCat("queue ", queue->name, ": unknown service ", queue->service));
        }
        if (queue->timeoutMillis == 0) {
            throw InvalidArgumentError(absl::StrCat("queue ", queue->name, ": the timeout is 0 ms, expected at least 1"));
        }
        if (!routes.insert({queue->host, queue->pathPrefix}).second) {
            throw InvalidArgumentError(absl::StrCat("queue ", queue->name, ": another queue has the same host and path prefix"));
        }
    }
    checkTeams(configuration);
}

} // namespace paddlepier::workload
