// Whether a job can still meet its objective if it is served at once.
//
// A job's objective is its queue's stretch times its longest chain of steps, and the queue's target latency more; up to
// three times that it counts as late, and for nothing after that. Estimates are corrected by what runs of the queue
// usually take.
//
// Thread safety: none; owned by the planner. Cost: O(steps).

#ifndef PADDLEPIER_PLANNING_OBJECTIVEFORECAST_H
#define PADDLEPIER_PLANNING_OBJECTIVEFORECAST_H

#include "paddlepier/workload/job.h"

#include <cstdint>
#include <map>
#include <string>

namespace paddlepier::planning
{

/** What a job can still reach if it is served at once; the first is the best. */
enum class Outlook { InTime, Late, Hopeless };

/** How an occurrence of a job stands to its objective, if it is served at once from now on. */
struct Prospect {
    Outlook outlook = Outlook::InTime;
    /** How long it may still wait and meet the objective; negative if it can't any more. */
    double slackMillis = 0;
    /** What is left of its longest chain of steps. */
    double remainingMillis = 0;
    /** How long it may still wait and not be hopeless. */
    double usefulMillis = 0;

    /**
     * It can meet its objective, but not after waiting for as long again as it will take: the last moment at which going first
     * is of use to it, in proportion to its length.
     */
    bool isPressed() const
    {
        return this->outlook == Outlook::InTime && this->slackMillis < this->remainingMillis;
    }
};

/**
 * @param wallMillis  milliseconds since 1970
 * @param usualRatio  what runs of the queue take, as a ratio to their estimates
 */
Prospect prospectOf(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis, double usualRatio);

/** Prospects by what runs of each queue usually take, as it is learned. */
class Prospects
{
public:
    /** @param usualRatiosByQueue  see prospectOf(); a queue that isn't there is taken at its word */
    explicit Prospects(const std::map<std::string, double> &usualRatiosByQueue);

    double usualRatio(const std::string &queue) const;
    Prospect of(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis) const;

private:
    const std::map<std::string, double> &usualRatios;
};

} // namespace paddlepier::planning

#endif
