// What to ask the policy service, and which room to keep until it answers.

#include "paddlepier/planning/advicerequester.h"

#include "paddlepier/planning/eligibility.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/** Most workers that one question names; the policy service takes a hundred. */
constexpr std::size_t mostWorkersAsked = 60;

/**
 * The best of so many are asked about. A cell has thousands with room, which differ little within a data centre; to judge them all would
 * cost more than the choice is worth.
 */
constexpr std::size_t enoughCandidates = 4 * mostWorkersAsked;

/** Workers asked about beyond what the share of permitted ones makes likely to be enough. */
constexpr double askedSurplus = 1.3;
constexpr std::size_t leastWorkersAsked = 3;

/**
 * A question costs a fixed time and a little for each worker; naming more workers until they make up this part of the fixed
 * time saves later questions.
 */
constexpr double marginalShare = 0.35;

/** A question that renews tickets names a few workers. */
constexpr double workersOfARenewal = 6;

/** How many workers a question names at least. */
std::size_t leastAsked(const work::AdvicePolicyT &policy)
{
    const double cheap = policy.perWorkerMillis > 0 ? marginalShare * policy.decisionMillis / policy.perWorkerMillis : static_cast<double>(mostWorkersAsked);
    return std::clamp(static_cast<std::size_t>(cheap), leastWorkersAsked, mostWorkersAsked);
}

bool isLong(const work::AdvicePolicyT &policy)
{
    return costOf(policy, leastAsked(policy)) > longQuestionCost;
}

} // namespace

AdviceAsking::AdviceAsking(Rooms &planRooms, RoomKeeper &roomKeeper, AdviceBook &book)
    : rooms(planRooms)
    , keeper(roomKeeper)
    , advice(book)
{
}

void AdviceAsking::begin(const QuestionBudget &questionBudget)
{
    this->budget = questionBudget;
}

bool AdviceAsking::mayAsk(const StepAdvice &known, const work::AdvicePolicyT &policy) const
{
    const bool isCallerFree = isLong(policy) ? this->budget.longQuestions > 0 : this->budget.shortQuestions > absl::ZeroDuration();
    return isCallerFree && known.mayAsk;
}

std::optional<execution::AdviceQuestion> AdviceAsking::ask(Timestamp now, const WantedStep &wanted, const std::vector<ComingRoom> &coming)
{
    const StepAdvice known = this->advice.about(now, wanted.key);
    const bool mayAsk = this->mayAsk(known, *wanted.job->queue().advice);
    if (!mayAsk && !known.isAsking) {
        return std::nullopt;
    }
    std::vector<Candidate> candidates = this->candidatesFor(wanted, true);
    addRenewals(candidates, wanted, coming);
    // For a wide step room is made, or awaited: who may run it has to be known before.
    if (candidates.empty() && !(coming.empty() && this->keeper.isWide(wanted.job->queue().service, *wanted.step))) {
        return std::nullopt;
    }
    if (mayAsk && candidates.size() < mostWorkersAsked) {
        const std::vector<Candidate> full = this->candidatesFor(wanted, false);
        candidates.insert(candidates.end(), full.begin(), full.end());
    }
    std::vector<workload::Life> asked = this->keepRoomFor(wanted, std::move(candidates), mayAsk);
    if (asked.empty()) {
        return std::nullopt;
    }
    const work::QueueSpecT &queue = wanted.job->queue();
    if (isLong(*queue.advice)) {
        --this->budget.longQuestions;
    } else {
        this->budget.shortQuestions -= costOf(*queue.advice, asked.size());
    }
    return this->advice.ask(now, wanted.key, queue.name, std::move(asked), *queue.advice);
}

std::vector<AdviceAsking::Candidate> AdviceAsking::candidatesFor(const WantedStep &wanted, bool withRoom)
{
    std::vector<Candidate> candidates;
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    this->rooms.visitFromHome(wanted, [&](Room &room) {
        // A ticket without room now would have ended by the time that there is some; that a worker may run the step stays known.
        const bool isOpen = room.standing == Standing::Unasked || (withRoom && room.standing == Standing::Expired);
        if (isOpen && room.fits(*wanted.step) == withRoom && mayRun(room, wanted, service) && isBelowBound(room, wanted) && isAcceptable(room)) {
            candidates.push_back({&room, withRoom, room.standing == Standing::Expired, penaltyOf(room, wanted)});
        }
        return candidates.size() < enoughCandidates;
    });
    return candidates;
}

void AdviceAsking::addRenewals(std::vector<Candidate> &candidates, const WantedStep &wanted, const std::vector<ComingRoom> &coming)
{
    const work::AdvicePolicyT &policy = *wanted.job->queue().advice;
    const Duration answerTime = absl::Milliseconds(static_cast<std::int64_t>(policy.decisionMillis + policy.perWorkerMillis * workersOfARenewal));
    for (const ComingRoom &entry : coming) {
        const bool isCandidate = std::any_of(candidates.begin(), candidates.end(), [&entry](const Candidate &known) { return known.room == entry.room; });
        if (entry.room->standing == Standing::Expired && entry.wait <= answerTime + soonEnough && !isCandidate) {
            candidates.push_back({entry.room, false, true, penaltyOf(*entry.room, wanted)});
        }
    }
}

std::vector<workload::Life> AdviceAsking::keepRoomFor(const WantedStep &wanted, std::vector<Candidate> candidates, bool mayAsk)
{
    const auto isWorse = [](const Candidate &left, const Candidate &right) {
        const auto group = [](const Candidate &entry) { return (entry.hasRoom ? 0 : 2) + (entry.isExpired ? 0 : 1); };
        if (group(left) != group(right)) {
            return group(left) > group(right);
        }
        return left.penalty != right.penalty ? left.penalty > right.penalty : left.room > right.room;
    };
    // Only the first of them are needed: a heap gives them without sorting all.
    std::make_heap(candidates.begin(), candidates.end(), isWorse);
    const std::size_t least = mayAsk ? leastAsked(*wanted.job->queue().advice) : 0;
    const double share = this->advice.permittedShare(wanted.job->queue().name);
    const double needed = static_cast<double>(wanted.tasks.size()) * askedSurplus;
    double expected = 0;
    std::vector<workload::Life> asked;
    for (std::size_t count = 0; !candidates.empty() && count < mostWorkersAsked && (expected < needed || count < least); ++count) {
        std::pop_heap(candidates.begin(), candidates.end(), isWorse);
        const Candidate candidate = candidates.back();
        candidates.pop_back();
        if (mayAsk) {
            asked.push_back(candidate.room->life());
        }
        if (expected < needed && candidate.hasRoom) {
            expected += this->keepRoom(wanted, *candidate.room, candidate.isExpired ? 1.0 : share);
        }
    }
    return asked;
}

double AdviceAsking::keepRoom(const WantedStep &wanted, Room &room, double chance)
{
    std::size_t slots = std::min(room.tasksThatFit(*wanted.step), wanted.tasks.size());
    if (wanted.step->mostPerWorker > 0) {
        slots = std::min<std::size_t>(slots, wanted.step->mostPerWorker);
    }
    const double expected = chance * static_cast<double>(slots);
    this->rooms.take(room, *wanted.step, std::lround(expected));
    return expected;
}

} // namespace paddlepier::planning
