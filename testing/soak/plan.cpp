// The faults of one seed, and when each begins and ends.

#include "testing/soak/plan.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <random>

namespace paddlepier::testing::soak
{

namespace
{

struct KindRow {
    FaultKind kind;
    const char *name;
    /** Relative frequency of this kind. */
    double weight;
    double minSeconds;
    double maxSeconds;
};

constexpr std::array<KindRow, 20> kinds{{{FaultKind::StopCore, "stop-core", 4, 0.1, 2},
                                         {FaultKind::StopEntry, "stop-entry", 4, 0.1, 2},
                                         {FaultKind::KillCore, "kill-core", 8, 0.1, 3},
                                         {FaultKind::KillEntry, "kill-entry", 5, 0.1, 2},
                                         {FaultKind::KillAllCores, "kill-all-cores", 2, 0.1, 1},
                                         {FaultKind::PauseCore, "pause-core", 8, 0.1, 4},
                                         {FaultKind::PauseEntry, "pause-entry", 4, 0.1, 3},
                                         {FaultKind::LoseDisk, "lose-disk", 2, 0.2, 1},
                                         {FaultKind::DelayLinks, "delay-links", 8, 0.3, 3},
                                         {FaultKind::ResetLinks, "reset-links", 8, 0, 0},
                                         {FaultKind::CutLinks, "cut-links", 12, 0.3, 5},
                                         {FaultKind::SilenceLinks, "silence-links", 10, 0, 0},
                                         {FaultKind::CrashWorker, "crash-worker", 14, 0.1, 2},
                                         {FaultKind::DrainWorker, "drain-worker", 5, 3, 6},
                                         {FaultKind::DelayWorkerAnswers, "worker-answers-late", 5, 0.5, 4},
                                         {FaultKind::LoseWorkerAnswers, "worker-loses-answers", 6, 0.5, 4},
                                         {FaultKind::DelayWorkerOrders, "worker-orders-late", 8, 0.5, 4},
                                         // Drawn separately, so that the other faults of recorded seeds stay the same.
                                         {FaultKind::ReduceCapacity, "shrink-room", 0, 2, 10},
                                         {FaultKind::BreakCoreLinks, "break-core-links", 0, 0.01, 0.04},
                                         {FaultKind::ReplaceCore, "replace-core", 0, 4, 5}}};

/** Mean gap between two reductions of a capacity. */
constexpr double reductionGapSeconds = 1.0;

/** Length of the phase with planned stops only; longer than `contact_ms` of the platform. */
constexpr double quietSeconds = 6;

/** Bounds of the mean gap between two faults, which is drawn once for each seed. */
constexpr double minGapSeconds = 0.1;
constexpr double maxGapSeconds = 0.6;

/** Length of a phase of series, and how long it has only planned stops. */
constexpr double seriesSeconds = 7;
constexpr double plannedSeriesSeconds = 1.5;

/** Time from the stop of an entry to its restart in a series. */
constexpr Duration seriesRestartTime = absl::Milliseconds(650);

/** Gaps between the broken connections of a series. Answers arrive between two of them, so that followers stay reachable. */
constexpr double minBreakGapSeconds = 0.1;
constexpr double maxBreakGapSeconds = 0.2;

/** Rounds of replacements. A round is longer than the absences in it and `catch_up_s` of the platform's settings together. */
constexpr int replacementRounds = 3;
constexpr double replacementRoundSeconds = 10;

/** Bound of the time from a planned stop to the loss of another core. */
constexpr double maxLossGapSeconds = 3;

const KindRow &rowOf(FaultKind kind)
{
    return *std::find_if(kinds.begin(), kinds.end(), [kind](const KindRow &row) { return row.kind == kind; });
}

void sortByTime(std::vector<Fault> &faults)
{
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) { return left.at < right.at; });
}

class FaultPlanner
{
public:
    FaultPlanner(std::uint64_t seed, const Sizes &sizes)
        : sizes(sizes)
        , random(seed)
    {
    }

    std::vector<Fault> plan()
    {
        double at = 0.5;
        if (this->uniform(0, 1) < 0.4) {
            for (at = 1; at < quietSeconds - 2; at += this->uniform(0.5, 2)) {
                this->add(at, this->uniform(0, 1) < 0.7 ? FaultKind::StopEntry : FaultKind::StopCore);
            }
            at = quietSeconds;
        }
        const double end = at + absl::ToDoubleSeconds(this->sizes.faults);
        const double gap = this->uniform(minGapSeconds, maxGapSeconds);
        for (; at < end; at += std::exponential_distribution<double>(1 / gap)(this->random)) {
            this->add(at, this->drawKind());
        }
        this->addCapacityReductions(end);
        return this->faults;
    }

    std::vector<Fault> series()
    {
        const double slowGap = this->uniform(0.5, 0.8);
        const double fastGap = this->uniform(0.2, 0.4);
        std::uint32_t entry = 0;
        for (double at = 0; at < seriesSeconds; at += at < seriesSeconds / 2 ? slowGap : fastGap) {
            this->addOf(at, FaultKind::StopEntry, entry++ % this->sizes.entries);
            this->faults.back().length = seriesRestartTime;
        }
        for (double at = plannedSeriesSeconds; at < seriesSeconds; at += this->uniform(minBreakGapSeconds, maxBreakGapSeconds)) {
            this->addOf(at, FaultKind::BreakCoreLinks, 0);
        }
        sortByTime(this->faults);
        return this->faults;
    }

    std::vector<Fault> replacements()
    {
        for (int round = 0; round < replacementRounds; ++round) {
            const double at = 1 + round * replacementRoundSeconds;
            const auto replaced = static_cast<std::uint32_t>(this->random() % this->sizes.cores);
            const auto other = static_cast<std::uint32_t>(1 + this->random() % (this->sizes.cores - 1));
            this->addOf(at, FaultKind::ReplaceCore, replaced);
            this->addOf(at + this->uniform(0, maxLossGapSeconds), FaultKind::LoseDisk, (replaced + other) % this->sizes.cores);
        }
        sortByTime(this->faults);
        return this->faults;
    }

private:
    double uniform(double min, double max)
    {
        return std::uniform_real_distribution<double>(min, max)(this->random);
    }

    FaultKind drawKind()
    {
        std::vector<double> weights;
        weights.reserve(kinds.size());
        for (const KindRow &row : kinds) {
            weights.push_back(row.kind == FaultKind::LoseDisk && this->hasLostDisk ? 0 : row.weight);
        }
        const FaultKind kind = kinds[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->random)].kind;
        this->hasLostDisk = this->hasLostDisk || kind == FaultKind::LoseDisk;
        return kind;
    }

    std::uint32_t targetCount(FaultKind kind) const
    {
        switch (kind) {
        case FaultKind::StopEntry:
        case FaultKind::KillEntry:
        case FaultKind::PauseEntry:
            return this->sizes.entries;
        case FaultKind::DelayLinks:
        case FaultKind::ResetLinks:
        case FaultKind::CutLinks:
        case FaultKind::SilenceLinks:
            return this->sizes.cores + this->sizes.entries;
        default:
            return kind >= FaultKind::CrashWorker ? this->sizes.workers : this->sizes.cores;
        }
    }

    void addCapacityReductions(double end)
    {
        std::exponential_distribution<double> gap(1 / reductionGapSeconds);
        for (double at = gap(this->random); at < end; at += gap(this->random)) {
            this->add(at, FaultKind::ReduceCapacity);
        }
        sortByTime(this->faults);
    }

    void addOf(double at, FaultKind kind, std::uint32_t target)
    {
        this->add(at, kind);
        this->faults.back().target = target;
        this->faults.back().part = 0;
    }

    void add(double at, FaultKind kind)
    {
        Fault fault;
        fault.at = absl::Milliseconds(static_cast<std::int64_t>(at * 1000));
        fault.length = absl::Milliseconds(static_cast<std::int64_t>(this->uniform(rowOf(kind).minSeconds, rowOf(kind).maxSeconds) * 1000));
        fault.kind = kind;
        fault.target = static_cast<std::uint32_t>(this->random() % this->targetCount(kind));
        fault.part = this->uniform(0, 1) < 0.5 ? 0 : static_cast<std::uint32_t>(1 + this->random() % maxPart);
        this->faults.push_back(fault);
    }

    const Sizes sizes;
    std::mt19937_64 random;
    bool hasLostDisk = false;
    std::vector<Fault> faults;
};

} // namespace

std::string nameOf(FaultKind kind)
{
    return rowOf(kind).name;
}

bool isPlanned(FaultKind kind)
{
    return kind == FaultKind::StopCore || kind == FaultKind::StopEntry || kind == FaultKind::ReplaceCore;
}

std::string Fault::text() const
{
    return absl::StrCat(nameOf(this->kind), " ", this->target, " part ", this->part, " for ", absl::FormatDuration(this->length));
}

std::vector<Fault> planFaults(std::uint64_t seed, const Sizes &sizes)
{
    if (!hasSeries(seed)) {
        return FaultPlanner(hasReplacements(seed) ? seed - firstReplacementSeed : seed, sizes).plan();
    }
    std::vector<Fault> faults = FaultPlanner(seed - firstSeriesSeed, sizes).plan();
    const std::vector<Fault> series = FaultPlanner(seed + 1, sizes).series();
    faults.insert(faults.end(), series.begin(), series.end());
    sortByTime(faults);
    return faults;
}

bool hasSeries(std::uint64_t seed)
{
    return seed >= firstSeriesSeed && !hasReplacements(seed);
}

bool hasReplacements(std::uint64_t seed)
{
    return seed >= firstReplacementSeed;
}

std::vector<Fault> planReplacements(std::uint64_t seed, const Sizes &sizes)
{
    return hasReplacements(seed) ? FaultPlanner(seed, sizes).replacements() : std::vector<Fault>();
}

std::vector<Fault> planSeries(std::uint64_t seed, const Sizes &sizes)
{
    return hasSeries(seed) ? FaultPlanner(seed, sizes).series() : std::vector<Fault>();
}

} // namespace paddlepier::testing::soak
