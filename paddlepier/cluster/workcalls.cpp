// Names of calls between instances.

#include "paddlepier/cluster/workcalls.h"

#include <array>

namespace paddlepier::cluster
{

namespace
{

constexpr std::array<const char *, 10> methodNames{
    "job", "announce", "withdraw", "configure", "read-configuration", "presence", "advise", "carry", "evacuate", "heartbeats"};

} // namespace

const char *nameOf(WorkMethod method)
{
    return methodNames.at(static_cast<std::size_t>(method));
}

std::optional<WorkMethod> workMethodFromName(std::string_view name)
{
    for (std::size_t index = 0; index < methodNames.size(); ++index) {
        if (name == methodNames.at(index)) {
            return static_cast<WorkMethod>(index);
        }
    }
    return std::nullopt;
}

} // namespace paddlepier::cluster
