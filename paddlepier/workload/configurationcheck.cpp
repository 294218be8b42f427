// Whether a configuration contradicts itself.

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

/** Messages name teams and never a key. */
void checkTeams(const work::ChangeConfigurationT &configuration)
{
    std::set<std::string> names;
    std::set<std::string> keys;
    for (const auto &team : configuration.teams) {
        if (team->name.empty()) {
            throw InvalidArgumentError("teams: a team without a name");
        }
        if (!names.insert(team->name).second) {
            throw InvalidArgumentError(absl::StrCat("team ", team->name, ": another team has its name"));
        }
        for (const std::string &key : team->keys) {
            if (key.empty()) {
                throw InvalidArgumentError(absl::StrCat("team ", team->name, ": an empty key"));
            }
            if (!keys.insert(key).second) {
                throw InvalidArgumentError(absl::StrCat("team ", team->name, ": one of its keys is there twice, or another team's"));
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
    std::set<std::pair<std::string, std::string>> places;
    for (const auto &queue : configuration.queues) {
        if (!services.contains(queue->service)) {
            throw InvalidArgumentError(absl::StrCat("queue ", queue->name, ": no service ", queue->service));
        }
        if (queue->timeoutMillis == 0) {
            throw InvalidArgumentError(absl::StrCat("queue ", queue->name, ": its timeout is 0"));
        }
        if (!places.insert({queue->host, queue->pathPrefix}).second) {
            throw InvalidArgumentError(absl::StrCat("queue ", queue->name, ": another queue has its host and path prefix"));
        }
    }
    checkTeams(configuration);
}

} // namespace paddlepier::workload
