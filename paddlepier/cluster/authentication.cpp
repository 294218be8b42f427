// Authenticates callers and decides which jobs they may see.

#include "paddlepier/cluster/authentication.h"

namespace paddlepier::cluster
{

std::optional<std::string> authenticate(const workload::Teams &teams, const work::QueueSpecT &queue, const std::string &key, CallerKeys keys)
{
    if (keys == CallerKeys::Ignored) {
        return "";
    }
    const std::string *team = teams.findByKey(key);
    if (team != nullptr) {
        return *team;
    }
    return queue.isPublic ? std::optional<std::string>("") : std::nullopt;
}

bool canView(const workload::Job &job, const std::string &team)
{
    return job.queue().isPublic || job.team().empty() || job.team() == team;
}

} // namespace paddlepier::cluster
