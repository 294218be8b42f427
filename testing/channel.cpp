// A persistent HTTP/1.1 connection of a caller.

#include "testing/channel.h"

#include "paddlepier/settings/socketaddress.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>

namespace paddlepier::testing
{

namespace
{

constexpr Duration connectTimeout = absl::Seconds(1);

/** Parses the status and the body; false until the response is complete. */
bool parseIfComplete(const std::string &received, Reply &reply, bool &closes)
{
    const std::size_t head = received.find("\r\n\r\n");
    if (head == std::string::npos) {
        return false;
    }
    const std::string lines = received.substr(0, head + 2);
    const auto valueOf = [&lines](const std::string &name) {
        const std::size_t at = lines.find("\r\n" + name + ": ");
        const std::size_t begin = at + name.size() + 4;
        return at == std::string::npos ? "" : lines.substr(begin, lines.find("\r\n", begin) - begin);
    };
    std::size_t length = 0;
    if (!absl::SimpleAtoi(valueOf("Content-Length"), &length) || received.size() < head + 4 + length) {
        return false;
    }
    closes = absl::EqualsIgnoreCase(valueOf("Connection"), "close");
    reply.body = received.substr(head + 4, length);
    return absl::SimpleAtoi(lines.substr(lines.find(' ') + 1, 3), &reply.status);
}

} // namespace

Channel::Channel(Endpoint server, http::Headers sentHeaders)
    : endpoint(std::move(server))
    , headers(std::move(sentHeaders))
{
}

Channel::~Channel()
{
    this->close();
}

void Channel::close()
{
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

bool Channel::waitFor(short events, Timestamp end) const
{
    pollfd entry{this->socket, events, 0};
    const Duration left = std::max(absl::ZeroDuration(), end - controlNow());
    return ::poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(left)) + 1) > 0;
}

bool Channel::open()
{
    const SocketAddress address = toSocketAddress(this->endpoint);
    this->socket = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (::connect(this->socket, address.pointer(), address.size) == 0) {
        return true;
    }
    int error = errno;
    socklen_t size = sizeof(error);
    if (error == EINPROGRESS && this->waitFor(POLLOUT, controlNow() + connectTimeout)) {
        ::getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    return error == 0;
}

Reply Channel::call(const std::string &method, const std::string &path, const std::string &body, Duration timeout)
{
    Reply reply;
    if (this->socket < 0 && !this->open()) {
        this->close();
        return reply;
    }
    std::string request = absl::StrCat(method, " ", path, " HTTP/1.1\r\nContent-Length: ", body.size(), "\r\n");
    for (const auto &[name, value] : this->headers) {
        absl::StrAppend(&request, name, ": ", value, "\r\n");
    }
    absl::StrAppend(&request, "\r\n", body);
    reply.ending = this->exchange(request, controlNow() + timeout, reply);
    reply.endedAt = controlNow();
    if (reply.ending != Ending::Answered) {
        reply.status = 0;
        this->close();
    }
    return reply;
}

Ending Channel::exchange(const std::string &request, Timestamp end, Reply &reply)
{
    for (std::size_t sent = 0; sent < request.size();) {
        // Before the last byte: the server may have answered by the time that send() returns.
        reply.sentAt = controlNow();
        const ssize_t count = ::send(this->socket, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN) {
            return Ending::Broken;
        }
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        if (count < 0 && !this->waitFor(POLLOUT, end)) {
            return Ending::TimedOut;
        }
    }
    std::string received;
    bool closes = false;
    while (!parseIfComplete(received, reply, closes)) {
        std::array<char, 16384> chunk{};
        const ssize_t count = ::recv(this->socket, chunk.data(), chunk.size(), 0);
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
            return Ending::Broken;
        }
        if (count > 0) {
            received.append(chunk.data(), static_cast<std::size_t>(count));
        } else if (!this->waitFor(POLLIN, end)) {
            return Ending::TimedOut;
        }
    }
    if (closes) {
        this->close();
    }
    return Ending::Answered;
}

} // namespace paddlepier::testing
