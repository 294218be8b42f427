// A term's beginning: what becomes of the runs of earlier leaders, and how much is asked at once.

#include "paddlepier/execution/dispatcherfixture.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <set>

namespace paddlepier::execution
{

namespace
{

class NewTermFixture : public DispatcherFixture
{
public:
    NewTermFixture()
    {
        this->onCall = [this](const WorkerCall &call) {
            this->stops += std::holds_alternative<StopOrder>(call.order) ? 1 : 0;
            if (const auto *poll = std::get_if<PollOrder>(&call.order)) {
                this->polls.insert(call.id);
                // A worker that hasn't answered yet is asked without a wait.
                this->firstPolls += poll->wait == absl::ZeroDuration() ? 1 : 0;
                this->pollTimeouts.push_back(call.timeout);
            }
            if (std::holds_alternative<StartOrder>(call.order)) {
                this->starts.insert(call.id);
                this->mostStarts = std::max(this->mostStarts, this->starts.size());
            }
        };
        this->onAnswer = [this](std::uint64_t call) {
            this->polls.erase(call);
            this->starts.erase(call);
        };
    }

    std::size_t stops = 0;
    std::set<std::uint64_t> polls;
    std::set<std::uint64_t> starts;
    std::size_t firstPolls = 0;
    std::size_t mostStarts = 0;
    std::vector<Duration> pollTimeouts;
};

} // namespace

TEST_CASE_METHOD(NewTermFixture, "answer_ofAWorkerThatHasJustLeftTheLedger_isIgnored")
{
    this->addWorker("w1");
    this->newLeader();
    this->runFor(absl::Seconds(1));
    REQUIRE_FALSE(this->polls.empty());
    work::RemoveWorkerT command;
    command.id = "w1";
    this->apply(std::move(command));
    this->runFor(absl::Seconds(1));
    CHECK(this->polls.empty());
}

} // namespace paddlepier::execution
