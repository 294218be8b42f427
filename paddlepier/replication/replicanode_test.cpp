// A replica node with a real folder and disk thread. Guards against a new leader that serves reads before it has applied the entries of
// earlier terms, which happens between the completion of a write and the next flush().

#include "paddlepier/replication/replicanode.h"

#include "paddlepier/base/mailbox.h"
#include "paddlepier/replication/countingstate.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <stdlib.h>

#include <filesystem>

namespace paddlepier::replication
{

namespace
{

/** Single-replica group; time advances only in runUntil(). */
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

    /** Waits for the disk thread and runs its completions, without flushing the node. */
    void finishWrites()
    {
        for (const Mailbox::Work &work : this->mailbox.drain(absl::Milliseconds(20))) {
            work();
        }
    }

    /** @return false if the condition was not met within a minute of node time */
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

TEST_CASE_METHOD(ReplicaNodeFixture, "isServing_beforeEarlierTermsAreApplied_isFalse")
{
    REQUIRE(this->runUntil([this] { return this->node->isServing(this->now); }));
    int applied = 0;
    for (int command = 0; command < 5; ++command) {
        this->node->proposeBytes("x", [&applied](const CountingState::Outcome &) { ++applied; });
    }
    REQUIRE(this->runUntil([&applied] { return applied == 5; }));
    this->open();
    const auto servesOrHasApplied = [this] { return this->node->isServing(this->now) || this->node->state().count > 0; };
    // The completion of the write advances the commit index; the next flush() applies the entries.
    REQUIRE(this->runUntil(servesOrHasApplied));
    CHECK(this->node->state().count == 5);
}

} // namespace paddlepier::replication
