// Quick requests of one entry instance: the traffic thread round the QuickRouter.
//
// Takes whole HTTP requests from the server's threads, routes them, sends them to backend servers or to another data
// centre's entry, checks that what comes back is the whole answer to this very request, and answers the caller. A request
// with an idempotency key is first recorded in the ledger of the key's home data centre; nothing is sent before that.
//
// Thread safety: submit() and setHopTargets() from any thread; the rest happens on the service's own thread. Calls to
// ledgers go through the function given to the constructor, whose completions may come from any thread.

#ifndef PADDLEPIER_INSTANCE_QUICKSERVICE_H
#define PADDLEPIER_INSTANCE_QUICKSERVICE_H

#include "paddlepier/base/counters.h"
#include "paddlepier/base/mailbox.h"
#include "paddlepier/http/httpclient.h"
#include "paddlepier/http/httpserver.h"
#include "paddlepier/instance/actor.h"
#include "paddlepier/routing/quickrouter.h"
#include "paddlepier/rpc/callcatalog.h"
#include "paddlepier/settings/configuration.h"
#include "paddlepier/settings/settings.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace paddlepier::instance
{

/** Path below which requests are passed to backend servers. */
constexpr std::string_view quickPrefix = "/v1/quick/";

class QuickService
{
public:
    using LedgerCall = std::function<void(const std::string &dataCentre, rpc::Method method, std::string body, Duration patience, CallDone done)>;

    QuickService(const Settings &instanceSettings, Counters &counters, LedgerCall ledgerCall, std::uint64_t seed);
    ~QuickService();

    QuickService(const QuickService &) = delete;
    QuickService &operator=(const QuickService &) = delete;

    /** Takes a request; it is answered later, by its deadline. */
    void submit(const std::shared_ptr<http::Exchange> &exchange);

    /** False in the first moments of the process, while it has no shares yet. Any thread may ask. */
    bool isReady() const;

    /** Puts a configuration into force. */
    void setConfiguration(const DeploymentConfiguration &deployment);

    /** Answers what is left, then ends the thread. */
    void stop();

private:
    struct Caller {
        std::shared_ptr<http::Exchange> exchange;
        std::string requestId;
        std::string key;
        std::uint64_t digest = 0;
        Timestamp received;
        Timestamp deadline;
        bool isIdempotent = false;
        bool isHop = false;
        /** Answers of attempts that ended whole, until the router has said which one counts. */
        absl::flat_hash_map<std::uint64_t, http::Response> answers;
    };

    void run();
    void accept(const std::shared_ptr<http::Exchange> &exchange);
    bool readHeaders(const http::Request &request, Caller &caller, http::Response &refusal) const;
    void openKey(std::uint64_t id);
    void keyOpened(std::uint64_t id, const CallResult &result);
    void route(std::uint64_t id);
    void pump();
    void send(const routing::Attempt &attempt);
    void attemptEnded(const routing::Attempt &attempt, http::TransferResult result);
    void finish(const routing::Finished &finished);
    void closeKey(const Caller &caller, wire::RequestOutcome outcome, const http::Response *answer, const std::function<void()> &closed);
    void answerCaller(std::uint64_t id, wire::RequestOutcome outcome, http::Response answer);
    void renewShares(Timestamp now);
    void limitConnections(const wire::SharesReplyT &reply);
    std::string dataCentreOfKey(const std::string &key) const;
    void post(Mailbox::Work work);

    const Settings &settings;
    const LedgerCall callLedger;
    Counters &counters;
    Histogram &addedTime;
    Mailbox mailbox;
    http::TransferPool pool;
    routing::QuickRouter router;
    absl::flat_hash_map<std::uint64_t, Caller> callers;
    std::vector<std::string> keyDataCentres;
    std::uint64_t nextRequest = 1;
    const std::uint64_t incarnation;
    const Timestamp startedAt = controlNow();
    std::uint64_t shareSequence = 0;
    /** Sequence of the newest answer taken. */
    std::uint64_t shareAnswered = 0;
    Timestamp nextShares = absl::InfinitePast();
    std::atomic<bool> hasRequestedShares{false};
    std::atomic<bool> isStopping{false};
    std::thread thread;
};

} // namespace paddlepier::instance

#endif
