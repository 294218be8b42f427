// The processes, workers and links of one seed, and what each fault does to them.
//
// Every core and entry has a loopback of its own; forwarders stand on each link between them, to the workers, and from
// callers, operators and workers. Processes are ended by their ids alone.
//
// Thread safety: front(), control() and stopAt() from any thread; the rest on one.

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
    /** Ends all faults; what is still on its way down comes back in watch(). */
    void heal();
    /** Starts again what has ended, and judges how it did; to be called every few milliseconds. */
    void watch();

    Endpoint front(std::uint32_t entry) const;
    Endpoint control(std::uint32_t core) const;
    /** When an entry was last told to stop as planned. */
    Timestamp stopAt(std::uint32_t entry) const;
    /** Problems that the workers saw. */
    std::vector<std::string> problems();

private:
    struct Instance {
        PlatformNode node;
        std::unique_ptr<NetworkSpace> space;
        std::unique_ptr<Process> process;
        Timestamp downUntil = absl::InfinitePast();
        bool isKilled = false;
        bool isPaused = false;
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
    static bool endedAsTold(Instance &instance);
    void disturbLinks(const Fault &fault, bool isOver);
    void disturbWorker(const Fault &fault, bool isOver);
    void setWorkerLinks(const std::string &host, bool isUp);

    const Sizes sizes;
    const std::string folder;
    const std::string programs;
    Checker &checker;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<Link> links;
    std::unique_ptr<PlatformWorkers> workers;
};

} // namespace paddlepier::testing::soak

#endif
