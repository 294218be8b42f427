// The processes, workers and links of one seed, and the effect of each fault on them.
//
// Every core and entry has a separate loopback interface, and each link between them, to the workers, and from callers,
// operators and workers goes through a forwarder. Processes are signalled only by their pids.
//
// Thread safety: front(), control() and stopAt() from any thread; all other methods from one thread.

#ifndef PADDLEPIER_TESTING_SOAK_CELL_H
#define PADDLEPIER_TESTING_SOAK_CELL_H

#include "testing/forwarder.h"
#include "testing/harness.h"
#include "testing/platformnode.h"
#include "testing/platformworkers.h"
#include "testing/soak/checker.h"
#include "testing/soak/plan.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace paddlepier::testing::soak
{

class Cell
{
public:
    /** @param folder for settings, data and logs; @param programs folder with the built programs */
    Cell(Sizes sizes, std::uint64_t seed, std::string folder, std::string programs, Checker &checker);
    ~Cell();

    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    void begin(const Fault &fault);
    void end(const Fault &fault);
    /** Ends all faults; processes that are stopping or down are restarted by supervise(). */
    void heal();
    /** Restarts processes that have ended, and reports unexpected ends as violations; call it every few milliseconds. */
    void supervise();

    /** The core that has served in the newest term, and that term, by the lines of the cores; no core before the first term. */
    std::pair<std::uint64_t, std::optional<std::uint32_t>> leader() const;
    /** True if the newest leader reports that every other core stores its whole log. */
    bool isCaughtUp() const;
    bool hasEnded(std::uint32_t core) const;
    Endpoint front(std::uint32_t entry) const;
    Endpoint control(std::uint32_t core) const;
    /** When an entry last received SIGTERM for a planned stop; infinite future if not since its start. */
    Timestamp stopAt(std::uint32_t entry) const;
    /** Violations that the workers detected. */
    std::vector<std::string> violations();

private:
    struct Instance {
        PlatformNode node;
        std::unique_ptr<NetworkSpace> space;
        std::unique_ptr<Process> process;
        Timestamp downUntil = absl::InfinitePast();
        bool isKilled = false;
        bool isPaused = false;
        /** Starts with an empty disk. */
        bool losesDisk = false;
        Timestamp startedAt;
        std::atomic<std::int64_t> stopMicros{0};
    };
    struct Link {
        std::string from;
        std::string to;
        std::unique_ptr<Forwarder> forwarder;
    };

    void addInstance(const std::string &role, const std::string &host);
    void addLink(const Instance *from, const std::string &toHost, std::uint16_t port, const Instance *to);
    void addLinks();
    void start(Instance &instance);
    void stop(Instance &instance, Duration length);
    void kill(Instance &instance, Duration length);
    void pause(Instance &instance);
    void resume(Instance &instance);
    static bool hasEndedAsExpected(Instance &instance);
    void applyLinkFault(const Fault &fault, bool isEnd);
    void breakCoreLinks(bool isEnd);
    void applyWorkerFault(const Fault &fault, bool isEnd);
    void setWorkerLinks(const std::string &host, bool isUp);

    const Sizes sizes;
    const std::string folder;
    const std::string programs;
    Checker &checker;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Link> links;
    /** Host of the core to which the other cores' messages are held back. */
    std::string heldHost;
    std::unique_ptr<PlatformWorkers> workers;
};

} // namespace paddlepier::testing::soak

#endif
