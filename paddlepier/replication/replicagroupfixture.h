// Test fixture: three replica nodes with real folders and one disk thread, whose messages and writes the test completes in node time.
//
// Thread safety: none. Used by replicagroup_test.cpp and slowdisk_test.cpp only.

#ifndef PADDLEPIER_REPLICATION_REPLICAGROUPFIXTURE_H
#define PADDLEPIER_REPLICATION_REPLICAGROUPFIXTURE_H

#include "paddlepier/base/mailbox.h"
#include "paddlepier/replication/countingstate.h"
#include "paddlepier/replication/replicanode.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <stdlib.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace paddlepier::replication
{

class ReplicaGroupFixture
{
public:
    using Node = ReplicaNode<CountingState>;

    explicit ReplicaGroupFixture(Duration heartbeatInterval = absl::Milliseconds(100), Duration electionTimeout = absl::Milliseconds(500))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "replicagroup-XXXXXX").string();
        this->folder = ::mkdtemp(pattern.data());
        for (std::size_t number = 0; number < this->names.size(); ++number) {
            GroupOptions options;
            options.name = "test";
            options.folder = absl::StrCat(this->folder, "/", number);
            options.instance = this->names[number];
            options.initialInstances = this->names;
            options.heartbeatInterval = heartbeatInterval;
            options.electionTimeout = electionTimeout;
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
    /** All frames from and to this instance are lost. */
    std::string cutOff;
    /** Time in node time that each write takes in addition to that of the real disk. */
    Duration syncTime = absl::ZeroDuration();

private:
    void post(const std::string &from, const std::string &to, wire::PeerFrameT frame)
    {
        if (from == this->cutOff || to == this->cutOff) {
            return;
        }
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
        this->awaitDisk();
        for (const Mailbox::Work &work : this->mailbox.drain(absl::ZeroDuration())) {
            this->writes.emplace_back(this->now + this->syncTime, work);
        }
        while (!this->writes.empty() && this->writes.front().first <= this->now) {
            const Mailbox::Work completed = std::move(this->writes.front().second);
            this->writes.pop_front();
            completed();
        }
    }

    /** Waits until the real disk has written all that was submitted, so that node time doesn't depend on its speed. */
    void awaitDisk()
    {
        std::atomic<bool> isDone{false};
        this->disk.submit([&isDone] { isDone = true; }, [] {});
        while (!isDone) {
            absl::SleepFor(absl::Microseconds(50));
        }
    }

    std::string folder;
    Counters counters;
    Mailbox mailbox{1000};
    DiskWriter disk{this->mailbox, this->counters};
    std::vector<std::pair<std::string, wire::PeerFrameT>> frames;
    /** Completions of writes, by the time at which the nodes learn of them. */
    std::deque<std::pair<Timestamp, Mailbox::Work>> writes;
};

} // namespace paddlepier::replication

#endif
