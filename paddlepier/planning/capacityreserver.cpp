// Where a task that needs much of a worker will fit first.

#include "paddlepier/planning/capacityreserver.h"

#include "paddlepier/planning/eligibility.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace paddlepier::planning
{

namespace
{

/** A run that is past its estimate may end at any time, but isn't over. */
constexpr Duration leastRemaining = absl::Milliseconds(100);

/** What is being stopped is listed as ended soon. */
constexpr Duration stoppingRemaining = absl::Milliseconds(200);

/** A task that was started this often, without failing, makes way no more: each start costs it a restore and a wait. */
constexpr std::uint32_t mostStartsToYield = 4;

/** What a run that makes way has to expect: the stop, a restore, and a wait for room in between; milliseconds. */
constexpr double stopDelayMillis = 3000;

/** Most wide steps of one plan that room is kept for, which bounds a plan's time; what comes after them takes what is left. */
constexpr std::size_t mostKeptSteps = 40;

/** What stopping one run is worth in waiting: it loses up to a save's interval and a restore, a part of which is used meanwhile. */
constexpr double secondsPerStop = 0.1;

constexpr double wholePercent = 100;

bool mayYield(const workload::Task &task, const work::StepSpecT &step, const execution::RunTrack &track)
{
    return losesLittleByAStop(step) && track.phase == execution::RunPhase::Running && task.lastRun < mostStartsToYield + task.failures;
}

} // namespace

bool isWideFor(const Room &room, const work::StepSpecT &step)
{
    const work::Demand &capacity = *room.worker->registration.capacity;
    return tasksThatFitInto(capacity.milliProcessors(), capacity.memoryMegabytes(), capacity.accelerators(), step) <= wideTasksPerWorker;
}

RoomKeeper::RoomKeeper(const workload::Workload &workloadState, const execution::RunTracks &runTracks, const Prospects &jobProspects, Rooms &planRooms)
    : state(workloadState)
    , tracks(runTracks)
    , prospects(jobProspects)
    , rooms(planRooms)
{
}

void RoomKeeper::begin(Timestamp at, std::int64_t wall)
{
    this->now = at;
    this->wallMillis = wall;
    this->held.clear();
    this->judgedSizes.clear();
    this->keptSteps = 0;
}

Duration RoomKeeper::remainingOf(const execution::RunTrack &track, const work::StepSpecT &step, const std::string &queue) const
{
    if (track.phase == execution::RunPhase::Stopping) {
        return stoppingRemaining;
    }
    if (step.isLasting || step.estimatedMillis == 0) {
        return absl::InfiniteDuration();
    }
    const Duration whole = absl::Milliseconds(step.estimatedMillis) * this->prospects.usualRatio(queue);
    if (track.phase == execution::RunPhase::Starting || track.progressAt == absl::InfinitePast()) {
        return whole;
    }
    const Duration left = whole * (1.0 - track.percent / wholePercent) - (this->now - track.progressAt);
    return std::max(left, leastRemaining);
}

HeldRun RoomKeeper::heldRun(const workload::TaskKey &key, const workload::Job &job) const
{
    HeldRun run;
    run.key = key;
    run.step = &job.stepSpec(key.step);
    run.priority = job.queue().priority;
    run.submittedAtMillis = job.submittedAtMillis();
    run.remaining = absl::InfiniteDuration();
    const auto track = this->tracks.find(key);
    if (track != this->tracks.end()) {
        run.remaining = this->remainingOf(track->second, *run.step, job.queue().name);
        run.isStopping = track->second.phase == execution::RunPhase::Stopping;
        run.mayYield = mayYield(job.task(key), *run.step, track->second);
    }
    if (run.mayYield) {
        const Prospect prospect = this->prospects.of(job, key.occurrence, this->wallMillis);
        run.outlook = prospect.outlook;
        run.isPressedByStop = prospect.outlook == Outlook::InTime && prospect.slackMillis < prospect.remainingMillis + stopDelayMillis;
    }
    return run;
}

std::vector<HeldRun> &RoomKeeper::runsOn(const Room &room)
{
    const auto [found, isNew] = this->held.try_emplace(room.worker);
    if (isNew) {
        for (const workload::TaskKey &key : room.worker->runs) {
            found->second.push_back(this->heldRun(key, *this->state.findJob(key.job)));
        }
    }
    return found->second;
}

bool RoomKeeper::yieldsTo(const HeldRun &run, const WantedStep &wanted)
{
    const std::uint32_t priority = wanted.job->queue().priority;
    return run.mayYield && run.priority > priority && wanted.prospect.outlook == Outlook::InTime && (priority == 0 || !run.isPressedByStop);
}

std::vector<RoomKeeper::Release> RoomKeeper::releasesFor(std::vector<HeldRun> &runs, const WantedStep &wanted) const
{
    std::vector<Release> releases;
    for (HeldRun &run : runs) {
        if (run.isStopping) {
            releases.push_back({&run, std::min(run.remaining, usualStopTime), false});
            continue;
        }
        const bool isStop = run.remaining > usualStopTime && yieldsTo(run, wanted);
        releases.push_back({&run, isStop ? usualStopTime : run.remaining, isStop});
    }
    // Of what would be stopped, jobs that have least to lose go first.
    std::sort(releases.begin(), releases.end(), [](const Release &left, const Release &right) {
        const auto rank = [](const Release &release) {
            return std::tuple(release.after, release.isStop, -static_cast<int>(release.run->outlook), -release.run->submittedAtMillis);
        };
        return rank(left) != rank(right) ? rank(left) < rank(right) : left.run->key < right.run->key;
    });
    return releases;
}

ComingRoom RoomKeeper::comingRoom(Room &room, const WantedStep &wanted)
{
    ComingRoom coming;
    Room later = room;
    std::vector<Release> used;
    for (const Release &release : this->releasesFor(this->runsOn(room), wanted)) {
        if (later.fits(*wanted.step) || release.after == absl::InfiniteDuration()) {
            break;
        }
        later.take(*release.run->step, -1);
        used.push_back(release);
    }
    if (!later.fits(*wanted.step)) {
        return coming;
    }
    // What was counted earlier may be needless beside what came after it; the dearest is left out first.
    coming.room = &room;
    coming.wait = absl::ZeroDuration();
    std::reverse(used.begin(), used.end());
    for (const Release &release : used) {
        later.take(*release.run->step, 1);
        if (later.fits(*wanted.step)) {
            continue;
        }
        later.take(*release.run->step, -1);
        coming.wait = std::max(coming.wait, release.after);
        if (release.isStop) {
            coming.stops.push_back(release.run);
        }
    }
    return coming;
}

bool RoomKeeper::isWide(std::string_view service, const work::StepSpecT &step)
{
    const std::uint32_t number = this->rooms.serviceNumber(service);
    const std::vector<Room> &all = this->rooms.all();
    const auto takesSeveral = [&](const Room &room) { return room.isUsable && room.service == number && !isWideFor(room, step); };
    if (this->largeRoom < all.size() && takesSeveral(all[this->largeRoom])) {
        return false;
    }
    const work::Demand &demand = *step.demand;
    const auto [size, isNew] =
        this->judgedSizes.try_emplace({number, demand.milliProcessors(), demand.memoryMegabytes(), demand.accelerators()}, this->rooms.usableCount() > 0);
    if (isNew && size->second) {
        const auto large = std::find_if(all.begin(), all.end(), takesSeveral);
        size->second = large == all.end();
        this->largeRoom = large == all.end() ? this->largeRoom : static_cast<std::uint32_t>(large - all.begin());
    }
    return size->second;
}

RoomKeeper::Option RoomKeeper::optionFor(Room &room, const WantedStep &wanted)
{
    ++this->judgedOptions;
    Option option{&room, this->comingRoom(room, wanted), std::numeric_limits<double>::infinity()};
    if (option.coming.room != nullptr) {
        const double slowSeconds = wanted.step->estimatedMillis / 1000.0 * std::max(0.0, room.view->slowness - 1.0);
        option.cost = absl::ToDoubleSeconds(option.coming.wait) + slowSeconds + secondsPerStop * static_cast<double>(option.coming.stops.size());
    }
    return option;
}

std::vector<RoomKeeper::Option> RoomKeeper::optionsFor(const WantedStep &wanted)
{
    const std::uint32_t service = this->rooms.serviceNumber(wanted.job->queue().service);
    std::vector<Option> options;
    const auto consider = [&](Room &room) {
        if (mayRun(room, wanted, service) && isAcceptable(room) && isBelowBound(room, wanted)) {
            options.push_back(this->optionFor(room, wanted));
        }
    };
    std::vector<Room> &all = this->rooms.all();
    if (wanted.job->queue().advice == nullptr) {
        std::for_each(all.begin(), all.end(), consider);
        return options;
    }
    for (const std::uint32_t number : this->rooms.told()) {
        if (all[number].standing == Standing::Permitted || all[number].standing == Standing::Expired) {
            consider(all[number]);
        }
    }
    return options;
}

RoomKeeper::Option *RoomKeeper::soonest(std::vector<Option> &options, const WantedStep &wanted, std::uint32_t index)
{
    const workload::Task &task = wanted.progress->tasks[index];
    Option *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (Option &option : options) {
        if (option.cost < least && isTrusted(*option.room, task) && isBelowBound(*option.room, wanted)) {
            least = option.cost;
            best = &option;
        }
    }
    return best;
}

std::uint64_t RoomKeeper::judgements() const
{
    return this->judgedOptions;
}

std::vector<ComingRoom> RoomKeeper::keepFor(const WantedStep &wanted)
{
    if (wanted.step->isFilling || this->keptSteps >= mostKeptSteps || !this->isWide(wanted.job->queue().service, *wanted.step)) {
        return {};
    }
    ++this->keptSteps;
    // What is kept for one task changes its own worker alone: the others needn't be judged again for the next.
    std::vector<Option> options = this->optionsFor(wanted);
    std::vector<ComingRoom> kept;
    for (const std::uint32_t index : wanted.tasks) {
        Option *option = soonest(options, wanted, index);
        if (option == nullptr) {
            break;
        }
        this->rooms.take(*option->room, *wanted.step);
        this->rooms.countTask(*option->room, 1);
        kept.push_back(std::move(option->coming));
        *option = this->optionFor(*option->room, wanted);
    }
    if (wanted.step->isGang && kept.size() < wanted.tasks.size()) {
        for (const ComingRoom &coming : kept) {
            this->rooms.take(*coming.room, *wanted.step, -1);
            this->rooms.countTask(*coming.room, -1);
        }
        kept.clear();
    }
    return kept;
}

} // namespace paddlepier::planning
