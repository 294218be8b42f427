// Stateful fuzz test of placement and leases: the real ledger, lease table and scheduler with fake workers in virtual
// time. An oracle checks which tasks the workers run.
//
// Faults: delayed and lost announcements and replies; workers that freeze, restart, crash or drain; clocks that run at
// different rates; leader changes that lose proposals; cancelled jobs.

#include "paddlepier/ledger/leasetable.h"
#include "paddlepier/scheduling/scheduler.h"
#include "testing/property.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace paddlepier;
using namespace paddlepier::scheduling;

namespace
{

constexpr Duration stepTime = absl::Milliseconds(20);
constexpr std::uint64_t redScenarios = 2000;
constexpr std::size_t workerCount = 5;
constexpr std::size_t faultsPerScenario = 120;

using TaskKey = std::pair<std::uint64_t, std::uint32_t>;

struct FakeWorker {
    std::string name;
    double clockRate = 1;
    bool frozen = false;
    bool dead = false;
    bool draining = false;
    std::uint64_t sequence = 0;
    std::uint64_t replySequence = 0;
    std::uint64_t term = 0;
    std::int64_t leaseEnd = 0;
    Timestamp nextAnnounce;
    struct Run {
        std::uint64_t epoch = 0;
        std::int64_t endClock = 0;
        wire::Resources need;
    };
    std::map<TaskKey, Run> running;
    std::vector<wire::FinishedAttemptT> finished;
};

struct Announcement {
    Timestamp due;
    std::size_t worker = 0;
    wire::AnnounceRequestT request;
};

struct Reply {
    Timestamp due;
    std::size_t worker = 0;
    std::int64_t sentClock = 0;
    wire::AnnounceReplyT reply;
};

struct Proposal {
    Timestamp due;
    wire::CommandUnion command;
    bool isPlacement = false;
};

class FakeCell
{
public:
    FakeCell(std::uint64_t seed, ledger::LeaseGuards leaseGuards)
        : random(seed)
        , guards(leaseGuards)
    {
        this->timing.taskLease = absl::Seconds(2);
        this->timing.announceInterval = absl::Milliseconds(200);
        this->timing.workerTimeout = absl::Milliseconds(700);
        this->timing.driftPerMille = 100;
        for (std::size_t index = 0; index < workerCount; ++index) {
            FakeWorker worker;
            worker.name = absl::StrCat("w", index);
            worker.clockRate = 1.0 + (static_cast<double>(this->randomBelow(19)) - 9) / 100;
            worker.nextAnnounce = this->now;
            this->workers.push_back(std::move(worker));
        }
        this->elect();
    }

    std::optional<std::string> run()
    {
        for (std::size_t fault = 0; fault < faultsPerScenario && !this->firstViolation; ++fault) {
            this->injectFault();
            this->advance(absl::Milliseconds(20 * this->randomBelow(25)));
        }
        this->recoverAndVerify();
        return this->firstViolation;
    }

private:
    std::size_t randomBelow(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    void fail(const std::string &what)
    {
        this->firstViolation = this->firstViolation ? this->firstViolation : what;
    }

    std::int64_t clockOf(const FakeWorker &worker) const
    {
        return static_cast<std::int64_t>(static_cast<double>(absl::ToUnixMicros(this->now)) * worker.clockRate);
    }

    void elect()
    {
        ++this->term;
        // A random prefix of the earlier leader's proposals is applied; the rest is lost.
        const std::size_t kept = this->proposals.empty() ? 0 : this->randomBelow(this->proposals.size() + 1);
        for (std::size_t index = 0; index < kept; ++index) {
            this->apply(this->proposals[index].command);
        }
        this->proposals.clear();
        this->isPlacementInFlight = false;
        this->heldAnnouncements.clear();
        this->leases = std::make_unique<ledger::LeaseTable>(this->timing, this->term, this->state.upcomingEpoch(), this->now, this->guards);
        this->scheduler.rebuild(this->state);
        if (this->randomBelow(3) == 0) {
            ledger::Ledger restored;
            restored.restore(this->state.snapshot());
            this->state = std::move(restored);
            this->scheduler.rebuild(this->state);
        }
    }

    void apply(const wire::CommandUnion &command)
    {
        wire::LedgerEntryT entry;
        entry.atMicros = absl::ToUnixMicros(this->now);
        entry.command = command;
        this->state.apply(entry);
        for (const auto &[name, worker] : this->state.workers()) {
            if (!ledger::fits(worker.reserved(), worker.registration().capacity)) {
                this->fail(absl::StrCat(name, " has reservations above its capacity"));
            }
        }
    }

    template<typename Command>
    void propose(Command command, bool isPlacement = false)
    {
        Proposal proposal;
        proposal.due = this->now + this->commitDelay();
        if (!this->proposals.empty()) {
            proposal.due = std::max(proposal.due, this->proposals.back().due);
        }
        proposal.command.Set(std::move(command));
        proposal.isPlacement = isPlacement;
        this->proposals.push_back(std::move(proposal));
    }

    void submit()
    {
        wire::SubmitJobT command;
        command.partner = this->randomBelow(2) == 0 ? "one" : "two";
        command.submissionId = absl::StrCat(this->nextSubmission++);
        command.spec = std::make_unique<wire::JobSpecT>();
        command.spec->name = "job";
        // Few services, because they never end: once they fill the cell, nothing more is placed.
        const bool isService = this->randomBelow(10) == 0;
        command.spec->kind = isService ? wire::JobKind::Service : this->randomBelow(4) == 0 ? wire::JobKind::Gang : wire::JobKind::Batch;
        command.spec->tasks = static_cast<std::uint32_t>(1 + this->randomBelow(3));
        command.spec->resources = wire::Resources(500 * (1 + this->randomBelow(6)), 100 * (1 + this->randomBelow(8)), this->randomBelow(3) == 0 ? 1 : 0);
        command.spec->maxAttempts = 50;
        command.spec->runSeconds = this->randomBelow(4);
        command.spec->atMostOnce = command.spec->kind == wire::JobKind::Batch && this->randomBelow(2) == 0;
        this->propose(std::move(command));
    }

    void injectFault()
    {
        FakeWorker &worker = this->workers[this->randomBelow(workerCount)];
        switch (this->randomBelow(13)) {
        case 0:
        case 1:
        case 2:
            this->submit();
            break;
        case 3:
            worker.frozen = true;
            break;
        case 4:
        case 5:
            worker.frozen = false;
            worker.dead = false;
            break;
        case 6:
            // A restart loses the tasks and all state except the sequence.
            worker.running.clear();
            worker.finished.clear();
            worker.term = 0;
            worker.replySequence = 0;
            worker.leaseEnd = 0;
            worker.frozen = false;
            break;
        case 7:
            worker.dead = true;
            break;
        case 8:
            this->elect();
            break;
        case 9:
            worker.draining = !worker.draining;
            break;
        case 10:
            if (!this->state.jobs().empty()) {
                wire::CancelJobT command;
                command.job = std::next(this->state.jobs().begin(), static_cast<std::ptrdiff_t>(this->randomBelow(this->state.jobs().size())))->first;
                this->propose(command);
            }
            break;
        case 11:
            this->placeAtRandom();
            break;
        default: {
            wire::DrainWorkerT command;
            command.worker = worker.name;
            command.draining = this->randomBelow(2) == 0;
            this->propose(std::move(command));
            break;
        }
        }
    }

    /** Proposes placements regardless of free capacity, as a late decision of an earlier leader may do. */
    void placeAtRandom()
    {
        wire::PlaceTasksT command;
        for (const std::uint64_t id : this->state.queuedJobs()) {
            auto group = std::make_unique<wire::PlacementGroupT>();
            for (const wire::TaskRecordT &task : this->state.findJob(id)->tasks()) {
                auto placement = std::make_unique<wire::PlacementT>();
                placement->job = id;
                placement->index = task.index;
                placement->worker = this->workers[this->randomBelow(workerCount)].name;
                group->placements.push_back(std::move(placement));
            }
            command.groups.push_back(std::move(group));
        }
        this->propose(std::move(command));
    }

    void advance(Duration duration)
    {
        const Timestamp end = this->now + duration;
        while (this->now < end && !this->firstViolation) {
            this->now += stepTime;
            this->applyProposals();
            this->deliverAnnouncements();
            this->answerHeldAnnouncements();
            this->runLeader();
            for (std::size_t index = 0; index < this->workers.size(); ++index) {
                this->runWorker(index);
            }
            this->checkRunningTasks();
        }
    }

    void applyProposals()
    {
        while (!this->proposals.empty() && this->proposals.front().due <= this->now) {
            const Proposal proposal = std::move(this->proposals.front());
            this->proposals.pop_front();
            this->isPlacementInFlight = this->isPlacementInFlight && !proposal.isPlacement;
            this->apply(proposal.command);
        }
    }

    void deliverAnnouncements()
    {
        for (std::size_t index = 0; index < this->announcements.size();) {
            if (this->announcements[index].due > this->now) {
                ++index;
                continue;
            }
            const Announcement announcement = std::move(this->announcements[index]);
            this->announcements.erase(this->announcements.begin() + static_cast<std::ptrdiff_t>(index));
            try {
                ledger::AnnouncementResult result = this->leases->announce(this->now, announcement.request, this->state);
                for (wire::CommandUnion &command : result.commands) {
                    this->proposals.push_back({this->now + this->commitDelay(), std::move(command), false});
                    this->keepProposalsOrdered();
                }
                if (this->randomBelow(3) == 0) {
                    // The announcement is held back and answered from a later state.
                    this->heldAnnouncements.push_back({this->now + absl::Milliseconds(20 * this->randomBelow(15)), announcement.worker, announcement.request});
                } else if (this->randomBelow(6) > 0) {
                    this->replies.push_back({this->now + this->networkDelay(), announcement.worker, announcement.request.clockMicros, std::move(result.reply)});
                }
            } catch (const StaleAnnouncementError &) {
                continue;
            }
        }
    }

    void answerHeldAnnouncements()
    {
        for (std::size_t index = 0; index < this->heldAnnouncements.size();) {
            if (this->heldAnnouncements[index].due > this->now) {
                ++index;
                continue;
            }
            const Announcement announcement = std::move(this->heldAnnouncements[index]);
            this->heldAnnouncements.erase(this->heldAnnouncements.begin() + static_cast<std::ptrdiff_t>(index));
            std::optional<wire::AnnounceReplyT> reply = this->leases->currentReply(announcement.request, this->state);
            if (reply) {
                this->replies.push_back({this->now + this->networkDelay(), announcement.worker, announcement.request.clockMicros, std::move(*reply)});
            }
        }
    }

    void keepProposalsOrdered()
    {
        Proposal &last = this->proposals.back();
        if (this->proposals.size() > 1) {
            last.due = std::max(last.due, this->proposals[this->proposals.size() - 2].due);
        }
    }

    /** Mostly short, but occasionally as long as during an election or with a slow disk. */
    Duration commitDelay()
    {
        return this->randomBelow(6) == 0 ? stepTime * this->randomBelow(60) : stepTime * this->randomBelow(5);
    }

    Duration networkDelay()
    {
        return this->randomBelow(5) == 0 ? absl::Milliseconds(20 * this->randomBelow(200)) : stepTime * this->randomBelow(3);
    }

    void runLeader()
    {
        for (wire::CommandUnion &command : this->leases->expire(this->now, this->state)) {
            this->proposals.push_back({this->now + this->commitDelay(), std::move(command), false});
            this->keepProposalsOrdered();
        }
        this->scheduler.setReachable(this->state, [this](const std::string &worker) { return this->leases->isReachable(this->now, worker); });
        this->scheduler.refresh(this->state);
        if (!this->isPlacementInFlight) {
            std::optional<wire::PlaceTasksT> command = this->scheduler.decide(this->state, absl::ToUnixMicros(this->now));
            if (command) {
                this->isPlacementInFlight = true;
                this->propose(std::move(*command), true);
            }
        }
    }

    void runWorker(std::size_t index)
    {
        FakeWorker &worker = this->workers[index];
        if (worker.frozen || worker.dead) {
            // A dead worker runs nothing. The tasks of a frozen worker run until their lease ends by its clock.
            if (worker.dead) {
                worker.running.clear();
            }
            this->endExpiredRuns(worker);
            return;
        }
        this->deliverReplies(index);
        this->endExpiredRuns(worker);
        if (this->now >= worker.nextAnnounce) {
            worker.nextAnnounce = this->now + this->timing.announceInterval;
            this->announce(index);
        }
    }

    void endExpiredRuns(FakeWorker &worker)
    {
        const std::int64_t clock = this->clockOf(worker);
        for (auto run = worker.running.begin(); run != worker.running.end();) {
            if (clock >= worker.leaseEnd) {
                run = worker.running.erase(run);
            } else if (clock >= run->second.endClock) {
                wire::FinishedAttemptT attempt;
                attempt.lease = wire::TaskLease(run->first.first, run->first.second, run->second.epoch);
                attempt.outcome = static_cast<wire::AttemptOutcome>(this->randomBelow(2));
                worker.finished.push_back(attempt);
                run = worker.running.erase(run);
            } else {
                ++run;
            }
        }
    }

    void deliverReplies(std::size_t index)
    {
        FakeWorker &worker = this->workers[index];
        for (std::size_t position = 0; position < this->replies.size();) {
            if (this->replies[position].worker != index || this->replies[position].due > this->now) {
                ++position;
                continue;
            }
            const Reply reply = std::move(this->replies[position]);
            this->replies.erase(this->replies.begin() + static_cast<std::ptrdiff_t>(position));
            if (reply.reply.sequence != worker.sequence || reply.reply.term < worker.term) {
                continue;
            }
            this->handleReply(worker, reply);
        }
    }

    void handleReply(FakeWorker &worker, const Reply &reply)
    {
        worker.term = reply.reply.term;
        worker.replySequence = reply.reply.sequence;
        worker.leaseEnd = reply.sentClock + static_cast<std::int64_t>(reply.reply.leaseMillis) * 1000;
        std::map<TaskKey, std::uint64_t> kept;
        for (const wire::TaskLease &lease : reply.reply.renewed) {
            kept[{lease.job(), lease.index()}] = lease.epoch();
        }
        std::erase_if(worker.running, [&kept](const auto &run) {
            const auto found = kept.find(run.first);
            return found == kept.end() || found->second != run.second.epoch;
        });
        std::erase_if(worker.finished, [&reply](const wire::FinishedAttemptT &attempt) {
            return std::any_of(reply.reply.recorded.begin(), reply.reply.recorded.end(), [&attempt](const wire::TaskLease &lease) {
                return lease.epoch() == attempt.lease.epoch();
            });
        });
        for (const auto &assignment : reply.reply.started) {
            const TaskKey key{assignment->lease.job(), assignment->lease.index()};
            const std::int64_t runMicros = static_cast<std::int64_t>(assignment->runSeconds) * 1'000'000 + 100'000;
            const std::int64_t end = assignment->kind == wire::JobKind::Service ? INT64_MAX : this->clockOf(worker) + runMicros;
            worker.running[key] = {assignment->lease.epoch(), end, assignment->resources};
            const ledger::Job *job = this->state.findJob(key.first);
            if (job != nullptr && job->spec().atMostOnce && ++this->starts[key] > 1) {
                this->fail(absl::StrCat("at-most-once task ", key.first, "/", key.second, " was started twice"));
            }
        }
    }

    void announce(std::size_t index)
    {
        FakeWorker &worker = this->workers[index];
        Announcement announcement;
        announcement.due = this->now + this->networkDelay();
        announcement.worker = index;
        wire::AnnounceRequestT &request = announcement.request;
        request.worker = worker.name;
        request.partner = "one";
        request.dataCentre = "dc";
        request.rack = absl::StrCat("r", index % 2);
        request.sequence = ++worker.sequence;
        request.clockMicros = this->clockOf(worker);
        request.capacity = wire::Resources(4000, 1000, 2);
        request.term = worker.term;
        request.replySequence = worker.replySequence;
        request.draining = worker.draining;
        for (const auto &[key, run] : worker.running) {
            request.running.emplace_back(key.first, key.second, run.epoch);
        }
        for (const wire::FinishedAttemptT &attempt : worker.finished) {
            request.finished.push_back(std::make_unique<wire::FinishedAttemptT>(attempt));
        }
        if (this->randomBelow(8) > 0) {
            this->announcements.push_back(std::move(announcement));
        }
    }

    void checkRunningTasks()
    {
        std::map<TaskKey, std::string> places;
        for (const FakeWorker &worker : this->workers) {
            wire::Resources used;
            for (const auto &[key, run] : worker.running) {
                const auto [other, isNew] = places.emplace(key, worker.name);
                if (!isNew) {
                    this->fail(absl::StrCat("task ", key.first, "/", key.second, " runs on ", other->second, " and ", worker.name));
                }
                used = ledger::plus(used, run.need);
            }
            if (!ledger::fits(used, wire::Resources(4000, 1000, 2))) {
                this->fail(absl::StrCat(worker.name, " runs tasks above its capacity"));
            }
        }
    }

    void recoverAndVerify()
    {
        for (FakeWorker &worker : this->workers) {
            worker.frozen = false;
            worker.dead = false;
            worker.draining = false;
        }
        this->advance(absl::Seconds(5)); // For submissions in flight.
        for (const auto &[id, job] : this->state.jobs()) {
            wire::CancelJobT command;
            command.job = id;
            this->propose(command);
        }
        this->advance(absl::Seconds(30));
        for (const auto &[id, job] : this->state.jobs()) {
            if (!job.hasEnded()) {
                this->fail(absl::StrCat("job ", id, " never ends: ", wire::EnumNameTaskState(job.state())));
            }
        }
        for (const auto &[name, worker] : this->state.workers()) {
            if (!worker.tasks().empty() || !ledger::isZero(worker.reserved())) {
                this->fail(absl::StrCat(name, " still holds a reservation of ended jobs"));
            }
        }
    }

    std::mt19937_64 random;
    const ledger::LeaseGuards guards;
    TimingSettings timing;
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    ledger::Ledger state;
    Scheduler scheduler;
    std::unique_ptr<ledger::LeaseTable> leases;
    std::uint64_t term = 0;
    std::deque<Proposal> proposals;
    bool isPlacementInFlight = false;
    std::vector<FakeWorker> workers;
    std::vector<Announcement> announcements;
    std::vector<Announcement> heldAnnouncements;
    std::vector<Reply> replies;
    std::map<TaskKey, std::size_t> starts;
    std::uint64_t nextSubmission = 1;
    std::optional<std::string> firstViolation;
};

bool isDoubleRun(const std::string &violation)
{
    return violation.find(" runs on ") != std::string::npos || violation.find(" started twice") != std::string::npos;
}

/** The first violation of any scenario; empty without one. */
std::string findViolation(ledger::LeaseGuards guards)
{
    for (std::uint64_t seed = 1; seed <= redScenarios; ++seed) {
        const std::optional<std::string> violation = FakeCell(seed, guards).run();
        if (violation) {
            return *violation;
        }
    }
    return "";
}

} // namespace

TEST_CASE("cell_anyFaults_neverOvercommitsNorRunsTwice", "[proof][fuzz]")
{
    for (std::uint64_t number = 1; number <= testing::scenarios(300); ++number) {
        const std::uint64_t seed = number + testing::seedBase();
        const std::optional<std::string> violation = FakeCell(seed, {}).run();
        INFO("seed " << seed << ": " << violation.value_or(""));
        REQUIRE_FALSE(violation);
    }
}

TEST_CASE("cell_oldRepliesNotFenced_isCaught", "[proof][red]")
{
    ledger::LeaseGuards guards;
    guards.fenceOldReplies = false;
    REQUIRE(isDoubleRun(findViolation(guards)));
}

TEST_CASE("cell_leasesNotRenewedAtElection_isCaught", "[proof][red]")
{
    ledger::LeaseGuards guards;
    guards.renewAtElection = false;
    REQUIRE(isDoubleRun(findViolation(guards)));
}

TEST_CASE("cell_leaseRenewedAfterProposedEnd_isCaught", "[proof][red]")
{
    ledger::LeaseGuards guards;
    guards.withdrawBeforeEnd = false;
    REQUIRE(isDoubleRun(findViolation(guards)));
}
