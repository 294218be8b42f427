// HTTP/1.1 on loopback with blocking sockets.

#include "wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <optional>
#include <stdexcept>

namespace review
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr int listenBacklog = 64;

sockaddr_in addressOf(const std::string &host, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

const sockaddr *generic(const sockaddr_in &address)
{
    return reinterpret_cast<const sockaddr *>(&address);
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Reads until @p buffer holds one complete message, and removes it from there. */
std::optional<Message> receive(int socket, std::string &buffer, Clock::time_point deadline)
{
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            Message message;
            std::size_t lineBegin = buffer.find("\r\n") + 2;
            const std::string first = buffer.substr(0, lineBegin - 2);
            const std::size_t space = first.find(' ');
            message.method = first.substr(0, space);
            message.path = first.substr(space + 1, first.find(' ', space + 1) - space - 1);
            while (lineBegin < end + 2) {
                const std::size_t lineEnd = buffer.find("\r\n", lineBegin);
                const std::string line = buffer.substr(lineBegin, lineEnd - lineBegin);
                const std::size_t colon = line.find(':');
                if (colon != std::string::npos) {
                    const std::size_t value = line.find_first_not_of(' ', colon + 1);
                    message.headers[toLower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
                }
                lineBegin = lineEnd + 2;
            }
            const auto length = message.headers.find("content-length");
            const std::size_t size = length == message.headers.end() ? 0 : std::stoul(length->second);
            if (buffer.size() >= end + 4 + size) {
                message.body = buffer.substr(end + 4, size);
                buffer.erase(0, end + 4 + size);
                return message;
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd entry{socket, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            return std::nullopt;
        }
        std::string part(65536, '\0');
        const ssize_t count = ::recv(socket, part.data(), part.size(), 0);
        if (count <= 0) {
            return std::nullopt;
        }
        buffer.append(part, 0, static_cast<std::size_t>(count));
    }
}

} // namespace

Answer call(const std::string &host, std::uint16_t port, const Message &request, int timeoutMillis)
{
    const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMillis);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(host, port);
    Answer answer;
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nContent-Type: application/json\r\n";
    if (request.headers.find("Host") == request.headers.end()) {
        text += "Host: " + host + "\r\n";
    }
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    if (::connect(socket, generic(address), sizeof(address)) == 0 && sendAll(socket, text)) {
        std::string buffer;
        const std::optional<Message> reply = receive(socket, buffer, deadline);
        if (reply) {
            // The status line has the status where a request has its path.
            answer.status = std::stoi(reply->path);
            answer.body = reply->body;
        }
    }
    ::close(socket);
    return answer;
}

Server::Server(const std::string &host, std::uint16_t port, Handler requestHandler)
    : handler(std::move(requestHandler))
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(host, port);
    if (::bind(this->listener, generic(address), sizeof(address)) != 0 || ::listen(this->listener, listenBacklog) != 0) {
        throw std::runtime_error("can't listen on " + host);
    }
    this->acceptor = std::thread([this] { this->accept(); });
}

Server::~Server()
{
    this->stop();
}

void Server::stop()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const int socket : this->sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void Server::accept()
{
    while (!this->stopping) {
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sockets.push_back(socket);
        this->threads.emplace_back([this, socket] { this->serve(socket); });
    }
}

void Server::serve(int socket)
{
    std::string buffer;
    while (!this->stopping) {
        const std::optional<Message> request = receive(socket, buffer, Clock::now() + std::chrono::seconds(60));
        if (!request) {
            break;
        }
        const Answer answer = this->handler(*request);
        if (answer.status == 0) {
            continue; // lost on its way; the channel stays open
        }
        const std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " .\r\nContent-Type: application/json\r\nContent-Length: ";
        if (!sendAll(socket, head + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body)) {
            break;
        }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::erase(this->sockets, socket);
    ::close(socket);
}

bool isFree(const std::string &host, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(host, port);
    const bool isBound = ::bind(socket, generic(address), sizeof(address)) == 0;
    ::close(socket);
    return isBound;
}

} // namespace review
