// Polls that another instance repeats for the leader, in virtual time.

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
        : watch(this->ways())
    {
    }

    WatchHooks ways()
    {
        WatchHooks made;
        made.call = [this](const execution::WorkerCall &call, WatchHooks::Answered done) { this->polls.push_back({call, std::move(done)}); };
        made.isServing = [this](const std::string &leader) { return leader == this->leader; };
        made.now = [this] { return this->now; };
        return made;
    }

    /** A poll that may be held back for 2 s, of a worker with seven ends that are recorded. */
    void poll(Duration watchTime = absl::Seconds(10))
    {
        execution::WorkerCall call;
        call.worker = {"w", 5};
        call.order = PollOrder{7, absl::Seconds(2), watchTime};
        this->watch.poll("core-1", call, [this](const WorkerAnswer &answer) { this->answers.push_back(answer.kind); });
    }

    /** The worker answers the poll that came last, @p late before the control thread takes the answer. */
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

TEST_CASE_METHOD(WorkerWatchFixture, "idleWorker_isPolledAgainForAsLongAsTheOrderAllows")
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

TEST_CASE_METHOD(WorkerWatchFixture, "pollWithoutAWatch_isAnsweredAtOnce")
{
    this->poll(absl::ZeroDuration());
    this->answer(idle());
    CHECK(this->answers == std::vector{AnswerKind::Accepted});
    CHECK(this->polls.size() == 1);
}

TEST_CASE_METHOD(WorkerWatchFixture, "changeOfAWatchedWorker_isReportedAtOnce")
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
    SECTION("another life")
    {
        change.born = 6;
    }
    SECTION("a clock that was set back")
    {
        change.clockMillis = 20;
    }
    SECTION("a refusal")
    {
        change.kind = AnswerKind::Fenced;
    }
    SECTION("silence")
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

TEST_CASE_METHOD(WorkerWatchFixture, "endThatIsRecorded_isNoChange")
{
    WorkerAnswer listed = idle();
    listed.ended.push_back({7, workload::TaskKey("a", 0, 0, 0), 1, work::RunEndKind::Done, ""});
    this->poll();
    this->answer(listed);
    CHECK(this->answers.empty());
}

TEST_CASE_METHOD(WorkerWatchFixture, "watch_forALeaderThatLeadsNoMore_ends")
{
    this->poll();
    this->answer(idle());
    this->leader = "core-2";
    this->answer(idle());
    CHECK(this->answers.size() == 1);
    CHECK(this->polls.size() == 2);
}

TEST_CASE_METHOD(WorkerWatchFixture, "watch_thatANewerPollReplaces_ends")
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

TEST_CASE_METHOD(WorkerWatchFixture, "ends_areAcknowledgedAgainOnlyRightAfterAnAnswer")
{
    this->poll();
    CHECK(this->lastSequence() == 7);
    this->answer(idle(), absl::Milliseconds(50));
    CHECK(this->lastSequence() == 7);
    // Another life may have begun in this time, which would forget ends of its own by that number.
    this->answer(idle(), absl::Milliseconds(400));
    CHECK(this->lastSequence() == 0);
    this->answer(idle(), absl::Milliseconds(50));
    CHECK(this->lastSequence() == 7);
}

} // namespace paddlepier::cluster
