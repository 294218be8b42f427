// A process whose control thread is so far behind that its mailbox is full.
//
// Guards against operations that never end: an answer that is dropped there leaves its order, and what counts it, pending for the rest of the term,
// and a call that is dropped leaves its caller without an answer.

#include "paddlepier/cluster/memberprocess.h"

#include "paddlepier/wire/codec.h"

#include <catch2/catch.hpp>

#include <functional>
#include <utility>

namespace paddlepier::cluster
{

namespace
{

/** The limit of the mailbox. */
constexpr int mailboxLimit = 20'000;

/** A process whose control thread runs only when the test says so. */
class IdleProcess : public MemberProcess
{
public:
    IdleProcess(const MemberOptions &memberOptions, AdvicePort advicePort)
        : MemberProcess(memberOptions, std::move(advicePort))
    {
    }

    ~IdleProcess() override
    {
        this->stopTransport();
    }

    void fillMailbox()
    {
        for (int event = 0; event < mailboxLimit; ++event) {
            this->post([] {});
        }
    }

    void requestAdvice()
    {
        wire::CallRequestT request;
        request.body = wire::toBytes(wire::pack(work::AdviceCallT()));
        this->answerAdviceCall(this->options.settings.id, request);
    }

    void handleEvents()
    {
        this->step(absl::ZeroDuration());
    }

    int replies = 0;

protected:
    void advance(Timestamp, Timestamp) override
    {
    }

    void receiveCall(const std::string &, const wire::CallRequestT &) override
    {
    }

    void receiveReply(const std::string &, const wire::CallReplyT &) override
    {
        ++this->replies;
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
        : process(memberOptions(), {[this](const work::AdviceCallT &, std::function<void(execution::AdviceAnswer)> done) { this->answer = std::move(done); }})
    {
    }

    static MemberOptions memberOptions()
    {
        MemberOptions member;
        member.settings.peer = {"127.0.0.1", 0};
        member.settings.id = member.settings.peer.text();
        member.settings.cellKey = "key";
        member.settings.acceptsUnknownPeers = true;
        return member;
    }

    std::function<void(execution::AdviceAnswer)> answer;
    IdleProcess process;
};

} // namespace

TEST_CASE_METHOD(MemberProcessFixture, "adviceAnswer_whileTheMailboxIsFull_isHandled")
{
    this->process.requestAdvice();
    this->process.fillMailbox();
    this->answer({});
    this->process.handleEvents();
    CHECK(this->process.replies == 1);
}

TEST_CASE_METHOD(MemberProcessFixture, "call_whileTheMailboxIsFull_isAnsweredAsNotSent")
{
    this->process.fillMailbox();
    ErrorCode error = ErrorCode::None;
    this->process.call(WorkMethod::ReadConfiguration, "", absl::Seconds(1), [&error](const CallResult &result) { error = result.error; });
    CHECK(error == ErrorCode::NotLeader);
}

} // namespace paddlepier::cluster
