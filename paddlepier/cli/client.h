// Client through which the command line calls an entry instance.
//
// Example:
//     const Client client("127.0.0.1:8100", token);
//     const auto reply = client.call<wire::StatusReplyT>(rpc::Method::Status, request);
//
// Thread safety: immutable after construction; a call blocks its thread until it completes or its timeout has passed.

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
     * Makes a call and waits for its completion.
     *
     * @return the serialized reply table
     * @throws Error with the code that the instance answered, or DataCentreUnreachableError if the instance didn't answer
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
