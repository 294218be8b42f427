// Whether a configuration contradicts itself.

#include "paddlepier/workload/configurationcheck.h"

#include "paddlepier/base/error.h"

#include <absl/strings/str_cat.h>

#include <set>
#include <string>
#include <utility>

namespace paddlepier::workload
{

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
}

} // namespace paddlepier::workload
