// Whether a configuration contradicts itself.
//
// Example:
//     checkConfiguration(change); // throws, or it may be proposed
//
// Thread safety: a free function without state. Cost: O(queues log queues).

#ifndef PADDLEPIER_WORKLOAD_CONFIGURATIONCHECK_H
#define PADDLEPIER_WORKLOAD_CONFIGURATIONCHECK_H

#include "paddlepier/wire/workload_generated.h"

namespace paddlepier::workload
{

/** @throws InvalidArgumentError if a queue has no service or no time, two queues have one place, or two teams one name or key */
void checkConfiguration(const work::ChangeConfigurationT &configuration);

} // namespace paddlepier::workload

#endif
