// A cell of real processes on loopback, for end-to-end tests and the demo.
//
// Starts entry instances and stand-in workers, each in a separate process, with settings and logs in a temporary folder.
// The destructor of Cell ends all of them, by pid.
//
// Thread safety: none.

#ifndef PADDLEPIER_TESTING_HARNESS_H
#define PADDLEPIER_TESTING_HARNESS_H

#include "paddlepier/base/clock.h"
#include "paddlepier/http/httpclient.h"
#include "paddlepier/rpc/callcatalog.h"
#include "paddlepier/settings/settings.h"
#include "paddlepier/wire/codec.h"
#include "testing/checker.h"
#include "testing/forwarder.h"

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace paddlepier::testing
{

/** Evaluates @p condition every 20 ms; false if it does not hold within @p limit. */
bool waitUntil(const std::function<bool()> &condition, Duration limit = absl::Seconds(30));

/** A free port on loopback; never the same one twice in a process. */
std::uint16_t freePort();

class Process
{
public:
    /** @param environment entries NAME=text in addition to the environment of this process */
    Process(const std::vector<std::string> &command, const std::string &outputPath, const std::vector<std::string> &environment = {});
    ~Process();

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /** Waits until the process has ended. @return its exit status, or 128 plus the signal number */
    int wait();
    bool hasEnded();
    pid_t pid() const;

private:
    pid_t child = -1;
    bool ended = false;
    int status = 0;
};

struct EntrySpec {
    std::string id;
    std::string partner;
    std::string dataCentre;
};

struct LedgerSpec {
    std::string dataCentre;
    std::vector<std::string> replicas;
};

struct WorkerSpec {
    std::string name;
    std::string partner;
    std::string dataCentre;
    std::string rack = "r1";
    wire::Resources capacity{16000, 32768, 0};
    std::string fault = "none";
    std::int64_t drainAfterMillis = -1;
};

class Cell
{
public:
    /** @param programs folder with the built programs; @param extraSettings lines of the [timing] and [limits] tables */
    Cell(std::string programs, std::vector<EntrySpec> entries, std::vector<LedgerSpec> ledgers, std::string extraSettings = "", bool withForwarders = false);
    ~Cell();

    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    void startEntry(const std::string &id);
    void startAll();
    void startWorker(const WorkerSpec &spec);
    /** Ends the process with SIGKILL. */
    void killEntry(const std::string &id);
    void killWorker(const std::string &name);
    /** Partitions an entry from all others (peer connections and hops), or ends the partition; needs forwarders. */
    void cutOff(const std::string &id, bool isCut);
    void signalEntry(const std::string &id, int number);
    int waitEntry(const std::string &id);
    /** Deletes an entry's data folder, to simulate the loss of its disk. */
    void loseDisk(const std::string &id);

    std::string httpOf(const std::string &id) const;
    std::vector<std::string> httpOfDataCentre(const std::string &dataCentre) const;
    std::string settingsPath(const std::string &id) const;
    std::string outputPath(const std::string &name) const;
    const std::string &folder() const;
    pid_t pidOf(const std::string &id) const;

    /** A raw call; the response's status is 0 if none was received. */
    http::Response
    post(const std::string &id, const std::string &path, const std::string &body, const std::string &token, const std::string &type = "application/json") const;

    /** A call with the operator token of @p partner. @throws Error with the code that the instance answered */
    template<typename Reply, typename Request>
    Reply call(const std::string &id, rpc::Method method, const Request &request, const std::string &partner) const
    {
        return wire::unpack<Reply>(this->callBytes(id, method, wire::pack(request), operatorToken(partner)));
    }

    std::string submit(const std::string &id, const std::string &partner, const wire::JobSpecT &spec, const std::string &submissionId) const;
    wire::ExplainReplyT explain(const std::string &id, const std::string &partner, const std::string &job) const;
    bool
    waitForState(const std::string &id, const std::string &partner, const std::string &job, wire::TaskState state, Duration limit = absl::Seconds(40)) const;
    /** Waits until the ledger behind @p id has a leader and @p workers reachable workers. */
    bool waitReady(const std::string &id, std::size_t workers) const;

    CheckReport check(const std::vector<std::string> &notRunIds) const;

    static std::string operatorToken(const std::string &partner);
    static std::string viewerToken(const std::string &partner);
    static std::string workerToken(const std::string &partner);
    static std::string administratorToken();

    /** Changes the configuration. @throws Error with the code that the instance answered */
    wire::ChangeReplyT change(const std::string &id, std::uint64_t expectedVersion, const std::string &text, const std::string &revision) const;
    wire::ConfigurationStatusReplyT configuration(const std::string &id) const;

private:
    std::string callBytes(const std::string &id, rpc::Method method, const std::string &request, const std::string &token) const;
    void writeSettings(const EntrySpec &entry) const;

    const std::string programFolder;
    const std::vector<EntrySpec> entrySpecs;
    const std::vector<LedgerSpec> ledgerSpecs;
    const std::string extra;
    std::string temporary;
    std::map<std::string, std::pair<std::uint16_t, std::uint16_t>> ports;
    void setRunning(const std::string &id, bool isRunning);

    struct Link {
        std::string from;
        std::string to;
        std::uint16_t http = 0;
        std::uint16_t peer = 0;
        std::unique_ptr<Forwarder> httpForwarder;
        std::unique_ptr<Forwarder> peerForwarder;
    };

    std::pair<std::uint16_t, std::uint16_t> portsSeenFrom(const std::string &from, const std::string &to) const;

    std::vector<Link> links;
    std::map<std::string, std::unique_ptr<Process>> processes;
    std::vector<WorkerLog> logs;
};

} // namespace paddlepier::testing

#endif
