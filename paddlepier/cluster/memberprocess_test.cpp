// A process whose control thread is so far behind that its mailbox is full.
//
// Guards against operations that count as under way for good because their result was discarded, and against callers that wait for
// an answer that nobody will give.

#include "paddlepier/cluster/memberprocess.h"

#include "testing/harness.h"

#include <catch2/catch.hpp>

namespace paddlepier::cluster
{

namespace
{

/** A process that does nothing, whose mailbox the test fills. */
class IdleProcess : public MemberProcess
{
public:
    IdleProcess()
        : MemberProcess(memberOptions(), AdvicePort())
    {
    }

    ~IdleProcess() override
    {
        this->stopTransport();
    }

    static MemberOptions memberOptions()
    {
        MemberOptions options;
        options.settings.peer = {"127.0.0.1", testing::freePort()};
        options.settings.id = options.settings.peer.text();
        options.settings.cellKey = "key";
        options.settings.acceptsUnknownPeers = true;
        return options;
    }

    using MemberProcess::complete;
    using MemberProcess::post;
    using MemberProcess::step;

protected:
    void advance(Timestamp, Timestamp) override
    {
    }
    void receiveCall(const std::string &, const wire::CallRequestT &) override
    {
    }
    void receiveFrame(wire::PeerFrameT) override
    {
    }
    void stopGracefully() override
    {
    }
};

class MemberProcessFixture
{
public:
    MemberProcessFixture()
    {
        while (this->process.post([] {})) { }
    }

    IdleProcess process;
};

} // namespace

TEST_CASE_METHOD(MemberProcessFixture, "completion_mailboxFull_isKept")
{
    bool isHandled = false;
    this->process.complete([&isHandled] { isHandled = true; });
    this->process.step(absl::ZeroDuration());
    CHECK(isHandled);
}

TEST_CASE_METHOD(MemberProcessFixture, "call_mailboxFull_isRefusedAtOnce")
{
    std::vector<ErrorCode> results;
    this->process.call(WorkMethod::Job, "", absl::Seconds(1), [&results](const CallResult &result) { results.push_back(result.error); });
    CHECK(results == std::vector{ErrorCode::NotLeader});
    this->process.step(absl::ZeroDuration());
    CHECK(results.size() == 1);
}

} // namespace paddlepier::cluster
