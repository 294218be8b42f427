// Whether a job can still meet its objective.

#include "paddlepier/planning/objectiveforecast.h"

#include <algorithm>
#include <vector>

namespace paddlepier::planning
{

namespace
{

/** The objective allows for one question to the policy service a step, on this many workers. */
constexpr double workersOfOneQuestion = 30;

/** A job counts as late up to this many times its objective. */
constexpr double lateFactor = 3;

double adviceMillis(const work::QueueSpecT &queue)
{
    return queue.advice ? queue.advice->decisionMillis + workersOfOneQuestion * queue.advice->perWorkerMillis : 0;
}

/** Longest chain of steps, in milliseconds; @p isCounted tells which steps take time. */
template<typename Predicate>
double longestChain(const workload::Job &job, double usualRatio, Predicate isCounted)
{
    std::vector<double> ends;
    double longest = 0;
    for (std::uint32_t number = 0; number < job.spec().steps.size(); ++number) {
        const work::StepSpecT &step = job.stepSpec(number);
        double begin = 0;
        for (const std::uint32_t earlier : step.after) {
            begin = std::max(begin, ends.at(earlier));
        }
        const double own = isCounted(number) ? step.estimatedMillis * usualRatio + adviceMillis(job.queue()) : 0;
        ends.push_back(begin + own);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace

Prospect prospectOf(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis, double usualRatio)
{
    const double chain = longestChain(job, usualRatio, [](std::uint32_t) { return true; });
    const std::vector<workload::Step> &steps = job.occurrences().at(occurrence).steps;
    const double objective = job.queue().stretch * chain + job.queue().targetLatencyMillis;
    const double age = static_cast<double>(wallMillis - std::max(job.submittedAtMillis(), job.dueMillis(occurrence)));
    Prospect prospect;
    prospect.remainingMillis = longestChain(job, usualRatio, [&steps](std::uint32_t number) { return !steps[number].isDone(); });
    const double earliestEnd = age + prospect.remainingMillis;
    prospect.slackMillis = objective - earliestEnd;
    prospect.usefulMillis = lateFactor * objective - earliestEnd;
    prospect.outlook = prospect.slackMillis >= 0 ? Outlook::InTime : prospect.usefulMillis >= 0 ? Outlook::Late : Outlook::Hopeless;
    return prospect;
}

Prospects::Prospects(const std::map<std::string, double> &usualRatiosByQueue)
    : usualRatios(usualRatiosByQueue)
{
}

double Prospects::usualRatio(const std::string &queue) const
{
    const auto usual = this->usualRatios.find(queue);
    return usual == this->usualRatios.end() ? 1.0 : usual->second;
}

Prospect Prospects::of(const workload::Job &job, std::uint32_t occurrence, std::int64_t wallMillis) const
{
    return prospectOf(job, occurrence, wallMillis, this->usualRatio(job.queue().name));
}

} // namespace paddlepier::planning
