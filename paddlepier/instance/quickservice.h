// Serves the quick requests of an entry instance: the traffic thread that drives the QuickRouter.
//
// Receives complete HTTP requests from the server's threads, routes them, sends them to backend servers or to an entry
// instance of another data centre, verifies that the response is complete and belongs to this request, and answers the
// caller. A request with an idempotency key is recorded in the ledger of the key's data centre before anything is sent.
//
// Thread safety: submit(), isReady() and setConfiguration() may be called from any thread; all other work runs on the
// service's own thread. The LedgerCall function may invoke its completions on any thread.

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

/** Path prefix of the requests that are forwarded to backend servers. */
constexpr std::string_view quickPrefix = "/v1/quick/";

class QuickService
{
public:
    using LedgerCall = std::function<void(const std::string &dataCentre, rpc::Method method, std::string body, Duration timeout, CallCallback done)>;

    QuickService(const Settings &instanceSettings, Counters &counters, LedgerCall ledgerCall, std::uint64_t seed);
    ~QuickService();

    QuickService(const QuickService &) = delete;
    QuickService &operator=(const QuickService &) = delete;

    /** Accepts a request, which is answered asynchronously, by its deadline. */
    void submit(const std::shared_ptr<http::Exchange> &exchange);

    /** False after the start of the process until it has received its first shares or the maximum startup time has passed. */
    bool isReady() const;

    /** Applies the queue limit and the retry budget of @p deployment. */
    void setConfiguration(const DeploymentConfiguration &deployment);

    /** Ends the thread. The server must have completed its exchanges before. */
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
        /** Complete responses by attempt, until the router has chosen the one to return. */
        absl::flat_hash_map<std::uint64_t, http::Response> responses;
    };

    void run();
    void accept(const std::shared_ptr<http::Exchange> &exchange);
    /** Fills @p caller from the headers. @return false if a header is invalid; @p refusal is then the response */
    bool readHeaders(const http::Request &request, Caller &caller, http::Response &refusal) const;
    /** Records the request under its idempotency key in the ledger. */
    void openKey(std::uint64_t id);
    void handleKeyOpened(std::uint64_t id, const CallResult &result);
    void route(std::uint64_t id);
    /** Executes the router's new attempts and results until there are none. */
    void pump();
    void send(const routing::Attempt &attempt);
    void handleAttemptEnd(const routing::Attempt &attempt, http::TransferResult result);
    void finish(const routing::Finished &finished);
    /** Records the outcome of the request with the key, then calls @p closed, also if recording failed. */
    void closeKey(const Caller &caller, wire::RequestOutcome outcome, const http::Response *answer, const std::function<void()> &closed);
    void answerCaller(std::uint64_t id, wire::RequestOutcome outcome, http::Response answer);
    void renewShares(Timestamp now);
    void limitConnections(const wire::SharesReplyT &reply);
    std::string dataCentreOfKey(const std::string &key) const;
    void post(Mailbox::Work work);

    const Settings &settings;
    const LedgerCall callLedger;
    Counters &counters;
    Histogram &requestTime;
    Mailbox mailbox;
    http::TransferPool pool;
    routing::QuickRouter router;
    absl::flat_hash_map<std::uint64_t, Caller> callers;
    std::vector<std::string> keyDataCentres;
    std::uint64_t nextRequest = 1;
    const std::uint64_t incarnation;
    const Timestamp startedAt = controlNow();
    std::uint64_t shareSequence = 0;
    /** Sequence of the last request for shares whose answer was accepted; 0 if there is none since the start or the last `Conflict`. */
    std::uint64_t answeredShareSequence = 0;
    Timestamp nextSharesRequestAt = absl::InfinitePast();
    std::atomic<bool> hasRequestedShares{false};
    std::atomic<bool> isStopping{false};
    std::thread thread;
};

} // namespace paddlepier::instance

#endif
