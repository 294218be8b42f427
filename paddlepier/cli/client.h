// Calls of the command line to an entry instance.
//
// Example:
//     const Client client("127.0.0.1:8100", token);
//     const auto reply = client.call<wire::StatusReplyT>(rpc::Method::Status, request);
//
// Thread safety: a const value after construction.

#ifndef PADDLEPIER_CLI_CLIENT_H
#define PADDLEPIER_CLI_CLIENT_H

#include "paddlepier/rpc/callcatalog.h"
#include "paddlepier/wire/codec.h"

#include <string>

namespace paddlepier::cli
{

class Client
{
public:
    /** @param server `address:port` of an entry instance or of the balancer */
    Client(std::string server, std::string token);

    /**
     * Makes a call and waits for its end.
     *
     * @return bytes of the reply table
     * @throws the typed Error that the instance answered with, or DataCentreUnreachableError if it can't be reached
     */
    std::string callBytes(rpc::Method method, const std::string &request) const;

    template<typename Reply, typename Request>
    Reply call(rpc::Method method, const Request &request) const
    {
        return wire::unpack<Reply>(this->callBytes(method, wire::pack(request)));
    }

private:
    const std::string server;
    const std::string token;
};

} // namespace paddlepier::cli

#endif
