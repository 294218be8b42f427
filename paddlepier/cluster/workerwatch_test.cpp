// Polls that a relay repeats for the leader, in virtual time. A change that the relay doesn't report stays unknown to the
// leader until the watch expires; an end that is acknowledged to a new incarnation under an old number is lost.

#include "paddlepier/cluster/workerwatch.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

namespace paddlepier::cluster
{

namespace
{

using execution::AnswerKind;
using execution::PollOrder;
using execution::WorkerAnswer;

class WorkerWatchFixture
{
public:
    WorkerWatchFixture()
        : watch(this->makeHooks())
    {
    }

    WatchHooks makeHooks()
    {
        WatchHooks hooks;
        hooks.call = [this](const execution::WorkerCall &call, WatchHooks::Answered done) { this->polls.push_back({call, std::move(done)}); };
        hooks.isServing = [this](const std::string &leader) { return leader == this->leader; };
        hooks.now = [this] { return this->now; };
        return hooks;
    }

    /** Polls a worker whose first seven ends are recorded; the worker may delay its answer by 2 s. */
    void poll(Duration watchTime = absl::Seconds(10))
    {
        execution::WorkerCall call;
        call.worker = {"w", 5};
        call.order = PollOrder{7, absl::Seconds(2), watchTime};
        this->watch.poll("core-1", call, [this](const WorkerAnswer &answer) { this->answers.push_back(answer.kind); });
    }

    /** Answers the latest poll; the control thread processes the answer @p late afterwards. */
    void answer(const WorkerAnswer &answer, Duration late = absl::ZeroDuration())
    {
        const WatchHooks::Answered done = std::move(this->polls.back().second);
        const Timestamp answeredAt = this->now;
        this->now += late;
        done(answeredAt, answer);
    }

    static WorkerAnswer idle(std::int64_t clockMillis = 100)
    {
        WorkerAnswer answer;
        answer.kind = AnswerKind::Accepted;
        answer.born = 5;
        answer.hasClock = true;
        answer.clockMillis = clockMillis;
        return answer;
    }

    std::uint64_t lastSequence() const
    {
        return std::get<PollOrder>(this->polls.back().first.order).lastSequence;
    }

    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::string leader = "core-1";
    std::vector<std::pair<execution::WorkerCall, WatchHooks::Answered>> polls;
    std::vector<AnswerKind> answers;
    WorkerWatch watch;
};

} // namespace

TEST_CASE_METHOD(WorkerWatchFixture, "idleWorker_watched_isPolledUntilWatchExpires")
{
    this->poll();
    for (int answered = 0; answered < 20 && this->answers.empty(); ++answered) {
        this->now += absl::Seconds(2);
        this->answer(idle());
    }
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
    CHECK(this->polls.size() == 5);
    CHECK(this->watch.size() == 0);
}

TEST_CASE_METHOD(WorkerWatchFixture, "poll_withoutWatch_isAnsweredAtOnce")
{
    this->poll(absl::ZeroDuration());
    this->answer(idle());
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
    CHECK(this->polls.size() == 1);
}

TEST_CASE_METHOD(WorkerWatchFixture, "watchedWorker_anyChange_isReportedAtOnce")
{
    WorkerAnswer change = idle();
    SECTION("a run")
    {
        change.running.push_back({workload::TaskKey("a", 0, 0, 0), 1, "", 100, 0});
    }
    SECTION("an end")
    {
        change.ended.push_back({8, workload::TaskKey("a", 0, 0, 0), 1, work::RunEndKind::Done, ""});
    }
    SECTION("another incarnation")
    {
        change.born = 6;
    }
    SECTION("a clock that went back")
    {
        change.clockMillis = 20;
    }
    SECTION("a refusal")
    {
        change.kind = AnswerKind::Fenced;
    }
    SECTION("no answer")
    {
        change = WorkerAnswer();
    }
    this->poll();
    this->answer(idle());
    CHECK(this->answers.empty());
    this->answer(change);
    CHECK(this->answers == std::vector{change.kind});
    CHECK(this->polls.size() == 2);
}

TEST_CASE_METHOD(WorkerWatchFixture, "watchedWorker_listingRecordedEnd_isNoChange")
{
    WorkerAnswer listed = idle();
    listed.ended.push_back({7, workload::TaskKey("a", 0, 0, 0), 1, work::RunEndKind::Done, ""});
    this->poll();
    this->answer(listed);
    CHECK(this->answers.empty());
}

TEST_CASE_METHOD(WorkerWatchFixture, "watch_leaderReplaced_ends")
{
    this->poll();
    this->answer(idle());
    this->leader = "core-2";
    this->answer(idle());
    CHECK(this->answers.size() == 1);
    CHECK(this->polls.size() == 2);
}

TEST_CASE_METHOD(WorkerWatchFixture, "watch_newerPollOfSameIncarnation_ends")
{
    this->poll();
    const auto first = this->polls.back();
    this->poll();
    first.second(this->now, idle());
    CHECK(this->answers.size() == 1);
    CHECK(this->polls.size() == 2);
    this->answer(idle());
    CHECK(this->answers.size() == 1);
    CHECK(this->polls.size() == 3);
}

TEST_CASE_METHOD(WorkerWatchFixture, "ends_repeatedPoll_areAcknowledgedOnlyRightAfterAnswer")
{
    this->poll();
    CHECK(this->lastSequence() == 7);
    this->answer(idle(), absl::Milliseconds(50));
    CHECK(this->lastSequence() == 7);
    // A new incarnation may have started in this time, and would discard its own ends for the old number.
    this->answer(idle(), absl::Milliseconds(400));
    CHECK(this->lastSequence() == 0);
    this->answer(idle(), absl::Milliseconds(50));
    CHECK(this->lastSequence() == 7);
}

} // namespace paddlepier::cluster
