// HTTP server of an entry instance, on libmicrohttpd.
//
// Each request arrives whole as an Exchange; a handler answers it once, at once or later and from any thread. Bodies,
// headers, connections and idle times are bounded. A planned stop first refuses new connections and then waits until
// every exchange has been answered.
//
// Example:
//     HttpServer server(endpoint, limits, [](std::shared_ptr<Exchange> exchange) { exchange->answer({200, {}, "ok"}); });
//     server.stop(absl::Seconds(10));
//
// Thread safety: the handler runs on the server's threads, several at a time; Exchange::answer() may be called from any.

#ifndef PADDLEPIER_HTTP_HTTPSERVER_H
#define PADDLEPIER_HTTP_HTTPSERVER_H

#include "paddlepier/base/clock.h"
#include "paddlepier/settings/settings.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct MHD_Daemon;
struct MHD_Connection;

namespace paddlepier::http
{

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
    std::string method;
    std::string path;
    /** Path and query as they stood in the request line. */
    std::string target;
    Headers headers;
    std::string body;

    /** Value of a header, whatever its case; empty if it's missing. */
    std::string_view header(std::string_view name) const;
};

struct Response {
    int status = 200;
    Headers headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

/** Looks a header up, whatever its case. */
std::string_view findHeader(const Headers &headers, std::string_view name);

/** One request and its answer. */
class Exchange
{
public:
    const Request &request() const
    {
        return this->receivedRequest;
    }

    /** Answers the request; every call but the first is ignored. */
    void respond(Response answer);

private:
    friend class HttpServer;

    Request receivedRequest;
    bool hasHeaders = false;
    bool isBodyTooLarge = false;
    bool isDispatched = false;
    MHD_Connection *connection = nullptr;
    absl::Mutex mutex;
    std::optional<Response> response ABSL_GUARDED_BY(mutex);
    bool isSuspended ABSL_GUARDED_BY(mutex) = false;
};

class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<Exchange> &)>;

    /** @throws InvalidSettingsError if the address can't be listened on */
    HttpServer(const Endpoint &endpoint, const LimitSettings &limitSettings, Handler requestHandler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** From now on every answer closes its connection, so that callers go elsewhere before stop(). */
    void closeConnectionsAfterResponses();

    /** Refuses new connections, waits up to @p patience for exchanges under way, answers the rest with 504, then closes. */
    void stop(Duration patience);

    std::int64_t activeExchanges() const;

    /** For the library's callbacks alone. */
    struct Callbacks;

private:
    int onData(MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **context);
    void dispatch(const std::shared_ptr<Exchange> &exchange);
    /** @return true if the connection waits now for its answer */
    bool suspendUnlessResponded(const std::shared_ptr<Exchange> &exchange);
    int queueResponse(Exchange &exchange);
    void waitForExchanges(Duration patience) const;
    void rejectSuspended();

    const LimitSettings limits;
    const Handler handler;
    std::atomic<std::int64_t> activeCount{0};
    std::atomic<bool> isStopping{false};
    MHD_Daemon *daemon = nullptr;
    absl::Mutex mutex;
    // Invariant: holds every exchange whose connection is suspended; the library must not be stopped while there is one.
    std::set<std::shared_ptr<Exchange>> suspendedExchanges ABSL_GUARDED_BY(mutex);
    /** No further exchange may wait for its answer: those that did have been refused, and nobody would refuse it. */
    bool isRejecting ABSL_GUARDED_BY(mutex) = false;
};

} // namespace paddlepier::http

#endif
