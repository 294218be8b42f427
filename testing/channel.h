// An HTTP/1.1 connection of a caller that stays open until the server closes it, and that reports exactly how each call
// ended. An HTTP library would hide this: it reconnects silently when a connection breaks.
//
// Thread safety: none; one thread, one call at a time.

#ifndef PADDLEPIER_TESTING_CHANNEL_H
#define PADDLEPIER_TESTING_CHANNEL_H

#include "paddlepier/base/clock.h"
#include "paddlepier/http/httpserver.h"
#include "paddlepier/settings/settings.h"

#include <string>

namespace paddlepier::testing
{

enum class Ending {
    Answered,
    /** Nothing was sent. */
    NotConnected,
    /** The connection ended before the answer was complete. */
    Broken,
    TimedOut
};

struct Reply {
    Ending ending = Ending::NotConnected;
    int status = 0;
    std::string body;
    /** When the last byte of the request had been sent. */
    Timestamp sentAt;
    Timestamp endedAt;
};

class Channel
{
public:
    /** @param headers sent with each call, including `Host` */
    Channel(Endpoint server, http::Headers headers);
    ~Channel();

    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    Reply call(const std::string &method, const std::string &path, const std::string &body, Duration timeout);

private:
    bool open();
    void close();
    Ending exchange(const std::string &request, Timestamp end, Reply &reply);
    bool waitFor(short events, Timestamp end) const;

    const Endpoint endpoint;
    const http::Headers headers;
    int socket = -1;
};

} // namespace paddlepier::testing

#endif
