// The project's own programs as separate processes, each on a loopback address of its own, with the commands of the deploy file and the
// settings of a small deployment: three core machines in three zones, `tolerate` one machine.
//
// The destructor ends all processes by their ids and removes the temporary folder.
//
// Thread safety: none.

#ifndef PADDLEPIER_REVIEW_STANDINS_3_CELL_H
#define PADDLEPIER_REVIEW_STANDINS_3_CELL_H

#include "minion.h"
#include "record.h"
#include "wire.h"

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace review
{

class Cell
{
public:
    Cell(std::size_t entryCount, Record &caseRecord);
    ~Cell();

    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    /** Starts all processes and sends the first config. @return false if none is confirmed within 20 s */
    bool start();
    /** Starts all processes without waiting for anything. */
    void launchAll();
    /** Sends the first config to one core after the other. @return true if it is confirmed */
    bool configure(int timeoutMillis);
    void signalEntry(std::size_t entry, int number) const;
    /** Ends the process of a core with SIGKILL; its folder stays. */
    void killCore(std::size_t core);
    /** Starts a core again, with the settings that the platform has then: the whole system doesn't start any more. */
    void restartCore(std::size_t core);
    /** True while all processes run. */
    bool isWhole() const;

    Control control() const;
    /** An address on which nothing of the cell listens, for a proxy. */
    std::string freeHost() const;
    /** A minion on an address of its own. */
    std::unique_ptr<Minion> addMinion(const std::string &id);
    /** A new boot at the address of the minion that was added as number @p seat, from 1 on. */
    std::unique_ptr<Minion> restartMinion(const std::string &id, int seat);
    /** A client's call for the submission @p id through an entry, recorded. */
    Answer submission(std::size_t entry, const std::string &method, const std::string &id, const std::string &body, int timeoutMillis);

private:
    struct Node {
        std::string role;
        std::string host;
        std::string zone;
        std::string folder;
        pid_t process = -1;
    };

    void launch(Node &node, bool isFirstStart) const;
    std::string settingsOf(const Node &node, bool isFirstStart) const;

    Record &record;
    std::string folder;
    std::string network;
    std::uint16_t controlPort = 0;
    std::uint16_t frontPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t internalPort = 0;
    std::uint16_t minionPort = 0;
    std::vector<Node> cores;
    std::vector<Node> entries;
    int minionCount = 0;
};

} // namespace review

#endif
