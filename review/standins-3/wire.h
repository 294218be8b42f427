// HTTP/1.1 with JSON bodies on loopback, as PROTOCOL.md describes it: a blocking client, and a server with a thread for each connection.
//
// Thread safety: all functions and methods from any thread.

#ifndef PADDLEPIER_REVIEW_STANDINS_3_WIRE_H
#define PADDLEPIER_REVIEW_STANDINS_3_WIRE_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using Headers = std::map<std::string, std::string>;

struct Message {
    std::string method;
    std::string path;
    /** By names in lower case. */
    Headers headers;
    std::string body;
};

struct Answer {
    /** 0 if no complete answer arrived in time. */
    int status = 0;
    std::string body;
};

/** Sends one request over a new connection. */
Answer call(const std::string &host, std::uint16_t port, const Message &request, int timeoutMillis);

class Server
{
public:
    /** An answer with status 0 isn't sent. */
    using Handler = std::function<Answer(const Message &)>;

    Server(const std::string &host, std::uint16_t port, Handler requestHandler);
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Closes all connections and the listener. */
    void stop();

private:
    void accept();
    void serve(int socket);

    const Handler handler;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<int> sockets;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/** True if @p port is free for listening on @p host. */
bool isFree(const std::string &host, std::uint16_t port);

} // namespace review

#endif
