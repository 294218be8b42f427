// Consistency checks of a configuration, run before it is proposed.
//
// Example:
//     checkConfiguration(change); // throws if the configuration must not be proposed
//
// Thread safety: a free function without state. Cost: O(queues log queues).

#ifndef PADDLEPIER_WORKLOAD_CONFIGURATIONCHECK_H
#define PADDLEPIER_WORKLOAD_CONFIGURATIONCHECK_H

#include "paddlepier/wire/workload_generated.h"

namespace paddlepier::workload
{

/**
 * @throws InvalidArgumentError if a queue names an unknown service or has a timeout of 0, if two queues share host and path prefix, or if
 * a team's name or key is empty or used more than once
 */
void checkConfiguration(const work::ChangeConfigurationT &configuration);

} // namespace paddlepier::workload

#endif
