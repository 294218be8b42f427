// HTTP client on libcurl.

#include "paddlepier/http/httpclient.h"

#include "paddlepier/base/error.h"
#include "paddlepier/base/log.h"
#include "paddlepier/http/hostlimits.h"
#include "paddlepier/http/transfersockets.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace paddlepier::http
{

namespace
{

/** Limit on the body of a response. */
constexpr std::size_t maxResponseBytes = 64U << 20U;

constexpr long connectTimeoutMillis = 1000;

constexpr long noContentStatus = 204;

/** Limit on ended transfers whose handles are kept for reuse. */
constexpr std::size_t maxSpareTransfers = 64;

/** How often idle connections are checked for their age. */
constexpr Duration idleCheckInterval = absl::Seconds(1);

/** A transfer and all objects that its handle refers to; reused for successive requests. */
struct Transfer {
    OutgoingRequest request;
    TransferPool::Done done;
    TransferResult result;
    Timestamp startedAt;
    Timestamp deadline;
    TransferSockets *sockets = nullptr;
    /** Scheme, host and port. */
    std::string address;
    CURL *handle = nullptr;
    curl_slist *headerList = nullptr;
    /** Number of times that sending the request was started, each over another connection. */
    std::uint32_t sendAttempts = 0;
    bool hasLength = false;
    bool isChunked = false;
    /** libcurl has requested to wait for events on its socket. */
    bool wasWatched = false;
    /** A connection was opened for this request, instead of reusing one. */
    bool hasOpenedConnection = false;
    /** The request was sent over a connection that was opened for it. */
    bool wasFirstOnConnection = false;
    /** A byte of a response has arrived. */
    bool hasResponse = false;
    /** It has been passed to libcurl. Otherwise it waits for another transfer to the host to end. */
    bool isStarted = false;

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    ~Transfer()
    {
        this->clear();
        curl_easy_cleanup(this->handle);
    }

    /** Releases the request and the response for reuse of the handle. */
    void clear()
    {
        curl_slist_free_all(this->headerList);
        this->headerList = nullptr;
        this->request = {};
        std::string().swap(this->request.body); // Assigning an empty string may keep the allocated memory.
        this->done = nullptr;
        this->result = {};
        this->sendAttempts = 0;
        this->hasLength = false;
        this->isChunked = false;
        this->wasWatched = false;
        this->hasOpenedConnection = false;
        this->wasFirstOnConnection = false;
        this->hasResponse = false;
        this->isStarted = false;
    }
};

/** Scheme, host and port of @p url. */
std::string addressOf(const std::string &url)
{
    const std::size_t host = url.find("//");
    return url.substr(0, host == std::string::npos ? host : url.find('/', host + 2));
}

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->result.response.body.size() + size * count > maxResponseBytes) {
        return 0;
    }
    transfer->result.response.body.append(data, size * count);
    return size * count;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const absl::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    transfer->hasResponse = true;
    if (absl::StartsWith(line, "HTTP/")) {
        transfer->result.response.headers.clear();
        transfer->hasLength = false;
        transfer->isChunked = false;
    } else if (colon != absl::string_view::npos) {
        const auto name = absl::StripAsciiWhitespace(line.substr(0, colon));
        const auto value = absl::StripAsciiWhitespace(line.substr(colon + 1));
        transfer->hasLength = transfer->hasLength || absl::EqualsIgnoreCase(name, "Content-Length");
        transfer->isChunked = transfer->isChunked || (absl::EqualsIgnoreCase(name, "Transfer-Encoding") && absl::EqualsIgnoreCase(value, "chunked"));
        transfer->result.response.headers.emplace_back(std::string(name), std::string(value));
    }
    return size * count;
}

/** Selects the body for the connection that is used. @p isNew: no other request was sent over it */
void selectBody(Transfer &transfer, int localPort, bool isNew)
{
    const Timestamp establishedAt = transfer.sockets == nullptr ? controlNow() : transfer.sockets->establishedAt(localPort, isNew);
    OutgoingRequest &request = transfer.request;
    if (!request.bodyForLaterConnection.empty() && establishedAt > request.establishedBy) {
        // libcurl refers to the body in place.
        std::fill(request.body.begin(), request.body.end(), ' ');
        std::copy(request.bodyForLaterConnection.begin(), request.bodyForLaterConnection.end(), request.body.begin());
    }
}

/** Called by libcurl right before it sends the request, including before it resends it. */
int onSending(void *context, char *, char *, int, int localPort)
{
    auto *transfer = static_cast<Transfer *>(context);
    const bool isFirstAttempt = transfer->sendAttempts == 0;
    const bool mayResend = isFirstAttempt || transfer->request.isIdempotent;
    const bool isNew = std::exchange(transfer->hasOpenedConnection, false);
    selectBody(*transfer, localPort, isNew);
    if (!mayResend || (transfer->request.maySend && !transfer->request.maySend())) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->wasFirstOnConnection = isNew;
    ++transfer->sendAttempts;
    return CURL_PREREQFUNC_OK;
}

void initializeLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

int onSocketOpened(void *context, curl_socket_t socket, curlsocktype)
{
    auto *transfer = static_cast<Transfer *>(context);
    transfer->hasOpenedConnection = true;
    transfer->sockets->setSocketOptions(socket);
    return CURL_SOCKOPT_OK;
}

int onSocketClosing(void *context, curl_socket_t socket)
{
    static_cast<TransferSockets *>(context)->remove(socket);
    return ::close(socket);
}

/** Creates the handle and sets the options that are the same for all requests. */
void createHandle(Transfer &transfer)
{
    initializeLibrary();
    CURL *handle = curl_easy_init();
    transfer.handle = handle;
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &onSending);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    if (transfer.sockets != nullptr) {
        curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &onSocketOpened);
        curl_easy_setopt(handle, CURLOPT_SOCKOPTDATA, &transfer);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &onSocketClosing);
        curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, transfer.sockets);
    }
}

/** Sets all options that differ between requests, since the handle may have been used for another one. */
void prepare(Transfer &transfer)
{
    if (transfer.handle == nullptr) {
        createHandle(transfer);
    }
    const OutgoingRequest &request = transfer.request;
    CURL *handle = transfer.handle;
    for (const auto &[name, value] : request.headers) {
        transfer.headerList = curl_slist_append(transfer.headerList, absl::StrCat(name, ": ", value).c_str());
    }
    transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
    const long millis = std::max<long>(1, absl::ToInt64Milliseconds(request.timeout));
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headerList);
    // The pool enforces the timeout itself: libcurl would abort transfers whose responses have arrived but haven't been read.
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, transfer.sockets == nullptr ? millis : 0L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, std::min(millis, connectTimeoutMillis));
    if (request.method == "GET") {
        curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, nullptr);
    } else {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    const long needsNewConnection = request.mayReuseConnection ? 0 : 1;
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, needsNewConnection);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, needsNewConnection);
}

TransferEnd endOf(const Transfer &transfer, CURLcode code)
{
    if (code == CURLE_OK) {
        return TransferEnd::Answered;
    }
    if (transfer.sendAttempts == 0) {
        const bool isWithheld = !transfer.isStarted || code == CURLE_ABORTED_BY_CALLBACK;
        return isWithheld ? TransferEnd::NotSent : TransferEnd::NotConnected;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return TransferEnd::TimedOut;
    }
    return transfer.wasFirstOnConnection && !transfer.hasResponse ? TransferEnd::ConnectionRefused : TransferEnd::ConnectionClosed;
}

TransferResult makeResult(Transfer &transfer, CURLcode code)
{
    long status = 0;
    if (transfer.isStarted) {
        curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    }
    TransferResult result = std::move(transfer.result);
    result.response.status = static_cast<int>(status);
    // A response that is delimited only by the end of its connection can't be distinguished from a truncated one.
    const bool hasExplicitEnd = transfer.hasLength || transfer.isChunked || status == noContentStatus;
    result.isComplete = code == CURLE_OK && status != 0 && hasExplicitEnd;
    result.nothingSent = code != CURLE_OK && transfer.sendAttempts == 0;
    result.end = endOf(transfer, code);
    result.openConnections = transfer.sockets == nullptr ? 0 : transfer.sockets->openCount(transfer.address);
    if (code != CURLE_OK) {
        result.error = curl_easy_strerror(code);
    } else if (!result.isComplete) {
        result.error = "response has neither Content-Length nor chunked encoding";
    }
    return result;
}

} // namespace

const char *nameOf(TransferEnd end)
{
    static constexpr std::array<const char *, 6> names{"answered", "not-connected", "not-sent", "connection-refused", "connection-closed", "timed-out"};
    return names.at(static_cast<std::size_t>(end));
}

struct TransferPool::Implementation {
    using Ended = std::pair<std::unique_ptr<Transfer>, CURLcode>;

    Implementation();
    ~Implementation();

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    static int onSocket(CURL *handle, curl_socket_t socket, int what, void *self, void *);
    static int onTimer(CURLM *, long millis, void *self);

    std::unique_ptr<Transfer> obtainTransfer();
    /** Passes the transfer to libcurl if the limit of its host allows it. */
    bool tryStart(Transfer &transfer);
    /** Starts transfers that wait for @p host. */
    void startWaiting(const std::string &host);
    void closeAgedConnections();
    void serve(Duration timeout);
    std::vector<Ended> drainEnded();
    /** Removes transfers whose deadline is at or before @p time. */
    void drainExpired(Timestamp time, std::vector<Ended> &ended);
    std::unique_ptr<Transfer> remove(Transfer *transfer);
    /** Marks the connection idle after a response that arrived before libcurl requested to wait for it. O(connections), but rare. */
    void markIdleAfterImmediateResponse(CURL *handle);
    void finish(std::unique_ptr<Transfer> transfer, CURLcode code);

    // Declared before the multi handle, whose cleanup closes the sockets through it.
    TransferSockets sockets;
    CURLM *multi = nullptr;
    /** When libcurl is to be called next even without socket events. */
    Timestamp timerExpiry = absl::InfiniteFuture();
    absl::flat_hash_map<Transfer *, std::unique_ptr<Transfer>> running;
    // Invariant: holds exactly the keys of `running`, by deadline.
    std::set<std::pair<Timestamp, Transfer *>> deadlines;
    HostLimits limits;
    /** Transfers that wait for others to the same host to end, by address; no entry is empty. */
    absl::flat_hash_map<std::string, std::deque<Transfer *>> waiting;
    Duration maxIdleTime = absl::InfiniteDuration();
    Timestamp nextIdleCheck = absl::InfinitePast();
    std::vector<std::unique_ptr<Transfer>> spareTransfers;
};

TransferPool::Implementation::Implementation()
{
    initializeLibrary();
    this->multi = curl_multi_init();
    curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Implementation::onSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Implementation::onTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
}

TransferPool::Implementation::~Implementation()
{
    for (const auto &[transfer, owned] : this->running) {
        if (transfer->isStarted) {
            curl_multi_remove_handle(this->multi, transfer->handle);
        }
    }
    curl_multi_cleanup(this->multi);
}

int TransferPool::Implementation::onSocket(CURL *handle, curl_socket_t socket, int what, void *self, void *)
{
    TransferSockets &sockets = static_cast<Implementation *>(self)->sockets;
    if (what == CURL_POLL_REMOVE) {
        sockets.markIdle(socket);
        return 0;
    }
    Transfer *transfer = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &transfer);
    transfer->wasWatched = true;
    sockets.watch(socket, transfer->address, (what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0);
    return 0;
}

int TransferPool::Implementation::onTimer(CURLM *, long millis, void *self)
{
    // libcurl rounds its timeout down to milliseconds. Called before the exact time, it would only set the timer again.
    const Duration wait = millis > 0 ? absl::Milliseconds(millis + 1) : absl::ZeroDuration();
    static_cast<Implementation *>(self)->timerExpiry = millis < 0 ? absl::InfiniteFuture() : controlNow() + wait;
    return 0;
}

std::unique_ptr<Transfer> TransferPool::Implementation::obtainTransfer()
{
    if (this->spareTransfers.empty()) {
        auto transfer = std::make_unique<Transfer>();
        transfer->sockets = &this->sockets;
        return transfer;
    }
    std::unique_ptr<Transfer> transfer = std::move(this->spareTransfers.back());
    this->spareTransfers.pop_back();
    return transfer;
}

bool TransferPool::Implementation::tryStart(Transfer &transfer)
{
    if (!this->limits.tryBegin(transfer.address, controlNow())) {
        return false;
    }
    transfer.isStarted = true;
    curl_multi_add_handle(this->multi, transfer.handle);
    return true;
}

void TransferPool::Implementation::startWaiting(const std::string &host)
{
    const auto found = this->waiting.find(host);
    if (found == this->waiting.end()) {
        return;
    }
    std::deque<Transfer *> &transfers = found->second;
    while (!transfers.empty() && this->tryStart(*transfers.front())) {
        transfers.pop_front();
    }
    if (transfers.empty()) {
        this->waiting.erase(found);
    }
}

void TransferPool::Implementation::closeAgedConnections()
{
    const Timestamp now = controlNow();
    if (this->maxIdleTime == absl::InfiniteDuration() || now < this->nextIdleCheck) {
        return;
    }
    this->nextIdleCheck = now + idleCheckInterval;
    this->sockets.shutDownIdle(now - this->maxIdleTime, [this](const std::string &address) { return this->limits.isScarce(address); });
}

void TransferPool::Implementation::serve(Duration timeout)
{
    int count = 0;
    const Timestamp now = controlNow();
    Timestamp wakeAt = std::min(this->timerExpiry, now + timeout);
    if (!this->deadlines.empty()) {
        wakeAt = std::min(wakeAt, this->deadlines.begin()->first);
    }
    for (const TransferSockets::Event &event : this->sockets.wait(std::max(absl::ZeroDuration(), wakeAt - now))) {
        const int what = (event.isReadable ? CURL_CSELECT_IN : 0) | (event.isWritable ? CURL_CSELECT_OUT : 0) | (event.hasFailed ? CURL_CSELECT_ERR : 0);
        curl_multi_socket_action(this->multi, event.socket, what, &count);
    }
    if (this->timerExpiry <= controlNow()) {
        // libcurl reports its timer only when it changes, so the expired one must be cleared first.
        this->timerExpiry = absl::InfiniteFuture();
        curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &count);
    }
}

std::unique_ptr<Transfer> TransferPool::Implementation::remove(Transfer *transfer)
{
    if (transfer->isStarted) {
        // Closes the connection if the response isn't complete.
        curl_multi_remove_handle(this->multi, transfer->handle);
        this->limits.end(transfer->address);
    } else {
        const auto queue = this->waiting.find(transfer->address);
        std::erase(queue->second, transfer);
        if (queue->second.empty()) {
            this->waiting.erase(queue);
        }
    }
    this->deadlines.erase({transfer->deadline, transfer});
    const auto found = this->running.find(transfer);
    std::unique_ptr<Transfer> owned = std::move(found->second);
    this->running.erase(found);
    return owned;
}

void TransferPool::Implementation::markIdleAfterImmediateResponse(CURL *handle)
{
    curl_socket_t socket = CURL_SOCKET_BAD;
    if (curl_easy_getinfo(handle, CURLINFO_ACTIVESOCKET, &socket) == CURLE_OK && socket != CURL_SOCKET_BAD) {
        this->sockets.markIdle(socket);
    }
}

std::vector<TransferPool::Implementation::Ended> TransferPool::Implementation::drainEnded()
{
    std::vector<Ended> ended;
    int remaining = 0;
    while (CURLMsg *message = curl_multi_info_read(this->multi, &remaining)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        Transfer *transfer = nullptr;
        const CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        if (code == CURLE_OK && !transfer->wasWatched) {
            this->markIdleAfterImmediateResponse(message->easy_handle);
        }
        ended.emplace_back(this->remove(transfer), code);
    }
    return ended;
}

void TransferPool::Implementation::drainExpired(Timestamp time, std::vector<Ended> &ended)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= time) {
        ended.emplace_back(this->remove(this->deadlines.begin()->second), CURLE_OPERATION_TIMEDOUT);
    }
}

void TransferPool::Implementation::finish(std::unique_ptr<Transfer> transfer, CURLcode code)
{
    if (code == CURLE_OPERATION_TIMEDOUT && transfer->isStarted) {
        this->sockets.shutDownIdle(transfer->address, transfer->startedAt);
    }
    if (endOf(*transfer, code) == TransferEnd::ConnectionRefused) {
        this->limits.recordRefusal(transfer->address, this->sockets.provenCount(transfer->address), controlNow());
    }
    if (this->limits.isScarce(transfer->address) && this->sockets.openCount(transfer->address) == 0) {
        this->limits.reset(transfer->address);
    }
    this->startWaiting(transfer->address);
    if (transfer->sendAttempts > 1) {
        log::info("http",
                  "request.resent",
                  {{"url", transfer->request.url},
                   {"attempts", transfer->sendAttempts},
                   {"ageMillis", absl::ToInt64Milliseconds(controlNow() - transfer->startedAt)}});
    }
    TransferResult result = makeResult(*transfer, code);
    const Done done = std::move(transfer->done);
    if (this->spareTransfers.size() < maxSpareTransfers) {
        transfer->clear();
        this->spareTransfers.push_back(std::move(transfer));
    }
    done(std::move(result));
}

TransferPool::TransferPool()
    : implementation(std::make_unique<Implementation>())
{
}

TransferPool::~TransferPool() = default;

void TransferPool::setMaxConnectionsPerHost(std::uint32_t connections)
{
    this->implementation->limits.setMaxPerHost(connections);
}

void TransferPool::setMaxIdleTime(Duration time)
{
    this->implementation->maxIdleTime = time;
}

void TransferPool::setMaxIdleConnections(std::uint32_t connections)
{
    curl_multi_setopt(this->implementation->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(connections));
}

void TransferPool::start(OutgoingRequest request, Done done)
{
    if (request.bodyForLaterConnection.size() > request.body.size()) {
        throw InvalidArgumentError(
            absl::StrCat("bodyForLaterConnection: has ", request.bodyForLaterConnection.size(), " bytes; at most ", request.body.size(), " were expected"));
    }
    std::unique_ptr<Transfer> transfer = this->implementation->obtainTransfer();
    transfer->request = std::move(request);
    transfer->done = std::move(done);
    transfer->startedAt = controlNow();
    transfer->deadline = transfer->startedAt + std::max(transfer->request.timeout, absl::Milliseconds(1));
    transfer->address = addressOf(transfer->request.url);
    prepare(*transfer);
    Transfer *key = transfer.get();
    auto &waiting = this->implementation->waiting;
    if (waiting.contains(key->address) || !this->implementation->tryStart(*key)) {
        waiting[key->address].push_back(key);
    }
    this->implementation->deadlines.emplace(key->deadline, key);
    this->implementation->running.emplace(key, std::move(transfer));
}

void TransferPool::run(Duration timeout)
{
    this->implementation->serve(timeout);
    this->implementation->closeAgedConnections();
    std::vector<Implementation::Ended> ended = this->implementation->drainEnded();
    this->implementation->drainExpired(this->implementation->sockets.eventsReportedUntil(), ended);
    for (auto &[transfer, code] : ended) {
        this->implementation->finish(std::move(transfer), code);
    }
}

void TransferPool::wake()
{
    this->implementation->sockets.wake();
}

TransferResult fetch(const OutgoingRequest &request)
{
    Transfer transfer;
    transfer.request = request;
    prepare(transfer);
    transfer.isStarted = true;
    const CURLcode code = curl_easy_perform(transfer.handle);
    return makeResult(transfer, code);
}

} // namespace paddlepier::http
