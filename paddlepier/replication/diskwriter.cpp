// Thread that writes the logs and snapshots of replicas.

#include "paddlepier/replication/diskwriter.h"

#include "paddlepier/base/error.h"
#include "paddlepier/base/log.h"

#include <cstdlib>
#include <limits>

namespace paddlepier::replication
{

namespace
{

constexpr Duration pollInterval = absl::Milliseconds(200);

/** Exit status after a failed write; see docs/OPERATIONS.md. */
constexpr int storageFailureStatus = 5;

} // namespace

DiskWriter::DiskWriter(Mailbox &completionMailbox, Counters &counters)
    : completions(completionMailbox)
    , writeTimes(counters.histogram("disk_write"))
    , jobs(std::numeric_limits<std::size_t>::max())
    , thread([this] { this->run(); })
{
}

DiskWriter::~DiskWriter()
{
    this->stop();
}

void DiskWriter::submit(std::function<void()> write, std::function<void()> completed)
{
    this->jobs.post([this, write = std::move(write), completed = std::move(completed)] {
        const Timestamp start = controlNow();
        write();
        this->writeTimes.record(controlNow() - start);
        this->completions.postUnbounded(completed);
    });
}

void DiskWriter::run()
{
    while (true) {
        const std::vector<Mailbox::Work> batch = this->jobs.drain(pollInterval);
        if (batch.empty() && this->stopping) {
            return;
        }
        for (const Mailbox::Work &work : batch) {
            try {
                work();
            } catch (const Error &error) {
                log::error("disk", "write.failed", {{"error", paddlepier::nameOf(error.code())}, {"message", error.what()}});
                std::_Exit(storageFailureStatus);
            }
        }
    }
}

void DiskWriter::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    this->jobs.close();
    this->thread.join();
}

} // namespace paddlepier::replication
