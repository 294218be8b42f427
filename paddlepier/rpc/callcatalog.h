// The calls that paddlepier answers, read from the schema itself.
//
// Routes, types and the JSON form of every call come from the schema's reflection data, so that a call added to the
// schema file has its route and its checked JSON body without further code.
//
// Example:
//     const CallInfo *call = CallCatalog::instance().findRoute("/v1/JobService/Submit");
//     const std::string request = CallCatalog::instance().requestFromJson(*call, body);
//
// Guarantee: bytes that come out of requestFromJson() or checkRequest() are a valid table of the call's request type.
// Thread safety: all methods may be called from any thread; each thread keeps a parser of its own.

#ifndef PADDLEPIER_RPC_CALLCATALOG_H
#define PADDLEPIER_RPC_CALLCATALOG_H

#include "paddlepier/wire/api_generated.h"

#include <string>
#include <string_view>
#include <vector>

namespace paddlepier::rpc
{

/** Every call of the schema. */
enum class Method { Submit, List, Explain, Cancel, Status, Drain, Announce, Change, ShowStatus, DealShares, Begin, Finish, Fetch };

struct CallInfo {
    Method method;
    /** `Service/Method` as in the schema. */
    std::string name;
    std::string requestType;
    std::string replyType;
    /** Served over HTTP, not only between entry instances. */
    bool isPublic = false;
    /** The least that a token must permit. */
    wire::Role role = wire::Role::None;
};

class CallCatalog
{
public:
    static const CallCatalog &instance();

    /** Null if @p path is not the route of a public call. */
    const CallInfo *findRoute(std::string_view path) const;
    /** Null if the schema has no such call. */
    const CallInfo *findName(std::string_view name) const;
    const CallInfo &info(Method method) const;
    const std::vector<CallInfo> &calls() const;

    /** @throws MalformedBodyError naming what is wrong in @p json */
    std::string requestFromJson(const CallInfo &call, std::string_view json) const;
    std::string replyFromJson(const CallInfo &call, std::string_view json) const;
    std::string requestToJson(const CallInfo &call, std::string_view bytes) const;
    std::string replyToJson(const CallInfo &call, std::string_view bytes) const;

private:
    CallCatalog();

    std::vector<CallInfo> callList;
};

/** JSON body of an error answer. */
std::string errorJson(wire::ErrorCode code, std::string_view message);

/** Reads the JSON body of an error answer. @throws MalformedBodyError if it isn't one */
wire::ErrorReplyT errorFromJson(std::string_view json);

} // namespace paddlepier::rpc

#endif
