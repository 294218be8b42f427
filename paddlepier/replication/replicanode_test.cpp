// A replica node over a real folder and a real disk thread.

#include "paddlepier/replication/replicanode.h"

#include "paddlepier/base/mailbox.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <stdlib.h>

#include <filesystem>

namespace paddlepier::replication
{

namespace
{

/** Counts what was applied. */
class CountingState
{
public:
    struct Outcome {
        ErrorCode error = ErrorCode::None;
    };

    Outcome apply(const std::vector<std::uint8_t> &)
    {
        ++this->count;
        return {};
    }

    std::string snapshot() const
    {
        return absl::StrCat(this->count);
    }

    void restore(const std::string &text)
    {
        this->count = std::stoi(text);
    }

    bool hasHistory() const
    {
        return this->count > 0;
    }

    static Outcome failure(ErrorCode error, const std::string &)
    {
        return {error};
    }

    int count = 0;
};

/** One node that is a group of its own; time moves only when the test moves it. */
class ReplicaNodeFixture
{
public:
    using Node = ReplicaNode<CountingState>;

    ReplicaNodeFixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "replicanode-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        this->open();
    }

    ~ReplicaNodeFixture()
    {
        this->node.reset();
        this->disk.stop();
        std::filesystem::remove_all(this->folder);
    }

    void open()
    {
        this->node.reset();
        GroupOptions options;
        options.name = "test";
        options.folder = this->folder + "/test";
        options.instance = "127.0.0.1:1";
        options.initialInstances = {"127.0.0.1:1"};
        options.heartbeatInterval = absl::Milliseconds(100);
        options.electionTimeout = absl::Milliseconds(500);
        this->node = std::make_unique<Node>(
            options, this->disk, [](const std::string &, const wire::PeerFrameT &) {}, this->counters, this->now, 7);
    }

    /** Waits for the disk and runs what it posted, without flushing the node. */
    void finishWrites()
    {
        for (const Mailbox::Work &work : this->mailbox.drain(absl::Milliseconds(20))) {
            work();
        }
    }

    /** @return false if the condition never came in a minute of the node's time */
    template<typename Condition>
    bool runUntil(Condition isMet)
    {
        for (int step = 0; step < 3000 && !isMet(); ++step) {
            this->now += absl::Milliseconds(20);
            this->node->tick(this->now);
            this->node->flush(this->now);
            this->finishWrites();
        }
        return isMet();
    }

    std::string folder;
    Counters counters;
    Mailbox mailbox{1000};
    DiskWriter disk{mailbox, counters};
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::unique_ptr<Node> node;
};

} // namespace

TEST_CASE_METHOD(ReplicaNodeFixture, "serving_beforeEarlierTermsAreApplied_isRefused")
{
    REQUIRE(this->runUntil([this] { return this->node->isServing(this->now); }));
    int applied = 0;
    for (int command = 0; command < 5; ++command) {
        this->node->proposeBytes("x", [&applied](const CountingState::Outcome &) { ++applied; });
    }
    REQUIRE(this->runUntil([&applied] { return applied == 5; }));
    this->open();
    const auto servesOrHasApplied = [this] { return this->node->isServing(this->now) || this->node->state().count > 0; };
    // The write's completion advances the commit index; the entries are applied by the flush after it.
    REQUIRE(this->runUntil(servesOrHasApplied));
    CHECK(this->node->state().count == 5);
}

} // namespace paddlepier::replication
