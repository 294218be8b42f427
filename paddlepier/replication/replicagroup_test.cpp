// Three replica nodes with real folders and one disk thread, whose messages the test delivers in node time.
//
// Guards against a leader that commits nothing and keeps its office, since the answers to its heartbeats renew its lease.

#include "paddlepier/replication/replicanode.h"

#include "paddlepier/base/mailbox.h"
#include "paddlepier/replication/countingstate.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <stdlib.h>

#include <filesystem>
#include <utility>

namespace paddlepier::replication
{

namespace
{

class ReplicaGroupFixture
{
public:
    using Node = ReplicaNode<CountingState>;

    ReplicaGroupFixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "replicagroup-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        for (std::size_t number = 0; number < this->names.size(); ++number) {
            GroupOptions options;
            options.name = "test";
            options.folder = absl::StrCat(this->folder, "/", number);
            options.instance = this->names[number];
            options.initialInstances = this->names;
            options.heartbeatInterval = absl::Milliseconds(100);
            options.electionTimeout = absl::Milliseconds(500);
            const auto send = [this, from = options.instance](const std::string &to, wire::PeerFrameT frame) { this->post(from, to, std::move(frame)); };
            this->nodes[options.instance] = std::make_unique<Node>(options, this->disk, send, this->counters, this->now, number);
        }
    }

    ~ReplicaGroupFixture()
    {
        this->nodes.clear();
        this->disk.stop();
        std::filesystem::remove_all(this->folder);
    }

    /** @return the node that serves; null if there is none */
    Node *servingNode()
    {
        const auto found = std::find_if(this->nodes.begin(), this->nodes.end(), [this](const auto &entry) { return entry.second->isServing(this->now); });
        return found == this->nodes.end() ? nullptr : found->second.get();
    }

    /** @return false if the condition was not met within @p timeout of node time */
    template<typename Condition>
    bool runUntil(Condition isMet, Duration timeout)
    {
        for (const Timestamp end = this->now + timeout; this->now < end && !isMet();) {
            this->step();
        }
        return isMet();
    }

    const std::vector<std::string> names{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"};
    Timestamp now = absl::UnixEpoch() + absl::Hours(1);
    std::map<std::string, std::unique_ptr<Node>> nodes;
    /** Entries from this instance are lost; its heartbeats arrive. */
    std::string withoutEntries;

private:
    void post(const std::string &from, const std::string &to, wire::PeerFrameT frame)
    {
        frame.fromInstance = from;
        auto *append = frame.body.AsAppendRequest();
        if (append != nullptr && from == this->withoutEntries) {
            append->entries.clear();
        }
        this->frames.emplace_back(to, std::move(frame));
    }

    void step()
    {
        this->now += absl::Milliseconds(20);
        for (auto &[to, frame] : std::exchange(this->frames, {})) {
            this->nodes.at(to)->receive(this->now, std::move(frame));
        }
        for (auto &[name, node] : this->nodes) {
            node->tick(this->now);
            node->flush(this->now);
        }
        for (const Mailbox::Work &work : this->mailbox.drain(absl::Milliseconds(2))) {
            work();
        }
    }

    std::string folder;
    Counters counters;
    Mailbox mailbox{1000};
    DiskWriter disk{this->mailbox, this->counters};
    std::vector<std::pair<std::string, wire::PeerFrameT>> frames;
};

} // namespace

TEST_CASE_METHOD(ReplicaGroupFixture, "leader_thatCommitsNothingWhileCallsWait_isReplaced")
{
    REQUIRE(this->runUntil([this] { return this->servingNode() != nullptr; }, absl::Seconds(60)));
    Node *const leader = this->servingNode();
    leader->proposeBytes("x", [](const CountingState::Outcome &) {});
    REQUIRE(this->runUntil([leader] { return leader->state().count == 1; }, absl::Seconds(10)));
    this->withoutEntries = leader->leaderInstance();
    leader->proposeBytes("x", [](const CountingState::Outcome &) {});
    CHECK(this->runUntil([this, leader] { return this->servingNode() != nullptr && this->servingNode() != leader; }, absl::Seconds(5)));
}

} // namespace paddlepier::replication
