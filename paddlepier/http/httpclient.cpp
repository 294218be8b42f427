// HTTP client on libcurl.

#include "paddlepier/http/httpclient.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <curl/curl.h>

#include <mutex>
#include <vector>

namespace paddlepier::http
{

namespace
{

/** Largest answer taken from a backend server. */
constexpr std::size_t mostAnswerBytes = 64U << 20U;

/** Longest wait for a connection to open. */
constexpr long connectMillis = 1000;

constexpr long noContentStatus = 204;

/** One transfer with everything that its handle refers to. */
struct Transfer {
    OutgoingRequest request;
    TransferPool::Done done;
    TransferResult result;
    CURL *handle = nullptr;
    curl_slist *headerList = nullptr;
    bool hasLength = false;
    bool isChunked = false;

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    ~Transfer()
    {
        curl_slist_free_all(this->headerList);
        curl_easy_cleanup(this->handle);
    }
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->result.answer.body.size() + size * count > mostAnswerBytes) {
        return 0;
    }
    transfer->result.answer.body.append(data, size * count);
    return size * count;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const absl::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (absl::StartsWith(line, "HTTP/")) {
        transfer->result.answer.headers.clear();
        transfer->hasLength = false;
        transfer->isChunked = false;
    } else if (colon != absl::string_view::npos) {
        const auto name = absl::StripAsciiWhitespace(line.substr(0, colon));
        const auto value = absl::StripAsciiWhitespace(line.substr(colon + 1));
        transfer->hasLength = transfer->hasLength || absl::EqualsIgnoreCase(name, "Content-Length");
        transfer->isChunked = transfer->isChunked || (absl::EqualsIgnoreCase(name, "Transfer-Encoding") && absl::EqualsIgnoreCase(value, "chunked"));
        transfer->result.answer.headers.emplace_back(std::string(name), std::string(value));
    }
    return size * count;
}

void initializeLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

void prepare(Transfer &transfer)
{
    initializeLibrary();
    const OutgoingRequest &request = transfer.request;
    CURL *handle = curl_easy_init();
    transfer.handle = handle;
    for (const auto &[name, value] : request.headers) {
        transfer.headerList = curl_slist_append(transfer.headerList, absl::StrCat(name, ": ", value).c_str());
    }
    transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
    const long millis = std::max<long>(1, absl::ToInt64Milliseconds(request.timeout));
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headerList);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, millis);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, std::min(millis, connectMillis));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    if (request.method == "GET") {
        curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
    } else {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    if (!request.mayReuseConnection) {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
}

TransferResult conclude(Transfer &transfer, CURLcode code)
{
    long status = 0;
    long requestBytes = 0;
    curl_easy_getinfo(transfer.handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer.handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    TransferResult result = std::move(transfer.result);
    result.answer.status = static_cast<int>(status);
    // An answer that ends with its connection can't be told from one that was cut short.
    const bool hasProvenEnd = transfer.hasLength || transfer.isChunked || status == noContentStatus;
    result.whole = code == CURLE_OK && status != 0 && hasProvenEnd;
    result.nothingSent = code != CURLE_OK && requestBytes == 0;
    if (code != CURLE_OK) {
        result.problem = curl_easy_strerror(code);
    } else if (!result.whole) {
        result.problem = "the answer has no stated length";
    }
    return result;
}

} // namespace

struct TransferPool::Implementation {
    CURLM *multi = nullptr;
    std::size_t running = 0;
};

TransferPool::TransferPool()
    : implementation(std::make_unique<Implementation>())
{
    initializeLibrary();
    this->implementation->multi = curl_multi_init();
    curl_multi_setopt(this->implementation->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

TransferPool::~TransferPool()
{
    curl_multi_cleanup(this->implementation->multi);
}

void TransferPool::setConnectionsPerHost(std::uint32_t connections)
{
    curl_multi_setopt(this->implementation->multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(connections));
}

void TransferPool::setKeptConnections(std::uint32_t connections)
{
    curl_multi_setopt(this->implementation->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(connections));
}

void TransferPool::start(OutgoingRequest request, Done done)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->request = std::move(request);
    transfer->done = std::move(done);
    prepare(*transfer);
    curl_multi_add_handle(this->implementation->multi, transfer->handle);
    [[maybe_unused]] const Transfer *handed = transfer.release(); // Owned by the handle's private pointer until run() sees its end.
    ++this->implementation->running;
}

void TransferPool::run(Duration patience)
{
    CURLM *multi = this->implementation->multi;
    int running = 0;
    curl_multi_perform(multi, &running);
    std::vector<std::pair<std::unique_ptr<Transfer>, CURLcode>> ended;
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        Transfer *transfer = nullptr;
        const CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        curl_multi_remove_handle(multi, message->easy_handle);
        ended.emplace_back(transfer, code);
        --this->implementation->running;
    }
    for (auto &[transfer, code] : ended) {
        TransferResult result = conclude(*transfer, code);
        transfer->done(std::move(result));
    }
    if (ended.empty()) {
        curl_multi_poll(multi, nullptr, 0, static_cast<int>(absl::ToInt64Milliseconds(patience)), nullptr);
    }
}

void TransferPool::wake()
{
    curl_multi_wakeup(this->implementation->multi);
}

TransferResult fetch(const OutgoingRequest &request)
{
    Transfer transfer;
    transfer.request = request;
    prepare(transfer);
    const CURLcode code = curl_easy_perform(transfer.handle);
    return conclude(transfer, code);
}

} // namespace paddlepier::http
