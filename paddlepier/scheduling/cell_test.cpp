// Stateful fuzzing of placement and leases: the real ledger, lease table and scheduler against fake workers, in virtual
// time, with an oracle that looks at what the workers run.
//
// Faults: late and lost announcements and replies, workers that freeze, restart, die or drain, clocks that run at
// different rates, changes of leadership that lose proposals, cancels.

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
constexpr std::uint64_t mutantScenarios = 2000;
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
        this->timing.workerSilence = absl::Milliseconds(700);
        this->timing.driftPerMille = 100;
        for (std::size_t index = 0; index < workerCount; ++index) {
            FakeWorker worker;
            worker.name = absl::StrCat("w", index);
            worker.clockRate = 1.0 + (static_cast<double>(this->chance(19)) - 9) / 100;
            worker.nextAnnounce = this->now;
            this->workers.push_back(std::move(worker));
        }
        this->elect();
    }

    std::optional<std::string> run()
    {
        for (std::size_t fault = 0; fault < faultsPerScenario && !this->broken; ++fault) {
            this->inject();
            this->advance(absl::Milliseconds(20 * this->chance(25)));
        }
        this->settle();
        return this->broken;
    }

private:
    std::size_t chance(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    void fail(const std::string &what)
    {
        this->broken = this->broken ? this->broken : what;
    }

    std::int64_t clockOf(const FakeWorker &worker) const
    {
        return static_cast<std::int64_t>(static_cast<double>(absl::ToUnixMicros(this->now)) * worker.clockRate);
    }

    void elect()
    {
        ++this->term;
        // What an earlier leader proposed is applied whole, in part or not at all.
        const std::size_t kept = this->proposals.empty() ? 0 : this->chance(this->proposals.size() + 1);
        for (std::size_t index = 0; index < kept; ++index) {
            this->apply(this->proposals[index].command);
        }
        this->proposals.clear();
        this->placementUnderWay = false;
        this->held.clear();
        this->leases = std::make_unique<ledger::LeaseTable>(this->timing, this->term, this->state.upcomingEpoch(), this->now, this->guards);
        this->scheduler.rebuild(this->state);
        if (this->chance(3) == 0) {
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
                this->fail(absl::StrCat(name, " is reserved over its capacity"));
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
        command.partner = this->chance(2) == 0 ? "one" : "two";
        command.submissionId = absl::StrCat(this->nextSubmission++);
        command.spec = std::make_unique<wire::JobSpecT>();
        command.spec->name = "job";
        // Few services, since they stay: a full cell places nothing again.
        const bool isService = this->chance(10) == 0;
        command.spec->kind = isService ? wire::JobKind::Service : this->chance(4) == 0 ? wire::JobKind::Gang : wire::JobKind::Batch;
        command.spec->tasks = static_cast<std::uint32_t>(1 + this->chance(3));
        command.spec->resources = wire::Resources(500 * (1 + this->chance(6)), 100 * (1 + this->chance(8)), this->chance(3) == 0 ? 1 : 0);
        command.spec->maxAttempts = 50;
        command.spec->runSeconds = this->chance(4);
        command.spec->atMostOnce = command.spec->kind == wire::JobKind::Batch && this->chance(2) == 0;
        this->propose(std::move(command));
    }

    void inject()
    {
        FakeWorker &worker = this->workers[this->chance(workerCount)];
        switch (this->chance(13)) {
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
            // A restart: the tasks and everything known are gone, but for the sequence.
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
                command.job = std::next(this->state.jobs().begin(), static_cast<std::ptrdiff_t>(this->chance(this->state.jobs().size())))->first;
                this->propose(command);
            }
            break;
        case 11:
            this->placeBlindly();
            break;
        default: {
            wire::DrainWorkerT command;
            command.worker = worker.name;
            command.draining = this->chance(2) == 0;
            this->propose(std::move(command));
            break;
        }
        }
    }

    /** Placements without a look at what is free, as a late decision of an earlier leader may be. */
    void placeBlindly()
    {
        wire::PlaceTasksT command;
        for (const std::uint64_t id : this->state.queuedJobs()) {
            auto group = std::make_unique<wire::PlacementGroupT>();
            for (const wire::TaskRecordT &task : this->state.findJob(id)->tasks()) {
                auto placement = std::make_unique<wire::PlacementT>();
                placement->job = id;
                placement->index = task.index;
                placement->worker = this->workers[this->chance(workerCount)].name;
                group->placements.push_back(std::move(placement));
            }
            command.groups.push_back(std::move(group));
        }
        this->propose(std::move(command));
    }

    void advance(Duration duration)
    {
        const Timestamp end = this->now + duration;
        while (this->now < end && !this->broken) {
            this->now += stepTime;
            this->applyProposals();
            this->takeAnnouncements();
            this->answerHeld();
            this->lead();
            for (std::size_t index = 0; index < this->workers.size(); ++index) {
                this->work(index);
            }
            this->look();
        }
    }

    void applyProposals()
    {
        while (!this->proposals.empty() && this->proposals.front().due <= this->now) {
            const Proposal proposal = std::move(this->proposals.front());
            this->proposals.pop_front();
            this->placementUnderWay = this->placementUnderWay && !proposal.isPlacement;
            this->apply(proposal.command);
        }
    }

    void takeAnnouncements()
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
                    this->orderProposals();
                }
                if (this->chance(3) == 0) {
                    // Held back, and answered from a later state.
                    this->held.push_back({this->now + absl::Milliseconds(20 * this->chance(15)), announcement.worker, announcement.request});
                } else if (this->chance(6) > 0) {
                    this->replies.push_back({this->now + this->delay(), announcement.worker, announcement.request.clockMicros, std::move(result.reply)});
                }
            } catch (const StaleAnnouncementError &) {
                continue;
            }
        }
    }

    void answerHeld()
    {
        for (std::size_t index = 0; index < this->held.size();) {
            if (this->held[index].due > this->now) {
                ++index;
                continue;
            }
            const Announcement announcement = std::move(this->held[index]);
            this->held.erase(this->held.begin() + static_cast<std::ptrdiff_t>(index));
            std::optional<wire::AnnounceReplyT> reply = this->leases->replyNow(announcement.request, this->state);
            if (reply) {
                this->replies.push_back({this->now + this->delay(), announcement.worker, announcement.request.clockMicros, std::move(*reply)});
            }
        }
    }

    void orderProposals()
    {
        Proposal &last = this->proposals.back();
        if (this->proposals.size() > 1) {
            last.due = std::max(last.due, this->proposals[this->proposals.size() - 2].due);
        }
    }

    /** Mostly quick; now and then an election or a slow disk holds a proposal up. */
    Duration commitDelay()
    {
        return this->chance(6) == 0 ? stepTime * this->chance(60) : stepTime * this->chance(5);
    }

    Duration delay()
    {
        return this->chance(5) == 0 ? absl::Milliseconds(20 * this->chance(200)) : stepTime * this->chance(3);
    }

    void lead()
    {
        for (wire::CommandUnion &command : this->leases->expire(this->now, this->state)) {
            this->proposals.push_back({this->now + this->commitDelay(), std::move(command), false});
            this->orderProposals();
        }
        this->scheduler.setReachable(this->state, [this](const std::string &worker) { return this->leases->isReachable(this->now, worker); });
        this->scheduler.refresh(this->state);
        if (!this->placementUnderWay) {
            std::optional<wire::PlaceTasksT> command = this->scheduler.decide(this->state, absl::ToUnixMicros(this->now));
            if (command) {
                this->placementUnderWay = true;
                this->propose(std::move(*command), true);
            }
        }
    }

    void work(std::size_t index)
    {
        FakeWorker &worker = this->workers[index];
        if (worker.frozen || worker.dead) {
            // A dead worker runs nothing; a frozen one's tasks run on until their lease ends by its clock.
            if (worker.dead) {
                worker.running.clear();
            }
            this->endDue(worker);
            return;
        }
        this->takeReplies(index);
        this->endDue(worker);
        if (this->now >= worker.nextAnnounce) {
            worker.nextAnnounce = this->now + this->timing.announceInterval;
            this->announce(index);
        }
    }

    void endDue(FakeWorker &worker)
    {
        const std::int64_t clock = this->clockOf(worker);
        for (auto run = worker.running.begin(); run != worker.running.end();) {
            if (clock >= worker.leaseEnd) {
                run = worker.running.erase(run);
            } else if (clock >= run->second.endClock) {
                wire::FinishedAttemptT attempt;
                attempt.lease = wire::TaskLease(run->first.first, run->first.second, run->second.epoch);
                attempt.outcome = static_cast<wire::AttemptOutcome>(this->chance(2));
                worker.finished.push_back(attempt);
                run = worker.running.erase(run);
            } else {
                ++run;
            }
        }
    }

    void takeReplies(std::size_t index)
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
            this->takeReply(worker, reply);
        }
    }

    void takeReply(FakeWorker &worker, const Reply &reply)
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
            const std::int64_t length = static_cast<std::int64_t>(assignment->runSeconds) * 1'000'000 + 100'000;
            const std::int64_t end = assignment->kind == wire::JobKind::Service ? INT64_MAX : this->clockOf(worker) + length;
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
        announcement.due = this->now + this->delay();
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
        if (this->chance(8) > 0) {
            this->announcements.push_back(std::move(announcement));
        }
    }

    void look()
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
                this->fail(absl::StrCat(worker.name, " runs tasks over its capacity"));
            }
        }
    }

    void settle()
    {
        for (FakeWorker &worker : this->workers) {
            worker.frozen = false;
            worker.dead = false;
            worker.draining = false;
        }
        this->advance(absl::Seconds(5)); // Submissions under way.
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
                this->fail(absl::StrCat(name, " keeps a reservation of ended jobs"));
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
    bool placementUnderWay = false;
    std::vector<FakeWorker> workers;
    std::vector<Announcement> announcements;
    std::vector<Announcement> held;
    std::vector<Reply> replies;
    std::map<TaskKey, std::size_t> starts;
    std::uint64_t nextSubmission = 1;
    std::optional<std::string> broken;
};

bool tellsOfTwoRuns(const std::string &violation)
{
    return violation.find(" runs on ") != std::string::npos || violation.find(" started twice") != std::string::npos;
}

/** The first promise that some scenario breaks; empty if none does. */
std::string findBroken(ledger::LeaseGuards guards)
{
    for (std::uint64_t seed = 1; seed <= mutantScenarios; ++seed) {
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

TEST_CASE("cell_concludingFromOldReplies_isCaught", "[proof][red]")
{
    ledger::LeaseGuards guards;
    guards.fenceOldReplies = false;
    REQUIRE(tellsOfTwoRuns(findBroken(guards)));
}

TEST_CASE("cell_withoutRenewalAtElection_isCaught", "[proof][red]")
{
    ledger::LeaseGuards guards;
    guards.renewAtElection = false;
    REQUIRE(tellsOfTwoRuns(findBroken(guards)));
}

TEST_CASE("cell_renewingLeasesUnderWayToTheirEnd_isCaught", "[proof][red]")
{
    ledger::LeaseGuards guards;
    guards.withdrawBeforeEnd = false;
    REQUIRE(tellsOfTwoRuns(findBroken(guards)));
}
