// A small deployment of the project's programs on loopback: settings files, processes, HTTP calls, and the record of a case.
//
// Each machine has a loopback address of its own, so that all use the same ports, as on the platform. All files are in a temporary folder.
//
// Thread safety: Record from any thread; the rest from one thread.

#ifndef REVIEW_STANDINS_4_SYSTEM_H
#define REVIEW_STANDINS_4_SYSTEM_H

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/** Lines of `record.txt`, each with the time since the start. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    /** Milliseconds since the start. */
    std::int64_t now() const;

private:
    std::mutex mutex;
    std::ofstream file;
    const Clock::time_point start = Clock::now();
};

struct HttpReply {
    /** 0: no complete answer. */
    int status = 0;
    std::string body;
};

/** One call over a new connection. */
HttpReply call(const std::string &host,
               int port,
               const std::string &method,
               const std::string &path,
               const std::map<std::string, std::string> &headers,
               const std::string &body,
               Millis timeout);

struct Ports {
    int control = 0;
    int front = 0;
    int ready = 0;
    int internal = 0;
};

struct Machine {
    std::string name;
    std::string host;
    /** `core` or `entry`. */
    std::string role;
    bool isFirstStart = true;
    std::vector<std::string> seeds;
    pid_t pid = 0;
};

class System
{
public:
    /** @param program `target/paddlepier` */
    System(Record &caseRecord, std::string programPath);
    ~System();

    System(const System &) = delete;
    System &operator=(const System &) = delete;

    /** A machine at an address of its own; it isn't started. */
    Machine &add(const std::string &name, const std::string &role);
    Machine &machine(const std::string &name);
    std::string controlOf(const std::string &name);
    void writeSettings(const Machine &machine) const;
    void start(const std::string &name);
    void signal(const std::string &name, int number);
    /** SIGKILL, and waits for the end. */
    void kill(const std::string &name);
    /** Another unused loopback address. */
    std::string nextHost();

    Ports ports;

private:
    Record &record;
    const std::string program;
    std::string folder;
    std::string network;
    int hosts = 0;
    std::map<std::string, Machine> machines;
};

/** True unless the environment has TROUBLE=0. */
bool hasTrouble();
void sleepFor(Millis time);

} // namespace review

#endif
