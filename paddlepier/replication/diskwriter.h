// Thread that writes the logs and snapshots of replicas.
//
// Writes are executed in the order of submission. A failed write terminates the process: the state on disk is then unknown, and a replica
// that continued could acknowledge entries that are not durable.
//
// Example:
//     writer.submit([&store, entries] { store.append(...); }, [] { /* on the control thread */ });
//
// Thread safety: submit() from the control thread; completions are posted to the mailbox given to the constructor.

#ifndef PADDLEPIER_REPLICATION_DISKWRITER_H
#define PADDLEPIER_REPLICATION_DISKWRITER_H

#include "paddlepier/base/counters.h"
#include "paddlepier/base/mailbox.h"

#include <atomic>
#include <functional>
#include <thread>

namespace paddlepier::replication
{

class DiskWriter
{
public:
    DiskWriter(Mailbox &completionMailbox, Counters &counters);
    ~DiskWriter();

    DiskWriter(const DiskWriter &) = delete;
    DiskWriter &operator=(const DiskWriter &) = delete;

    /** Runs @p write on the disk thread, then posts @p completed. */
    void submit(std::function<void()> write, std::function<void()> completed);

    /** Completes all submitted writes, then ends the thread. */
    void stop();

private:
    void run();

    Mailbox &completions;
    Histogram &writeTimes;
    Mailbox jobs;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace paddlepier::replication

#endif
