// Runs that may make way for urgent work.
//
// Those near the step's other tasks go first, then what can't be served in time any more, and then the youngest: where room
// is short some jobs end in time instead of all ending late.
//
// Example:
//     runs.collect(state, tracks, rooms, outlookOfOccurrence);
//     for (YieldingRun *run : runs.inOrder(home)) { ... run->isChosen = true; }
//
// Thread safety: none; owned by the planner. Cost: collect() O(tasks of jobs that may make way), once a plan.

#ifndef PADDLEPIER_PLANNING_MAKINGWAY_H
#define PADDLEPIER_PLANNING_MAKINGWAY_H

#include "paddlepier/execution/runtrack.h"
#include "paddlepier/planning/outlook.h"
#include "paddlepier/planning/rooms.h"
#include "paddlepier/workload/workload.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <vector>

namespace paddlepier::planning
{

struct YieldingRun {
    workload::TaskKey key;
    Room *room = nullptr;
    std::uint32_t priority = 0;
    std::uint32_t milliProcessors = 0;
    Outlook outlook = Outlook::InTime;
    std::int64_t submittedAtMillis = 0;
    bool isChosen = false;
};

class YieldingRuns
{
public:
    /** @param outlookOfOccurrence  gives the outlook of an occurrence of a job */
    template<typename OutlookOf>
    void collect(const workload::Workload &state, const execution::RunTracks &tracks, Rooms &rooms, OutlookOf outlookOfOccurrence)
    {
        this->runs.clear();
        for (const std::string &id : state.activeJobs()) {
            const workload::Job &job = *state.findJob(id);
            if (job.queue().priority == 0 || job.runsUnderWay() == 0) {
                continue;
            }
            for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
                const std::size_t before = this->runs.size();
                this->addOccurrence(job, occurrence, tracks, rooms);
                if (this->runs.size() > before) {
                    const Outlook outlook = outlookOfOccurrence(job, occurrence);
                    std::for_each(
                        this->runs.begin() + static_cast<std::ptrdiff_t>(before), this->runs.end(), [outlook](YieldingRun &run) { run.outlook = outlook; });
                }
            }
        }
        this->sort();
    }

    /** All that may make way, those in the data centre @p home first; O(runs). */
    std::vector<YieldingRun *> inOrder(std::uint32_t home);

private:
    void addOccurrence(const workload::Job &job, std::uint32_t occurrence, const execution::RunTracks &tracks, Rooms &rooms);
    void sort();

    std::vector<YieldingRun> runs;
};

} // namespace paddlepier::planning

#endif
