// LeaseTable: directed cases that rarely occur in the fuzz test scheduling/cell_test.cpp.

#include "paddlepier/ledger/leasetable.h"

#include <catch2/catch.hpp>

using namespace paddlepier;
using namespace paddlepier::ledger;

namespace
{

class LeaseTableFixture
{
protected:
    LeaseTableFixture()
    {
        this->timing.taskLease = absl::Seconds(10);
        this->timing.driftPerMille = 10;
        wire::RegisterWorkerT registration;
        registration.worker = "w1";
        registration.capacity = wire::Resources(8000, 8000, 0);
        this->apply(registration);
    }

    template<typename Command>
    Applied apply(Command command)
    {
        wire::LedgerEntryT entry;
        entry.atMicros = 1;
        entry.command.Set(std::move(command));
        return this->ledger.apply(entry);
    }

    /** Submits a job of one task and places it on w1. */
    std::uint64_t placeJob(bool atMostOnce)
    {
        wire::SubmitJobT submit;
        submit.partner = "p";
        submit.submissionId = std::to_string(++this->submissions);
        submit.spec = std::make_unique<wire::JobSpecT>();
        submit.spec->resources = wire::Resources(1000, 1000, 0);
        submit.spec->atMostOnce = atMostOnce;
        const std::uint64_t job = this->apply(std::move(submit)).job;
        wire::PlaceTasksT place;
        place.groups.push_back(std::make_unique<wire::PlacementGroupT>());
        place.groups[0]->placements.push_back(std::make_unique<wire::PlacementT>());
        place.groups[0]->placements[0]->job = job;
        place.groups[0]->placements[0]->worker = "w1";
        this->apply(std::move(place));
        return job;
    }

    wire::AnnounceRequestT announcement(std::uint64_t sequence) const
    {
        wire::AnnounceRequestT request;
        request.worker = "w1";
        request.sequence = sequence;
        request.term = 1;
        request.capacity = wire::Resources(8000, 8000, 0);
        return request;
    }

    /** Number of commands that expire() returns @p after the worker's last announcement. */
    std::size_t expiredAfter(Duration after, LeaseGuards guards)
    {
        LeaseTable table(this->timing, 1, 1, this->start, guards);
        this->placeJob(false);
        table.announce(this->start, this->announcement(1), this->ledger);
        return table.expire(this->start + after, this->ledger).size();
    }

    const Timestamp start = absl::UnixEpoch() + absl::Hours(1);
    TimingSettings timing;
    Ledger ledger;
    int submissions = 0;
};

// The time in which a worker's clock at the lower drift bound advances by 10 s.
constexpr Duration slowClockLease = absl::Milliseconds(10100);

} // namespace

TEST_CASE_METHOD(LeaseTableFixture, "expire_whileSlowClockHoldsLease_waits", "[proof][fuzz]")
{
    REQUIRE(this->expiredAfter(slowClockLease, {}) == 0);
    REQUIRE(this->expiredAfter(slowClockLease + absl::Milliseconds(200), {}) == 1);
}

TEST_CASE_METHOD(LeaseTableFixture, "expire_withoutDriftMargin_endsLeaseThatWorkerStillHolds", "[proof][red]")
{
    LeaseGuards guards;
    guards.driftMargin = false;
    REQUIRE(this->expiredAfter(slowClockLease, guards) == 1);
}

TEST_CASE_METHOD(LeaseTableFixture, "announce_olderSequence_isRejected")
{
    LeaseTable table(this->timing, 1, 1, this->start);
    table.announce(this->start, this->announcement(5), this->ledger);
    REQUIRE_THROWS_AS(table.announce(this->start, this->announcement(5), this->ledger), StaleAnnouncementError);
    REQUIRE_THROWS_AS(table.announce(this->start, this->announcement(4), this->ledger), StaleAnnouncementError);
}

TEST_CASE_METHOD(LeaseTableFixture, "announce_atMostOnceTaskMissingAfterRestart_isNotOfferedAgain")
{
    LeaseTable table(this->timing, 1, this->ledger.upcomingEpoch(), this->start);
    const std::uint64_t job = this->placeJob(true);
    REQUIRE(table.announce(this->start, this->announcement(1), this->ledger).reply.started.size() == 1);
    const AnnouncementResult second = table.announce(this->start, this->announcement(2), this->ledger);
    REQUIRE(second.reply.started.empty());
    this->apply(*second.commands.at(0).AsReportTasks());
    REQUIRE(this->ledger.findJob(job)->state() == wire::TaskState::Lost);
}

TEST_CASE_METHOD(LeaseTableFixture, "announce_atMostOnceTaskWithUnprocessedOffer_isOfferedAgain")
{
    LeaseTable table(this->timing, 1, this->ledger.upcomingEpoch(), this->start);
    this->placeJob(true);
    table.announce(this->start, this->announcement(7), this->ledger);
    wire::AnnounceRequestT next = this->announcement(8);
    next.replySequence = 6;
    REQUIRE(table.announce(this->start, next, this->ledger).reply.started.size() == 1);
}

TEST_CASE_METHOD(LeaseTableFixture, "announce_offeredTaskMissingAfterRestart_isNotOfferedAgain")
{
    // Guards against an endless crash loop: a task that crashes its worker before its start is reported must not be offered to
    // the worker's next incarnation.
    LeaseTable table(this->timing, 1, this->ledger.upcomingEpoch(), this->start);
    const std::uint64_t job = this->placeJob(false);
    REQUIRE(table.announce(this->start, this->announcement(1), this->ledger).reply.started.size() == 1);
    const AnnouncementResult second = table.announce(this->start, this->announcement(2), this->ledger);
    REQUIRE(second.reply.started.empty());
    this->apply(*second.commands.at(0).AsReportTasks());
    REQUIRE(this->ledger.findJob(job)->tasks()[0].losses == 1);
    REQUIRE(this->ledger.findJob(job)->state() == wire::TaskState::Queued);
}

TEST_CASE_METHOD(LeaseTableFixture, "announce_capacityHasShrunk_offersNothingNew")
{
    LeaseTable table(this->timing, 1, this->ledger.upcomingEpoch(), this->start);
    const std::uint64_t job = this->placeJob(false);
    wire::AnnounceRequestT shrunk = this->announcement(1);
    shrunk.capacity = wire::Resources(500, 8000, 0);
    const AnnouncementResult result = table.announce(this->start, shrunk, this->ledger);
    REQUIRE(result.reply.started.empty());
    REQUIRE(result.commands.size() == 2);
    this->apply(*result.commands.at(1).AsReportTasks());
    REQUIRE(this->ledger.findJob(job)->state() == wire::TaskState::Queued);
    REQUIRE(this->ledger.findJob(job)->tasks()[0].losses == 0);
}

TEST_CASE_METHOD(LeaseTableFixture, "announce_finishReportedBeforeStart_endsAtMostOnceTask")
{
    // Guards against a second run of an at-most-once task: one whose start is not recorded yet must not be queued again when its
    // end is reported.
    LeaseTable table(this->timing, 1, this->ledger.upcomingEpoch(), this->start);
    const std::uint64_t job = this->placeJob(true);
    table.announce(this->start, this->announcement(1), this->ledger);
    wire::AnnounceRequestT report = this->announcement(2);
    auto attempt = std::make_unique<wire::FinishedAttemptT>();
    attempt->lease = wire::TaskLease(job, 0, this->ledger.findJob(job)->tasks()[0].epoch);
    attempt->outcome = wire::AttemptOutcome::Failed;
    report.finished.push_back(std::move(attempt));
    this->apply(*table.announce(this->start, report, this->ledger).commands.at(0).AsReportTasks());
    REQUIRE(this->ledger.findJob(job)->state() == wire::TaskState::Failed);
}
