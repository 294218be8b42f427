// Requests advice from the policy service, and reserves capacity until the answer arrives.

#include "paddlepier/planning/advicerequester.h"

#include "paddlepier/planning/eligibility.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/** Limit of workers named by one request; the policy service accepts up to a hundred. */
constexpr std::size_t maxWorkersNamed = 60;

/**
 * The best of this many candidates are named. A cell has thousands of workers with free capacity, which differ little within a data centre;
 * evaluating all of them would cost more than the better choice gains.
 */
constexpr std::size_t maxCandidates = 4 * maxWorkersNamed;

/** Factor by which the expected number of permitted task slots should exceed the number of waiting tasks. */
constexpr double permittedSurplus = 1.3;
constexpr std::size_t minWorkersNamed = 3;

/**
 * The same for a gang and its permitted workers when these are empty. With a surplus the gang finds enough of them partly free; with little, it waits
 * until particular workers are empty.
 */
constexpr double emptyWorkerSurplus = 3;

/**
 * A request costs a fixed time and a small time for each worker. Naming workers until their time reaches this share of the fixed time
 * saves later requests.
 */
constexpr double marginalCostShare = 0.35;

/** Typical number of workers named by a request that renews tickets. */
constexpr double workersPerRenewal = 6;

/** Minimum number of workers named by a request. */
std::size_t minWorkersToName(const work::AdvicePolicyT &policy)
{
    const double withinCostShare =
        policy.perWorkerMillis > 0 ? marginalCostShare * policy.decisionMillis / policy.perWorkerMillis : static_cast<double>(maxWorkersNamed);
    return std::clamp(static_cast<std::size_t>(withinCostShare), minWorkersNamed, maxWorkersNamed);
}

bool isLong(const work::AdvicePolicyT &policy)
{
    return costOf(policy, minWorkersToName(policy)) > longRequestThreshold;
}

} // namespace

AdviceRequester::AdviceRequester(CapacityIndex &planIndex, CapacityReserver &capacityReserver, AdviceCache &cache)
    : capacityIndex(planIndex)
    , reserver(capacityReserver)
    , adviceCache(cache)
{
}

void AdviceRequester::begin(const AdviceBudget &adviceBudget)
{
    this->budget = adviceBudget;
}

bool AdviceRequester::mayRequest(const StepAdvice &stepAdvice, const work::AdvicePolicyT &policy) const
{
    const bool isCallerFree = isLong(policy) ? this->budget.longRequests > 0 : this->budget.shortRequestTime > absl::ZeroDuration();
    return isCallerFree && stepAdvice.mayRequest;
}

std::optional<execution::AdviceRequest> AdviceRequester::request(Timestamp now, const PendingStep &pending, const std::vector<FutureCapacity> &futureCapacities)
{
    const StepAdvice stepAdvice = this->adviceCache.adviceFor(now, pending.key);
    const bool mayRequest = this->mayRequest(stepAdvice, *pending.job->queue().advice);
    if (!mayRequest && !stepAdvice.isPending) {
        return std::nullopt;
    }
    std::vector<Candidate> candidates = this->candidatesFor(pending, true);
    addRenewals(candidates, pending, futureCapacities);
    // Capacity for a wide step has to be freed or awaited on a permitted worker, so that permissions are requested before any is free.
    if (candidates.empty() && !(futureCapacities.empty() && this->reserver.isWide(pending.job->queue().service, *pending.step))) {
        return std::nullopt;
    }
    if (mayRequest && candidates.size() < maxWorkersNamed) {
        const std::vector<Candidate> withoutCapacity = this->candidatesFor(pending, false);
        candidates.insert(candidates.end(), withoutCapacity.begin(), withoutCapacity.end());
    }
    std::vector<workload::Incarnation> named = this->reserveAndSelect(pending, std::move(candidates), mayRequest);
    if (named.empty()) {
        return std::nullopt;
    }
    return this->make(now, pending, std::move(named));
}

execution::AdviceRequest AdviceRequester::make(Timestamp now, const PendingStep &pending, std::vector<workload::Incarnation> workers)
{
    const work::QueueSpecT &queue = pending.job->queue();
    if (isLong(*queue.advice)) {
        --this->budget.longRequests;
    } else {
        this->budget.shortRequestTime -= costOf(*queue.advice, workers.size());
    }
    return this->adviceCache.request(now, pending.key, queue.name, std::move(workers), *queue.advice);
}

std::optional<execution::AdviceRequest> AdviceRequester::renew(Timestamp now, const PendingStep &pending, std::vector<workload::Incarnation> workers)
{
    if (workers.empty() || !this->mayRequest(this->adviceCache.adviceFor(now, pending.key), *pending.job->queue().advice)) {
        return std::nullopt;
    }
    return this->make(now, pending, std::move(workers));
}

std::optional<execution::AdviceRequest> AdviceRequester::requestFurther(Timestamp now, const PendingStep &pending)
{
    if (!this->mayRequest(this->adviceCache.adviceFor(now, pending.key), *pending.job->queue().advice)) {
        return std::nullopt;
    }
    std::vector<Candidate> candidates = this->candidatesFor(pending, true);
    std::erase_if(candidates, [](const Candidate &candidate) { return candidate.isExpired; });
    const std::vector<Candidate> withoutCapacity = this->candidatesFor(pending, false);
    candidates.insert(candidates.end(), withoutCapacity.begin(), withoutCapacity.end());
    const std::size_t count = std::min(candidates.size(), maxWorkersNamed);
    std::partial_sort(
        candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(), [](const Candidate &left, const Candidate &right) {
            return std::tuple(!left.hasCapacity, left.penalty, left.worker) < std::tuple(!right.hasCapacity, right.penalty, right.worker);
        });
    const std::size_t minimum = minWorkersToName(*pending.job->queue().advice);
    const double share = this->adviceCache.permittedShare(pending.job->queue().name);
    const double needed = emptyWorkerSurplus * static_cast<double>(pending.tasks.size());
    double expected = 0;
    std::vector<workload::Incarnation> named;
    for (std::size_t number = 0; number < count && (number < minimum || expected < needed); ++number) {
        const work::Demand &capacity = *candidates[number].worker->record->registration.capacity;
        const std::size_t fits = tasksThatFitInto(capacity.milliProcessors(), capacity.memoryMegabytes(), capacity.accelerators(), *pending.step);
        expected += share * static_cast<double>(std::min(fits, pending.tasks.size()));
        named.push_back(candidates[number].worker->incarnation());
    }
    return named.empty() ? std::nullopt : std::optional(this->make(now, pending, std::move(named)));
}

std::vector<AdviceRequester::Candidate> AdviceRequester::candidatesFor(const PendingStep &pending, bool withCapacity)
{
    std::vector<Candidate> candidates;
    const std::uint32_t service = this->capacityIndex.serviceNumber(pending.job->queue().service);
    this->capacityIndex.visitByPreference(pending, [&](WorkerCapacity &worker) {
        // A worker without free capacity doesn't need its ticket renewed: it would expire before capacity is free, and the permission is known.
        const bool needsAdvice = worker.adviceStatus == AdviceStatus::NotRequested || (withCapacity && worker.adviceStatus == AdviceStatus::Expired);
        if (needsAdvice && worker.fits(*pending.step) == withCapacity && mayRun(worker, pending, service) && isBelowPerWorkerLimit(worker, pending)
            && isAcceptable(worker)) {
            candidates.push_back({&worker, withCapacity, worker.adviceStatus == AdviceStatus::Expired, penaltyOf(worker, pending)});
        }
        return candidates.size() < maxCandidates;
    });
    return candidates;
}

void AdviceRequester::addRenewals(std::vector<Candidate> &candidates, const PendingStep &pending, const std::vector<FutureCapacity> &futureCapacities)
{
    const work::AdvicePolicyT &policy = *pending.job->queue().advice;
    const Duration answerTime = absl::Milliseconds(static_cast<std::int64_t>(policy.decisionMillis + policy.perWorkerMillis * workersPerRenewal));
    for (const FutureCapacity &entry : futureCapacities) {
        const bool isCandidate =
            std::any_of(candidates.begin(), candidates.end(), [&entry](const Candidate &candidate) { return candidate.worker == entry.worker; });
        if (entry.worker->adviceStatus == AdviceStatus::Expired && entry.wait <= answerTime + maxReservationWait && !isCandidate) {
            candidates.push_back({entry.worker, false, true, penaltyOf(*entry.worker, pending)});
        }
    }
}

std::vector<workload::Incarnation> AdviceRequester::reserveAndSelect(const PendingStep &pending, std::vector<Candidate> candidates, bool mayRequest)
{
    const auto isWorse = [](const Candidate &left, const Candidate &right) {
        const auto group = [](const Candidate &entry) { return (entry.hasCapacity ? 0 : 2) + (entry.isExpired ? 0 : 1); };
        if (group(left) != group(right)) {
            return group(left) > group(right);
        }
        return left.penalty != right.penalty ? left.penalty > right.penalty : left.worker > right.worker;
    };
    // Only the best candidates are needed; a heap yields them without sorting all.
    std::make_heap(candidates.begin(), candidates.end(), isWorse);
    const std::size_t minimum = mayRequest ? minWorkersToName(*pending.job->queue().advice) : 0;
    const double share = this->adviceCache.permittedShare(pending.job->queue().name);
    const double needed = static_cast<double>(pending.tasks.size()) * permittedSurplus;
    double expected = 0;
    std::vector<workload::Incarnation> named;
    for (std::size_t count = 0; !candidates.empty() && count < maxWorkersNamed && (expected < needed || count < minimum); ++count) {
        std::pop_heap(candidates.begin(), candidates.end(), isWorse);
        const Candidate candidate = candidates.back();
        candidates.pop_back();
        if (mayRequest) {
            named.push_back(candidate.worker->incarnation());
        }
        if (expected < needed && candidate.hasCapacity) {
            expected += this->reserveExpected(pending, *candidate.worker, candidate.isExpired ? 1.0 : share);
        }
    }
    return named;
}

double AdviceRequester::reserveExpected(const PendingStep &pending, WorkerCapacity &worker, double chance)
{
    std::size_t tasks = std::min(worker.tasksThatFit(*pending.step), pending.tasks.size());
    if (pending.step->mostPerWorker > 0) {
        tasks = std::min<std::size_t>(tasks, pending.step->mostPerWorker);
    }
    const double expected = chance * static_cast<double>(tasks);
    this->capacityIndex.reserve(worker, *pending.step, std::lround(expected));
    return expected;
}

} // namespace paddlepier::planning
