// HTTP client on libcurl: many transfers on one thread, or one at a time.
//
// What a transfer tells about its end is exact where a promise rests on it: `nothingSent` is true only if no byte of the
// request can have reached the other side, and a body is `whole` only if its stated length or its chunked ending came.
// A request is never sent a second time behind the caller's back: the library would repeat one whose kept connection turns out to
// be closed, also when the other side had read it. Only one that may be repeated is; one that must reach the other side if it can, and
// at most once, gets a fresh connection.
//
// A call is given up at its timeout, but not before everything that its socket had brought by then has been read: a pool
// that was itself held up takes the answers that came in time. The connection of a call that was given up is closed, and
// so are those to the same address that have rested since before that call, for they may have fallen silent with it.
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
    /** False: the request must reach the other side at most once. */
    bool mayReuseConnection = true;
    /** It may be sent again over another connection where a kept one is closed without an answer: its effect is the same. */
    bool isIdempotent = false;
};

struct TransferResult {
    /** The whole answer came. */
    bool isComplete = false;
    /** The request can't have reached the other side. */
    bool nothingSent = false;
    std::string error;
    Response response;
};

/** Transfers under way; an event costs O(log n) for n open transfers, and an open one without events costs nothing. */
class TransferPool
{
public:
    using Done = std::function<void(TransferResult)>;

    TransferPool();
    ~TransferPool();

    TransferPool(const TransferPool &) = delete;
    TransferPool &operator=(const TransferPool &) = delete;

    /** Begins a transfer; @p done is called from run(). */
    void start(OutgoingRequest request, Done done);

    /** Does what is due and waits up to @p patience for more; calls the `done` of ended transfers. */
    void run(Duration patience);

    /** Ends a wait in run(). */
    void wake();

    /** Bound on connections to one host, kept ones included. */
    void setMaxConnectionsPerHost(std::uint32_t connections);

    /** Bound on connections that are kept open for later transfers. */
    void setMaxIdleConnections(std::uint32_t connections);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

/** One transfer, waited for. */
TransferResult fetch(const OutgoingRequest &request);

} // namespace paddlepier::http

#endif
