// HTTP server on libmicrohttpd.
//
// Each request is received completely and passed to the handler as an Exchange. The handler responds to it exactly once, immediately or later
// and from any thread. Body size, header size, the number of connections and their idle time are limited. A planned stop first refuses new
// connections and then waits until every exchange has its response.
//
// Example:
//     HttpServer server(endpoint, limits, [](std::shared_ptr<Exchange> exchange) { exchange->respond({200, {}, "ok"}); });
//     server.stop(absl::Seconds(10));
//
// Thread safety: the handler runs on the server's threads, several at a time; Exchange::respond() may be called from any thread.

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
    /** Path and query, unmodified, from the request line. */
    std::string target;
    Headers headers;
    std::string body;

    /** Value of a header, by case-insensitive name; empty if it is missing. */
    std::string_view header(std::string_view name) const;
};

struct Response {
    int status = 200;
    Headers headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

/** Value of a header, by case-insensitive name; empty if it is missing. */
std::string_view findHeader(const Headers &headers, std::string_view name);

/** One request and its response. */
class Exchange
{
public:
    const Request &request() const
    {
        return this->receivedRequest;
    }

    /** Responds to the request; every call after the first is ignored. */
    void respond(Response newResponse);

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

    /** Makes every further response close its connection, so that clients move to other instances before stop(). */
    void closeConnectionsAfterResponses();

    /** Refuses new connections, waits up to @p timeout for exchanges in flight, responds to the others with 504, then closes. */
    void stop(Duration timeout);

    std::int64_t activeExchanges() const;

    /** Only for the library's callbacks. */
    struct Callbacks;

private:
    int onData(MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **context);
    void dispatch(const std::shared_ptr<Exchange> &exchange);
    /** @return true if the connection is now suspended until the response is available */
    bool suspendUnlessResponded(const std::shared_ptr<Exchange> &exchange);
    int queueResponse(Exchange &exchange);
    void waitForExchanges(Duration timeout) const;
    void rejectSuspended();

    const LimitSettings limits;
    const Handler handler;
    std::atomic<std::int64_t> activeCount{0};
    std::atomic<bool> isStopping{false};
    MHD_Daemon *daemon = nullptr;
    absl::Mutex mutex;
    // Invariant: holds every exchange whose connection is suspended. The library must not be stopped while any connection is suspended.
    std::set<std::shared_ptr<Exchange>> suspendedExchanges ABSL_GUARDED_BY(mutex);
    /** No further connection may be suspended: rejectSuspended() has run, so nothing would resume it before the library is stopped. */
    bool isRejecting ABSL_GUARDED_BY(mutex) = false;
};

} // namespace paddlepier::http

#endif
