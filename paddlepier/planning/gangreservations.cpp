// Reserves capacity for gangs that need several workers.

#include "paddlepier/planning/gangreservations.h"

#include "paddlepier/planning/eligibility.h"

#include <algorithm>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/** Smaller gangs find capacity like single tasks, without a reservation. */
constexpr std::uint32_t minMembers = 4;

/** At most this share of the usable processors may idle for reservations: each gang idles some of its capacity until its last member has some. */
constexpr double idleShare = 0.20;

/** Permitted workers should have capacity for the gang this many times over, or it would wait for particular workers to become empty. */
constexpr double permittedSurplus = 1.5;

/** Preference, as waiting time, for workers that were chosen by the last plan and for workers with a valid ticket. */
constexpr Duration chosenBonus = absl::Milliseconds(250);
constexpr Duration ticketBonus = absl::Milliseconds(150);

/** An answer takes this much longer than the policy service needs for it: transmission and the commit of the placements. */
constexpr Duration answerDelay = absl::Milliseconds(150);

/** Tickets are renewed when the gang can start this long after the answer: forecasts are late more often than early. */
constexpr Duration renewalMargin = absl::Milliseconds(100);

/** Further workers named by a renewal, for the case that a chosen one isn't free in time. */
constexpr std::size_t spareWorkers = 2;

/** Workers within this factor of each other count as equally fast. */
constexpr double speedTolerance = 1.15;

/** Without advice any worker may be chosen; the first of this many are evaluated. */
constexpr std::size_t maxWorkers = 240;

Duration renewalTime(const work::QueueSpecT &queue, std::size_t workers)
{
    return queue.advice == nullptr ? absl::ZeroDuration() : costOf(*queue.advice, workers) + answerDelay;
}

} // namespace

GangReservations::GangReservations(const workload::Workload &workloadState,
                                   const ObjectiveForecaster &jobForecaster,
                                   CapacityIndex &planIndex,
                                   CapacityReserver &capacityReserver,
                                   AdviceCache &cache)
    : state(workloadState)
    , forecaster(jobForecaster)
    , capacityIndex(planIndex)
    , reserver(capacityReserver)
    , adviceCache(cache)
{
}

void GangReservations::begin()
{
    this->idleProcessors = 0;
    this->isIdleLimitKnown = false;
}

bool GangReservations::appliesTo(const work::QueueSpecT &queue, const work::StepSpecT &step)
{
    if (!step.isGang || step.isFilling || step.isLasting || step.count < minMembers || queue.priority == 0) {
        return false;
    }
    const work::ChangeConfigurationT &configuration = this->state.configuration();
    if (std::exchange(this->configurationVersion, configuration.version) != configuration.version) {
        this->appliesByQueue.clear();
    }
    const auto [found, isNew] = this->appliesByQueue.try_emplace(queue.name, false);
    if (isNew) {
        found->second = std::any_of(configuration.queues.begin(), configuration.queues.end(), [&queue](const auto &other) {
            return other->service == queue.service && other->priority > queue.priority;
        });
    }
    return found->second;
}

void GangReservations::updateIdleLimit()
{
    if (std::exchange(this->isIdleLimitKnown, true)) {
        return;
    }
    std::int64_t processors = 0;
    for (const WorkerCapacity &worker : this->capacityIndex.all()) {
        processors += worker.isUsable ? worker.record->registration.capacity->milliProcessors() : 0;
    }
    this->idleLimit = static_cast<std::int64_t>(idleShare * static_cast<double>(processors));
}

bool GangReservations::isIdleLimitReached()
{
    this->updateIdleLimit();
    return this->idleProcessors >= this->idleLimit;
}

bool GangReservations::isEligible(const WorkerCapacity &worker, const PendingStep &pending) const
{
    const std::uint32_t service = this->capacityIndex.serviceNumber(pending.job->queue().service);
    if (!mayRun(worker, pending, service) || !isBelowPerWorkerLimit(worker, pending)) {
        return false;
    }
    const auto &superseded = worker.record->superseded;
    return std::all_of(pending.tasks.begin(), pending.tasks.end(), [&](std::uint32_t index) {
        return isTrustedFor(worker, pending.progress->tasks[index])
               && (superseded.empty() || !superseded.contains({pending.key.job, pending.key.occurrence, pending.key.step, index}));
    });
}

void GangReservations::addSlots(std::vector<Slot> &slots, WorkerCapacity &worker, Timestamp ticketValidUntil, const PendingStep &pending)
{
    const work::StepSpecT &step = *pending.step;
    const work::Demand &capacity = *worker.record->registration.capacity;
    const std::size_t limit = std::min<std::size_t>(pending.tasks.size(), step.mostPerWorker == 0 ? pending.tasks.size() : step.mostPerWorker);
    this->fitsWhenEmpty += std::min(limit, tasksThatFitInto(capacity.milliProcessors(), capacity.memoryMegabytes(), capacity.accelerators(), step));
    std::vector<std::pair<Duration, const work::StepSpecT *>> releases;
    for (const OccupyingRun &run : this->reserver.runsOn(worker)) {
        if (run.remaining < absl::InfiniteDuration()) {
            releases.emplace_back(run.remaining, run.step);
        }
    }
    std::sort(releases.begin(), releases.end());
    WorkerCapacity simulated = worker;
    std::size_t found = 0;
    const auto addUpTo = [&](std::size_t tasks, Duration wait) {
        for (; found < std::min(limit, tasks); ++found) {
            slots.push_back({&worker, wait, worker.view->slowness, ticketValidUntil, wait});
        }
    };
    addUpTo(simulated.tasksThatFit(step), absl::ZeroDuration());
    for (const auto &[after, released] : releases) {
        if (found == limit) {
            return;
        }
        simulated.reserve(*released, -1);
        addUpTo(simulated.tasksThatFit(step), after);
    }
}

std::vector<GangReservations::Slot> GangReservations::permittedSlots(Timestamp now, const PendingStep &pending)
{
    std::vector<Slot> slots;
    this->fitsWhenEmpty = 0;
    if (pending.job->queue().advice == nullptr) {
        std::size_t visited = 0;
        this->capacityIndex.visitByPreference(pending, [&](WorkerCapacity &worker) {
            if (this->isEligible(worker, pending)) {
                this->addSlots(slots, worker, absl::InfiniteFuture(), pending);
                ++visited;
            }
            return visited < maxWorkers;
        });
    } else {
        for (const std::uint32_t number : this->capacityIndex.advisedWorkers()) {
            WorkerCapacity &worker = this->capacityIndex.all()[number];
            const bool isPermitted = worker.adviceStatus == AdviceStatus::Permitted || worker.adviceStatus == AdviceStatus::Expired;
            if (isPermitted && this->isEligible(worker, pending)) {
                const Ticket *ticket = this->adviceCache.validTicket(now, pending.key, worker.incarnation());
                this->addSlots(slots, worker, ticket == nullptr ? absl::InfinitePast() : ticket->validUntil, pending);
            }
        }
    }
    const auto chosen = this->chosenWorkers.find(pending.key);
    for (Slot &slot : slots) {
        const bool wasChosen = chosen != this->chosenWorkers.end() && chosen->second.contains(slot.worker->incarnation());
        slot.rank -= wasChosen ? chosenBonus : absl::ZeroDuration();
        slot.rank -= slot.ticketValidUntil >= now + slot.wait ? ticketBonus : absl::ZeroDuration();
    }
    std::stable_sort(slots.begin(), slots.end(), [](const Slot &left, const Slot &right) { return left.rank < right.rank; });
    return slots;
}

GangReservations::Choice
GangReservations::chooseAmong(Timestamp now, const PendingStep &pending, const std::vector<Slot> &slots, double maxSlowness, bool withTicketsOnly) const
{
    Choice choice;
    double slowness = 0;
    Duration wait;
    for (const Slot &slot : slots) {
        if (slot.slowness > maxSlowness || (withTicketsOnly && slot.ticketValidUntil < now + slot.wait)) {
            continue;
        }
        choice.slots.push_back(slot);
        slowness = std::max(slowness, slot.slowness);
        wait = std::max(wait, slot.wait);
        if (choice.slots.size() == pending.tasks.size()) {
            break;
        }
    }
    if (choice.slots.size() < pending.tasks.size()) {
        return choice;
    }
    choice.wait = wait;
    choice.needsTickets = std::any_of(choice.slots.begin(), choice.slots.end(), [now, wait](const Slot &slot) { return slot.ticketValidUntil < now + wait; });
    const std::size_t workers = sharesOf(choice.slots).size();
    const Duration start = choice.needsTickets ? std::max(wait, renewalTime(pending.job->queue(), workers + spareWorkers)) : wait;
    const double ratio = this->forecaster.typicalRatio(pending.job->queue().name);
    choice.end = start + absl::Milliseconds(pending.step->estimatedMillis) * ratio * slowness;
    return choice;
}

GangReservations::Choice GangReservations::choose(Timestamp now, const PendingStep &pending, const std::vector<Slot> &slots) const
{
    std::vector<double> speeds;
    for (const Slot &slot : slots) {
        speeds.push_back(slot.slowness);
    }
    std::sort(speeds.begin(), speeds.end());
    Choice best;
    double limit = 0;
    for (const double slowness : speeds) {
        if (slowness <= limit) {
            continue;
        }
        limit = slowness * speedTolerance;
        for (const bool withTicketsOnly : {true, false}) {
            Choice choice = this->chooseAmong(now, pending, slots, limit, withTicketsOnly);
            if (choice.end < best.end) {
                best = std::move(choice);
            }
        }
    }
    return best;
}

std::vector<GangShare> GangReservations::sharesOf(const std::vector<Slot> &slots)
{
    std::vector<GangShare> shares;
    for (const Slot &slot : slots) {
        const auto known = std::find_if(shares.begin(), shares.end(), [&slot](const GangShare &share) { return share.worker == slot.worker; });
        if (known == shares.end()) {
            shares.push_back({slot.worker, 1});
        } else {
            ++known->tasks;
        }
    }
    return shares;
}

void GangReservations::reserve(const PendingStep &pending, const std::vector<GangShare> &shares)
{
    std::set<workload::Incarnation> &chosen = this->chosenWorkers[pending.key];
    chosen.clear();
    for (const auto &[worker, tasks] : shares) {
        const std::int64_t demand = std::int64_t{tasks} * pending.step->demand->milliProcessors();
        this->idleProcessors += std::min(demand, std::max<std::int64_t>(0, worker->freeProcessors));
        this->capacityIndex.reserve(*worker, *pending.step, tasks);
        chosen.insert(worker->incarnation());
    }
}

GangDecision GangReservations::decide(Timestamp now, const PendingStep &pending)
{
    GangDecision decision;
    const work::QueueSpecT &queue = pending.job->queue();
    const StepAdvice stepAdvice = this->adviceCache.adviceFor(now, pending.key);
    const std::vector<Slot> slots = this->permittedSlots(now, pending);
    const auto needed = static_cast<std::size_t>(permittedSurplus * static_cast<double>(pending.tasks.size()));
    const bool needsAdvice = queue.advice != nullptr && this->fitsWhenEmpty < needed;
    Choice choice = this->choose(now, pending, slots);
    // The forecast's remaining time includes one advice request, which is over for a gang with permitted workers.
    const Duration slack = absl::Milliseconds(pending.forecast.slackMillis) + renewalTime(queue, 0);
    const bool isUseful = pending.forecast.status != ObjectiveStatus::InTime || choice.wait <= slack;
    if (choice.wait == absl::InfiniteDuration() || !isUseful) {
        this->chosenWorkers.erase(pending.key);
        decision.action = needsAdvice ? GangAction::RequestAdvice : GangAction::Wait;
        return decision;
    }
    decision.wait = choice.wait;
    decision.shares = sharesOf(choice.slots);
    this->reserve(pending, decision.shares);
    if (choice.wait <= absl::ZeroDuration() && !choice.needsTickets) {
        this->chosenWorkers.erase(pending.key);
        decision.action = GangAction::Start;
        return decision;
    }
    const Duration renewal = renewalTime(queue, decision.shares.size() + spareWorkers);
    if (choice.needsTickets && stepAdvice.mayRequest && choice.wait <= renewal + renewalMargin) {
        decision.action = GangAction::RenewTickets;
        for (const Slot &slot : slots) {
            const auto isNamed = [&slot](const GangShare &share) { return share.worker == slot.worker; };
            const bool isSpare = std::none_of(decision.shares.begin(), decision.shares.end(), isNamed);
            if (isSpare && decision.shares.size() < static_cast<std::size_t>(this->chosenWorkers[pending.key].size()) + spareWorkers) {
                decision.shares.push_back({slot.worker, 0});
            }
        }
    } else if (needsAdvice && stepAdvice.mayRequest) {
        decision.action = GangAction::RequestAdvice;
    }
    return decision;
}

} // namespace paddlepier::planning
