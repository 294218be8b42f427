// Whether a job can still meet its objective if it is served at once.
//
// A job's objective is its queue's stretch times its longest chain of steps, and the queue's target latency more; up to
// three times that it counts as late, and for nothing after that. Estimates are corrected by what runs of the queue
// usually take.
//
// Thread safety: free functions without state. Cost: O(steps).

#ifndef PADDLEPIER_PLANNING_OUTLOOK_H
#define PADDLEPIER_PLANNING_OUTLOOK_H

#include "paddlepier/workload/job.h"

#include <cstdint>

namespace paddlepier::planning
{

/** What a job can still reach if it is served at once; the first is the best. */
enum class Outlook { InTime, Late, Hopeless };

/**
 * @param wallMillis  milliseconds since 1970
 * @param usualRatio  what runs of the queue take, as a ratio to their estimates
 */
Outlook outlookOf(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis, double usualRatio);

} // namespace paddlepier::planning

#endif
