// Catalog of paddlepier's calls, read from the schema.
//
// Routes, types and the JSON form of every call come from the schema's reflection data, so that a call added to the
// schema file gets its route and its validated JSON body from there.
//
// Example:
//     const CallInfo *call = CallCatalog::instance().findRoute("/v1/JobService/Submit");
//     const std::string request = CallCatalog::instance().requestFromJson(*call, body);
//
// Guarantee: requestFromJson() returns a valid table of the call's request type.
// Thread safety: all methods may be called from any thread; each thread has its own parser.

#ifndef PADDLEPIER_RPC_CALLCATALOG_H
#define PADDLEPIER_RPC_CALLCATALOG_H

#include "paddlepier/wire/api_generated.h"

#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::rpc
{

/** The calls of the schema. */
enum class Method { Submit, List, Explain, Cancel, Status, Drain, Announce, Change, ShowStatus, DealShares, Begin, Finish, Fetch };

struct CallInfo {
    Method method;
    /** `Service/Method` as in the schema. */
    std::string name;
    std::string requestType;
    std::string replyType;
    /** Served over HTTP as well as between entry instances. */
    bool isPublic = false;
    /** The minimum role that a token must have. */
    wire::Role role = wire::Role::None;
};

class CallCatalog
{
public:
    static const CallCatalog &instance();

    /** @return null if @p path isn't the route of a public call */
    const CallInfo *findRoute(std::string_view path) const;
    /** @return null if the schema has no such call */
    const CallInfo *findName(std::string_view name) const;
    const CallInfo &info(Method method) const;
    const std::vector<CallInfo> &calls() const;

    /** @throws MalformedBodyError naming the fault in @p json */
    std::string requestFromJson(const CallInfo &call, std::string_view json) const;
    std::string replyFromJson(const CallInfo &call, std::string_view json) const;
    std::string requestToJson(const CallInfo &call, std::string_view bytes) const;
    std::string replyToJson(const CallInfo &call, std::string_view bytes) const;

private:
    CallCatalog();

    std::vector<CallInfo> callList;
};

/** Builds the JSON body of an error response. */
std::string errorJson(wire::ErrorCode code, std::string_view message);

/** Parses the JSON body of an error response. @throws MalformedBodyError if it isn't one */
wire::ErrorReplyT errorFromJson(std::string_view json);

} // namespace paddlepier::rpc

#endif
