// HTTP server on libmicrohttpd.

#include "paddlepier/http/httpserver.h"

#include "paddlepier/base/error.h"
#include "paddlepier/base/log.h"
#include "paddlepier/settings/socketaddress.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <microhttpd.h>
#include <unistd.h>

#include <cstring>

namespace paddlepier::http
{

namespace
{

/** Memory for the headers of one connection; the library rejects longer headers with 431. */
constexpr std::size_t maxHeaderBytes = 32768;

MHD_Result collectHeader(void *context, MHD_ValueKind, const char *key, const char *value)
{
    static_cast<Headers *>(context)->emplace_back(key, value == nullptr ? "" : value);
    return MHD_YES;
}

/** Not 503, which would state that the request was not executed: it may still take effect. */
Response outcomeUnknown()
{
    return {504,
            {{"Content-Type", "application/json"}, {"Retry-After", "1"}},
            "{\"error\":\"Timeout\",\"message\":\"server is stopping; the outcome of the request is unknown\"}"};
}

} // namespace

std::string_view findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (absl::EqualsIgnoreCase(key, absl::string_view(name.data(), name.size()))) {
            return value;
        }
    }
    return {};
}

std::string_view Request::header(std::string_view name) const
{
    return findHeader(this->headers, name);
}

std::string_view Response::header(std::string_view name) const
{
    return findHeader(this->headers, name);
}

void Exchange::respond(Response newResponse)
{
    const absl::MutexLock lock(&this->mutex);
    if (this->response) {
        return;
    }
    this->response = std::move(newResponse);
    if (this->isSuspended) {
        this->isSuspended = false;
        MHD_resume_connection(this->connection);
    }
}

/** Adapts the library's C callbacks. */
struct HttpServer::Callbacks {
    static MHD_Result
    onData(void *self, MHD_Connection *connection, const char *url, const char *method, const char *, const char *data, std::size_t *size, void **context)
    {
        return static_cast<MHD_Result>(static_cast<HttpServer *>(self)->onData(connection, url, method, data, size, context));
    }

    static void *onRequestLine(void *self, const char *target, MHD_Connection *)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->receivedRequest.target = target;
        ++static_cast<HttpServer *>(self)->activeCount;
        return new std::shared_ptr<Exchange>(std::move(exchange));
    }

    static void onCompleted(void *self, MHD_Connection *, void **context, MHD_RequestTerminationCode)
    {
        if (*context != nullptr) {
            auto *server = static_cast<HttpServer *>(self);
            {
                const absl::MutexLock lock(&server->mutex);
                server->suspendedExchanges.erase(*static_cast<std::shared_ptr<Exchange> *>(*context));
            }
            delete static_cast<std::shared_ptr<Exchange> *>(*context);
            *context = nullptr;
            --server->activeCount;
        }
    }

    static void onLog(void *, const char *format, va_list arguments)
    {
        std::array<char, 512> text{};
        std::vsnprintf(text.data(), text.size(), format, arguments);
        log::debug("http", "library", {{"text", std::string(text.data())}});
    }
};

HttpServer::HttpServer(const Endpoint &endpoint, const LimitSettings &limitSettings, Handler requestHandler)
    : limits(limitSettings)
    , handler(std::move(requestHandler))
{
    const SocketAddress address = toSocketAddress(endpoint);
    const unsigned int ipv6 = address.isVersion6() ? MHD_USE_IPv6 : 0;
    const unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_ERROR_LOG | ipv6;
    this->daemon = MHD_start_daemon(flags,
                                    endpoint.port,
                                    nullptr,
                                    nullptr,
                                    &Callbacks::onData,
                                    this,
                                    MHD_OPTION_EXTERNAL_LOGGER,
                                    &Callbacks::onLog,
                                    nullptr,
                                    MHD_OPTION_SOCK_ADDR,
                                    address.pointer(),
                                    MHD_OPTION_URI_LOG_CALLBACK,
                                    &Callbacks::onRequestLine,
                                    this,
                                    MHD_OPTION_NOTIFY_COMPLETED,
                                    &Callbacks::onCompleted,
                                    this,
                                    MHD_OPTION_THREAD_POOL_SIZE,
                                    static_cast<unsigned int>(limitSettings.trafficThreads),
                                    MHD_OPTION_CONNECTION_LIMIT,
                                    static_cast<unsigned int>(limitSettings.connections),
                                    MHD_OPTION_CONNECTION_TIMEOUT,
                                    static_cast<unsigned int>(absl::ToInt64Seconds(limitSettings.connectionIdleTimeout)),
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                    maxHeaderBytes,
                                    MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                    1U,
                                    MHD_OPTION_END);
    if (this->daemon == nullptr) {
        throw InvalidSettingsError(absl::StrCat("listen.http: can't listen on ", endpoint.text(), ": ", std::strerror(errno)));
    }
}

HttpServer::~HttpServer()
{
    this->stop(absl::ZeroDuration());
}

void HttpServer::closeConnectionsAfterResponses()
{
    this->isStopping = true;
}

void HttpServer::stop(Duration timeout)
{
    if (this->daemon == nullptr) {
        return;
    }
    this->isStopping = true;
    const MHD_socket listener = MHD_quiesce_daemon(this->daemon);
    if (listener != MHD_INVALID_SOCKET) {
        ::close(listener);
    }
    this->waitForExchanges(timeout);
    this->rejectSuspended();
    MHD_stop_daemon(this->daemon);
    this->daemon = nullptr;
}

void HttpServer::waitForExchanges(Duration timeout) const
{
    const Timestamp end = controlNow() + timeout;
    while (this->activeCount > 0 && controlNow() < end) {
        absl::SleepFor(absl::Milliseconds(5));
    }
}

void HttpServer::rejectSuspended()
{
    // Time for the library to send the queued responses.
    constexpr Duration sendTimeout = absl::Milliseconds(200);
    std::set<std::shared_ptr<Exchange>> remaining;
    {
        const absl::MutexLock lock(&this->mutex);
        remaining = this->suspendedExchanges;
        this->isRejecting = true;
    }
    if (remaining.empty()) {
        return;
    }
    log::warning("http", "exchanges.refused", {{"count", remaining.size()}});
    for (const std::shared_ptr<Exchange> &exchange : remaining) {
        exchange->respond(outcomeUnknown());
    }
    this->waitForExchanges(sendTimeout);
}

std::int64_t HttpServer::activeExchanges() const
{
    return this->activeCount;
}

int HttpServer::onData(MHD_Connection *connection, const char *url, const char *method, const char *data, std::size_t *size, void **context)
{
    const std::shared_ptr<Exchange> exchange = *static_cast<std::shared_ptr<Exchange> *>(*context);
    if (!exchange->hasHeaders) {
        exchange->hasHeaders = true;
        exchange->connection = connection;
        exchange->receivedRequest.method = method;
        exchange->receivedRequest.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &exchange->receivedRequest.headers);
        return MHD_YES;
    }
    if (*size > 0) {
        exchange->isBodyTooLarge = exchange->isBodyTooLarge || exchange->receivedRequest.body.size() + *size > this->limits.bodyBytes;
        if (!exchange->isBodyTooLarge) {
            exchange->receivedRequest.body.append(data, *size);
        }
        *size = 0;
        return MHD_YES;
    }
    if (!exchange->isDispatched) {
        exchange->isDispatched = true;
        this->dispatch(exchange);
        if (this->suspendUnlessResponded(exchange)) {
            return MHD_YES;
        }
    }
    return this->queueResponse(*exchange);
}

void HttpServer::dispatch(const std::shared_ptr<Exchange> &exchange)
{
    bool isRefused = false;
    {
        const absl::MutexLock lock(&this->mutex);
        isRefused = this->isRejecting;
    }
    if (exchange->isBodyTooLarge) {
        exchange->respond({413, {{"Content-Type", "application/json"}}, "{\"error\":\"BodyTooLarge\",\"message\":\"the request body exceeds the limit\"}"});
    } else if (isRefused) {
        exchange->respond({503,
                           {{"Content-Type", "application/json"}, {"Retry-After", "1"}},
                           "{\"error\":\"Stopping\",\"message\":\"server is stopping; the request was not executed\"}"});
    } else {
        this->handler(exchange);
    }
}

bool HttpServer::suspendUnlessResponded(const std::shared_ptr<Exchange> &exchange)
{
    const absl::MutexLock lock(&exchange->mutex);
    if (exchange->response) {
        return false;
    }
    {
        const absl::MutexLock ownLock(&this->mutex);
        if (this->isRejecting) {
            exchange->response = outcomeUnknown();
            return false;
        }
        this->suspendedExchanges.insert(exchange);
    }
    exchange->isSuspended = true;
    MHD_suspend_connection(exchange->connection);
    return true;
}

int HttpServer::queueResponse(Exchange &exchange)
{
    const absl::MutexLock lock(&exchange.mutex);
    if (!exchange.response) {
        return MHD_YES;
    }
    const Response &response = *exchange.response;
    MHD_Response *queuedResponse = MHD_create_response_from_buffer(response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
    for (const auto &[name, value] : response.headers) {
        MHD_add_response_header(queuedResponse, name.c_str(), value.c_str());
    }
    if (this->isStopping) {
        MHD_add_response_header(queuedResponse, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const MHD_Result queued = MHD_queue_response(exchange.connection, static_cast<unsigned int>(response.status), queuedResponse);
    MHD_destroy_response(queuedResponse);
    return queued;
}

} // namespace paddlepier::http
