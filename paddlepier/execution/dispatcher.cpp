// Carries the ledger's placements out on the workers: polls, and what is proposed.

#include "paddlepier/execution/dispatcher.h"

#include "paddlepier/base/log.h"

#include <algorithm>
#include <array>
#include <set>

namespace paddlepier::execution
{

namespace
{

/** How long a worker may hold a poll back while nothing ends; bounds how late a silent worker is noticed. */
constexpr Duration pollWait = absl::Milliseconds(500);
/** The same where filling runs disturb serving ones, whose figures cover half a second. */
constexpr Duration contendedPollWait = absl::Milliseconds(400);
/** The wait, and some ten round trips of the slowest link; ends that an answer lost with it listed are seen that much later. */
constexpr Duration pollTimeout = absl::Milliseconds(750);
constexpr Duration firstPollTimeout = absl::Milliseconds(350);

/** A sound worker answers in some 10 ms; one whose answer is this late gets no further work until it answers. */
constexpr Duration answerPatience = absl::Milliseconds(250);

/** Least pause between two plans, so that what comes at nearly the same time is decided together. */
constexpr Duration planPause = absl::Milliseconds(6);

/** A plan is made at least this often, for what only time changes: due occurrences, tickets, waiting periods. */
constexpr Duration planInterval = absl::Milliseconds(200);

/** How often what is known of ended jobs is dropped. */
constexpr Duration forgetInterval = absl::Seconds(2);

/** What is kept of an order until its answer comes. */
Order withoutPayload(const Order &order)
{
    const auto *start = std::get_if<StartOrder>(&order);
    return start == nullptr ? order : StartOrder{start->task, start->run, "", "", ""};
}

} // namespace

const char *nameOf(StopReason reason)
{
    static constexpr std::array<const char *, 7> names{"none", "job-ended", "preempted", "stands-still", "worker-leaves", "start-unsettled", "disturbs"};
    return names.at(static_cast<std::size_t>(reason));
}

Dispatcher::Dispatcher(const workload::Workload &workloadState, DispatchOptions dispatchOptions, std::uint64_t fenceToken, Timestamp now)
    : state(workloadState)
    , options(dispatchOptions)
    , fence(fenceToken)
    , planner(this->state, this->views, this->tracks, this->advice, this->usualRatios)
{
    this->syncWorkers(now);
    this->adoptRuns(now);
}

void Dispatcher::adoptRuns(Timestamp now)
{
    for (const auto &[id, worker] : this->state.workers()) {
        for (const workload::TaskKey &key : worker.runs) {
            const workload::Task &task = this->state.findJob(key.job)->task(key);
            RunTrack track;
            track.run = task.lastRun;
            track.worker = id;
            track.checkpoint = task.checkpoint;
            track.placedAt = now;
            // Whether an earlier leader's start arrived, or will, isn't known; the first poll tells what runs.
            track.mayStartLate = true;
            track.ticketValidUntil = absl::InfinitePast();
            this->tracks.emplace(key, std::move(track));
            this->unsettled.insert(key);
        }
    }
}

void Dispatcher::noteChange()
{
    this->changed = true;
}

void Dispatcher::noteAnnouncement(Timestamp now, const std::string &worker, std::uint64_t sequence, Duration drainRemaining)
{
    const auto view = this->views.find(worker);
    if (view == this->views.end()) {
        return;
    }
    view->second.announcedAt = now;
    view->second.announcedSequence = std::max(view->second.announcedSequence, sequence);
    if (drainRemaining < absl::InfiniteDuration()) {
        view->second.leavesAt = std::min(view->second.leavesAt, now + drainRemaining);
    }
}

bool Dispatcher::isStaleAnnouncement(const std::string &worker, std::uint64_t sequence) const
{
    const auto view = this->views.find(worker);
    return view != this->views.end() && sequence < view->second.announcedSequence;
}

bool Dispatcher::hasBegun(const workload::Job &job) const
{
    if (job.hasBegun()) {
        return true;
    }
    for (auto track = this->tracks.lower_bound({job.id(), 0, 0, 0}); track != this->tracks.end() && track->first.job == job.id(); ++track) {
        if (track->second.runningSince < absl::InfiniteFuture()) {
            return true;
        }
    }
    return false;
}

std::uint32_t Dispatcher::waitingJobs(const std::string &queue) const
{
    const std::set<std::string> &active = this->state.activeJobs();
    return static_cast<std::uint32_t>(std::count_if(active.begin(), active.end(), [&](const std::string &id) {
        const workload::Job &job = *this->state.findJob(id);
        return job.queue().name == queue && !job.hasEnded() && !this->hasBegun(job);
    }));
}

DispatchEffects Dispatcher::step(Timestamp now, std::int64_t wallMillis)
{
    this->syncWorkers(now);
    this->forgetEndedJobs(now);
    this->expireLeases(now);
    this->supersedeRuns(now);
    this->drainWorkers(now);
    this->driveRuns(now);
    this->planWork(now, wallMillis);
    this->pollWorkers(now);
    return std::exchange(this->effects, DispatchEffects());
}

void Dispatcher::syncWorkers(Timestamp now)
{
    for (const auto &[id, worker] : this->state.workers()) {
        this->views.try_emplace(id, now, this->options.longestLease);
    }
    for (auto view = this->views.begin(); view != this->views.end();) {
        view = this->state.findWorker(view->first) == nullptr ? this->views.erase(view) : std::next(view);
    }
}

void Dispatcher::forgetEndedJobs(Timestamp now)
{
    if (now < this->nextForget) {
        return;
    }
    this->nextForget = now + forgetInterval;
    this->advice.forgetJobs([this](const std::string &job) { return !this->state.activeJobs().contains(job); });
    std::erase_if(this->supersededTracks, [this](const auto &entry) {
        const workload::Worker *worker = this->state.findWorker(entry.first.first);
        return worker == nullptr || !worker->superseded.contains(entry.first.second);
    });
}

void Dispatcher::send(Timestamp now, const std::string &worker, Order order, Duration timeout, bool withLease)
{
    WorkerView &view = this->views.at(worker);
    WorkerCall call;
    call.id = this->nextCall++;
    call.worker = worker;
    call.address = this->state.findWorker(worker)->registration.address;
    call.fence = this->fence;
    call.leaseEndOnWorkerClock = withLease ? view.leaseEnd(now, this->options.longestLease) : 0;
    call.timeout = timeout;
    call.order = std::move(order);
    view.noteLease(call.leaseEndOnWorkerClock);
    const auto *poll = std::get_if<PollOrder>(&call.order);
    view.noteCall(call.id, now + answerPatience + (poll == nullptr ? absl::ZeroDuration() : poll->wait));
    this->calls[call.id] = {worker, withoutPayload(call.order), now};
    this->effects.calls.push_back(std::move(call));
}

void Dispatcher::propose(ProposalKind kind, const std::string &worker, work::CommandUnion command)
{
    const std::uint64_t id = this->nextProposal++;
    this->proposals[id] = {kind, worker};
    this->effects.proposals.push_back({id, std::move(command)});
}

void Dispatcher::pollWorkers(Timestamp now)
{
    for (auto &[id, view] : this->views) {
        if (view.pollState != PollState::Idle || view.nextPoll > now || view.isFenced) {
            continue;
        }
        PollOrder order;
        order.lastSequence = this->state.findWorker(id)->lastSequence;
        order.wait = !view.isReachable(now) ? absl::ZeroDuration() : view.isContended ? contendedPollWait : pollWait;
        view.pollState = PollState::InFlight;
        view.pollSentAt = now;
        // A silent worker may receive what it doesn't answer: offering it a lease again and again would keep its runs for ever.
        this->send(now, id, order, view.isReachable(now) ? pollTimeout : firstPollTimeout, view.isReachable(now));
    }
}

void Dispatcher::takeAnswer(Timestamp now, std::uint64_t callId, const WorkerAnswer &answer)
{
    const auto found = this->calls.find(callId);
    if (found == this->calls.end()) {
        return;
    }
    const PendingCall call = std::move(found->second);
    this->calls.erase(found);
    const auto view = this->views.find(call.worker);
    if (view == this->views.end()) {
        return;
    }
    view->second.noteCallEnd(callId);
    if (answer.kind == AnswerKind::OtherLife) {
        log::info("dispatch", "worker.other-life", {{"worker", call.worker}});
        this->removeWorker(call.worker);
        return;
    }
    if (answer.kind == AnswerKind::Fenced && !view->second.isFenced) {
        view->second.isFenced = true;
        log::warning("dispatch", "worker.fenced", {{"worker", call.worker}, {"fence", this->fence}});
    }
    if (!view->second.isKnown() && answer.kind == AnswerKind::Accepted && std::holds_alternative<PollOrder>(call.order)) {
        this->removeOtherLives(call.worker, call.sentAt);
    }
    if (answer.kind != AnswerKind::NoAnswer && answer.kind != AnswerKind::NotSent) {
        view->second.noteAnswer(now, answer.hasClock ? std::optional(answer.clockMillis) : std::nullopt);
    }
    if (std::holds_alternative<PollOrder>(call.order)) {
        this->takePoll(now, call, answer);
    } else if (const auto *start = std::get_if<StartOrder>(&call.order)) {
        this->takeStart(now, call, *start, answer);
    } else if (const auto *stop = std::get_if<StopOrder>(&call.order)) {
        this->takeStop(now, call, *stop, answer);
    } else if (const auto *pace = std::get_if<PaceOrder>(&call.order)) {
        this->takePace(call, *pace, answer);
    }
}

void Dispatcher::takePoll(Timestamp now, const PendingCall &call, const WorkerAnswer &answer)
{
    WorkerView &view = this->views.at(call.worker);
    view.pollState = PollState::Idle;
    if (answer.kind != AnswerKind::Accepted) {
        view.noteSilence(now);
        log::info("dispatch", "poll.failed", {{"worker", call.worker}, {"answer", nameOf(answer.kind)}});
        return;
    }
    view.nextPoll = now;
    this->takeEnded(now, call.worker, view, answer);
    this->takeRunning(now, call.worker, view, answer);
    this->watchRuns(now, call.worker, view);
    this->settleVanished(now, call.worker, call.sentAt, answer);
    this->settleSuperseded(now, call.worker, call.sentAt, answer);
}

void Dispatcher::takeEnded(Timestamp now, const std::string &worker, WorkerView &view, const WorkerAnswer &answer)
{
    work::RecordEndsT record;
    record.worker = worker;
    const std::uint64_t recorded = this->state.findWorker(worker)->lastSequence;
    for (const ListedEnd &listed : answer.ended) {
        if (listed.sequence <= recorded) {
            continue;
        }
        this->judgeEnd(now, view, listed);
        auto &end = record.ends.emplace_back(std::make_unique<work::RunEndT>());
        end->task = listed.task.record();
        end->run = listed.run;
        end->kind = listed.kind;
        end->checkpoint = listed.checkpoint;
        end->sequence = listed.sequence;
    }
    if (record.ends.empty()) {
        return;
    }
    this->dropTracks(record);
    view.pollState = PollState::RecordingEnds;
    work::CommandUnion command;
    command.Set(std::move(record));
    this->propose(ProposalKind::RecordEnds, worker, std::move(command));
}

void Dispatcher::dropTracks(const work::RecordEndsT &command)
{
    for (const auto &end : command.ends) {
        const auto track = this->tracks.find(workload::TaskKey(*end->task));
        if (track != this->tracks.end() && track->second.run == end->run && track->second.worker == command.worker) {
            this->tracks.erase(track);
        }
    }
}

void Dispatcher::settleVanished(Timestamp now, const std::string &worker, Timestamp pollSentAt, const WorkerAnswer &answer)
{
    std::set<workload::TaskKey> listed;
    for (const ListedRun &run : answer.running) {
        listed.insert(run.task);
    }
    std::vector<std::pair<workload::TaskKey, RunTrack>> vanished;
    const workload::Worker &record = *this->state.findWorker(worker);
    for (const workload::TaskKey &key : record.runs) {
        const auto track = this->tracks.find(key);
        if (track == this->tracks.end() || track->second.worker != worker || listed.contains(key)) {
            continue;
        }
        if (track->second.settledAt < pollSentAt) {
            vanished.emplace_back(key, track->second);
        } else if (track->second.phase == RunPhase::Running && track->second.runningSince < pollSentAt) {
            // It ran and is gone without an end that is still listed: make sure that it stays gone.
            this->stopRun(now, key, track->second, StopReason::StartUnsettled);
        }
    }
    this->endRuns(worker, vanished, work::RunEndKind::Void);
}

void Dispatcher::endRuns(const std::string &worker, const std::vector<std::pair<workload::TaskKey, RunTrack>> &ended, work::RunEndKind kind)
{
    if (ended.empty()) {
        return;
    }
    work::RecordEndsT record;
    record.worker = worker;
    for (const auto &[key, track] : ended) {
        log::info("dispatch", "run.ended", {{"task", key.text()}, {"run", track.run}, {"how", work::EnumNameRunEndKind(kind)}, {"worker", worker}});
        auto &end = record.ends.emplace_back(std::make_unique<work::RunEndT>());
        end->task = key.record();
        end->run = track.run;
        end->kind = kind;
        end->checkpoint = track.checkpoint;
    }
    this->dropTracks(record);
    work::CommandUnion command;
    command.Set(std::move(record));
    this->propose(ProposalKind::RecordEnds, "", std::move(command));
}

void Dispatcher::takeOutcome(Timestamp now, std::uint64_t proposalId, const workload::Outcome &outcome)
{
    const auto found = this->proposals.find(proposalId);
    if (found == this->proposals.end()) {
        return;
    }
    const PendingProposal proposal = std::move(found->second);
    this->proposals.erase(found);
    this->changed = true;
    if (proposal.kind == ProposalKind::RecordEnds) {
        const auto view = this->views.find(proposal.worker);
        if (view != this->views.end()) {
            view->second.pollState = PollState::Idle;
        }
        return;
    }
    if (proposal.kind != ProposalKind::Place) {
        return;
    }
    this->placing = false;
    this->logPlacements(outcome.placed);
    for (const work::PlacementT &placed : outcome.placed) {
        const workload::TaskKey key(*placed.task);
        RunTrack track;
        track.run = placed.run;
        track.worker = placed.worker;
        track.placedAt = now;
        const workload::Job &job = *this->state.findJob(key.job);
        track.checkpoint = job.task(key).checkpoint;
        if (job.queue().advice) {
            const planning::Ticket *ticket = this->advice.validTicket(absl::InfinitePast(), key.stepKey(), placed.worker);
            track.ticket = ticket == nullptr ? "" : ticket->text;
            track.ticketValidUntil = ticket == nullptr ? absl::InfinitePast() : ticket->validUntil;
        }
        this->tracks[key] = std::move(track);
        this->unsettled.insert(key);
    }
}

void Dispatcher::logPlacements(const std::vector<work::PlacementT> &placed) const
{
    // One line for each step; what became of each run stands in the line of its end.
    std::map<workload::StepKey, std::string> workersByStep;
    for (const work::PlacementT &placement : placed) {
        absl::StrAppend(&workersByStep[workload::TaskKey(*placement.task).stepKey()], " ", placement.task->index, "@", placement.worker);
    }
    for (const auto &[step, workers] : workersByStep) {
        const workload::Job &job = *this->state.findJob(step.job);
        log::info(
            "dispatch",
            "step.placed",
            {{"step", step.text()}, {"queue", job.queue().name}, {"ageMillis", this->state.appliedAtMillis() - job.submittedAtMillis()}, {"runs", workers}});
    }
}

void Dispatcher::takeAdvice(Timestamp now, std::uint64_t question, const AdviceAnswer &answer)
{
    this->advice.answer(now, question, answer);
    this->changed = true;
}

void Dispatcher::planWork(Timestamp now, std::int64_t wallMillis)
{
    if (this->placing || now < this->nextPlan || (!this->changed && now < this->nextPlan + planInterval)) {
        return;
    }
    this->changed = false;
    this->nextPlan = now + planPause;
    planning::Plan plan = this->planner.plan(now, wallMillis);
    std::move(plan.questions.begin(), plan.questions.end(), std::back_inserter(this->effects.questions));
    for (const workload::TaskKey &key : plan.preempted) {
        const auto track = this->tracks.find(key);
        if (track != this->tracks.end()) {
            this->stopRun(now, key, track->second, StopReason::Preempted);
        }
    }
    if (plan.placements.empty()) {
        return;
    }
    work::PlaceRunsT command;
    for (work::PlacementT &placement : plan.placements) {
        command.placements.push_back(std::make_unique<work::PlacementT>(std::move(placement)));
    }
    work::CommandUnion made;
    made.Set(std::move(command));
    this->placing = true;
    this->propose(ProposalKind::Place, "", std::move(made));
}

RunTrack *Dispatcher::findTrack(const workload::TaskKey &key, std::uint32_t run, const std::string &worker)
{
    const auto found = this->tracks.find(key);
    const bool isThatRun = found != this->tracks.end() && found->second.run == run && found->second.worker == worker;
    return isThatRun ? &found->second : nullptr;
}

} // namespace paddlepier::execution
