// HTTP client on libcurl: a pool of concurrent transfers on one thread, or single blocking transfers.
//
// The result of a transfer is exact where callers rely on it. `nothingSent` is true only if no byte of the request can have reached the
// server. `isComplete` is true only if the response ended as its Content-Length or chunked encoding requires.
// A request is never resent without the caller's consent. By default libcurl resends a request if a kept connection turns out to be closed,
// even if the server had already read the request. Only idempotent requests are resent. A request that must be delivered if possible, but
// at most once, gets a new connection.
//
// A request may have two bodies: one that must only reach a server process that is known to have run at a time, since another one at the same address
// would take it for its own, and one for any process. A connection belongs to the process that has accepted it, so that the first body is sent only
// over a connection that was established by that time, whatever delays the request.
//
// The connections to a host are bounded, and a host may have fewer left than that: see hostlimits.h. Transfers beyond the limit wait until another one
// ends, and count as not sent if their time runs out before. Connections that have been idle for some seconds are closed, so that other clients of the
// server can use them, unless the host has refused connections.
//
// A transfer times out only after all data that arrived before its deadline has been read, so that a pool whose own thread was delayed
// still accepts responses that came in time. After a timeout the transfer's connection is closed. Connections to the same address that
// have been idle since before that transfer started are closed too, since they may have failed in the same way.
//
// Example:
//     TransferPool pool;
//     pool.start(std::move(outgoing), [](TransferResult result) { ... });   // runs in pool.run()
//     pool.run(absl::Milliseconds(10));
//
// Thread safety: start() and run() on one thread; wake() from any. fetch() may be called from any thread.

#ifndef PADDLEPIER_HTTP_HTTPCLIENT_H
#define PADDLEPIER_HTTP_HTTPCLIENT_H

#include "paddlepier/base/clock.h"
#include "paddlepier/http/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace paddlepier::http
{

struct OutgoingRequest {
    std::string method = "POST";
    std::string url;
    Headers headers;
    std::string body;
    Duration timeout = absl::Seconds(10);
    /** False if the request must reach the server at most once. */
    bool mayReuseConnection = true;
    /** The request may be resent over another connection if a kept one is closed before the response. */
    bool isIdempotent = false;
    /** Called by the pool right before the request is sent over an established connection. If it returns false, the request isn't sent. May be empty. */
    std::function<bool()> maySend = {};
    /**
     * Sent instead of `body` over a connection that was established after `establishedBy`, padded with spaces to the same size; must not be longer.
     * Empty: `body` is always sent.
     */
    std::string bodyForLaterConnection = {};
    Timestamp establishedBy = absl::InfiniteFuture();
};

/** How far a transfer got. */
enum class TransferEnd {
    /** A response was received. It may be unusable: see TransferResult::isComplete. */
    Answered,
    /** No connection could be established, or not before the timeout. */
    NotConnected,
    /** The request wasn't sent: `maySend` returned false, or the limit of the host didn't allow it before the timeout. */
    NotSent,
    /** A new connection was closed before any byte of a response to its first request, as by a server that has no connection left. */
    ConnectionRefused,
    /** A connection that had been used before was closed before the response was complete. */
    ConnectionClosed,
    /** The request was sent and the response wasn't complete before the timeout. */
    TimedOut
};
const char *nameOf(TransferEnd end);

struct TransferResult {
    /** The response was received completely. */
    bool isComplete = false;
    /** No byte of the request can have reached the server. */
    bool nothingSent = false;
    TransferEnd end = TransferEnd::NotSent;
    /** Connections to the host when the transfer ended, including idle ones; 0 for fetch(). */
    std::size_t openConnections = 0;
    std::string error;
    Response response;
};

/** Runs concurrent transfers. An event costs O(log n) for n open transfers; an open transfer without events costs nothing. */
class TransferPool
{
public:
    using Done = std::function<void(TransferResult)>;

    TransferPool();
    ~TransferPool();

    TransferPool(const TransferPool &) = delete;
    TransferPool &operator=(const TransferPool &) = delete;

    /**
     * Starts a transfer; @p done is called from run().
     * @throws InvalidArgumentError if the body for later connections is longer than the other one
     */
    void start(OutgoingRequest request, Done done);

    /** Waits up to @p timeout for events, advances the transfers, and calls the `done` of those that ended. */
    void run(Duration timeout);

    /** Ends the current wait in run(), or the next one. */
    void wake();

    /** Limits the transfers in flight to one host, and thus the connections to it; unlimited by default. */
    void setMaxConnectionsPerHost(std::uint32_t connections);

    /** Connections that have been idle for this long are closed; infinite by default. */
    void setMaxIdleTime(Duration time);

    /** Limits the idle connections that are kept open for later transfers. */
    void setMaxIdleConnections(std::uint32_t connections);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/** Performs one transfer and blocks until it ends. */
TransferResult fetch(const OutgoingRequest &request);

} // namespace paddlepier::http

#endif
