// Catalog of paddlepier's calls, read from the schema.

#include "paddlepier/rpc/callcatalog.h"

#include "paddlepier/base/error.h"
#include "paddlepier/base/log.h"
#include "paddlepier/wire/api_bfbs_generated.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <flatbuffers/idl.h>

#include <algorithm>
#include <array>

namespace paddlepier::rpc
{

namespace
{

constexpr std::string_view routePrefix = "/v1/";

struct MethodRow {
    std::string_view name;
    Method method;
    bool isPublic;
    wire::Role role;
};

constexpr std::array<MethodRow, 13> methodTable{{
    {"JobService/Submit", Method::Submit, true, wire::Role::Operator},
    {"JobService/List", Method::List, true, wire::Role::Viewer},
    {"JobService/Explain", Method::Explain, true, wire::Role::Viewer},
    {"JobService/Cancel", Method::Cancel, true, wire::Role::Operator},
    {"OperatorService/Status", Method::Status, true, wire::Role::Viewer},
    {"OperatorService/Drain", Method::Drain, true, wire::Role::Operator},
    {"WorkerService/Announce", Method::Announce, true, wire::Role::Worker},
    {"ConfigurationService/Change", Method::Change, true, wire::Role::Administrator},
    {"ConfigurationService/ShowStatus", Method::ShowStatus, true, wire::Role::Viewer},
    {"InstanceService/DealShares", Method::DealShares, false, wire::Role::None},
    {"InstanceService/Begin", Method::Begin, false, wire::Role::None},
    {"InstanceService/Finish", Method::Finish, false, wire::Role::None},
    {"InstanceService/Fetch", Method::Fetch, false, wire::Role::None},
}};

std::unique_ptr<flatbuffers::Parser> makeParser()
{
    flatbuffers::IDLOptions options;
    options.strict_json = true;
    options.output_default_scalars_in_json = true;
    options.indent_step = -1;
    auto parser = std::make_unique<flatbuffers::Parser>(options);
    if (!parser->Deserialize(wire::ErrorReplyBinarySchema::data(), wire::ErrorReplyBinarySchema::size())) {
        throw InternalError("the embedded schema can't be parsed");
    }
    return parser;
}

flatbuffers::Parser &threadParser()
{
    thread_local const std::unique_ptr<flatbuffers::Parser> parser = makeParser();
    return *parser;
}

std::string fromJson(const std::string &type, std::string_view json)
{
    if (json.find('\0') != std::string_view::npos) {
        throw MalformedBodyError("the JSON body contains a null byte");
    }
    flatbuffers::Parser &parser = threadParser();
    parser.SetRootType(type.c_str());
    if (!parser.ParseJson(std::string(json).c_str())) {
        throw MalformedBodyError(std::string(absl::StripAsciiWhitespace(parser.error_)));
    }
    return {reinterpret_cast<const char *>(parser.builder_.GetBufferPointer()), parser.builder_.GetSize()};
}

std::string toJson(const std::string &type, std::string_view bytes)
{
    flatbuffers::Parser &parser = threadParser();
    parser.SetRootType(type.c_str());
    std::string json;
    if (!flatbuffers::GenerateText(parser, bytes.data(), &json)) {
        throw MalformedBodyError(absl::StrCat("text of ", type, " is not valid UTF-8"));
    }
    return json;
}

} // namespace

CallCatalog::CallCatalog()
{
    const flatbuffers::Parser &parser = threadParser();
    for (const flatbuffers::ServiceDef *service : parser.services_.vec) {
        for (const flatbuffers::RPCCall *call : service->calls.vec) {
            const std::string name = absl::StrCat(service->name, "/", call->name);
            const auto row = std::find_if(methodTable.begin(), methodTable.end(), [&name](const MethodRow &known) { return known.name == name; });
            if (row == methodTable.end()) {
                throw InternalError(absl::StrCat("the method table has no entry for ", name));
            }
            CallInfo info;
            info.method = row->method;
            info.name = name;
            info.requestType = call->request->defined_namespace->GetFullyQualifiedName(call->request->name);
            info.replyType = call->response->defined_namespace->GetFullyQualifiedName(call->response->name);
            info.isPublic = row->isPublic;
            info.role = row->role;
            this->callList.push_back(std::move(info));
        }
    }
}

const CallCatalog &CallCatalog::instance()
{
    static const CallCatalog catalog;
    return catalog;
}

const CallInfo *CallCatalog::findName(std::string_view name) const
{
    const auto found = std::find_if(this->callList.begin(), this->callList.end(), [name](const CallInfo &call) { return call.name == name; });
    return found == this->callList.end() ? nullptr : &*found;
}

const CallInfo *CallCatalog::findRoute(std::string_view path) const
{
    if (path.substr(0, routePrefix.size()) != routePrefix) {
        return nullptr;
    }
    const CallInfo *call = this->findName(path.substr(routePrefix.size()));
    return call != nullptr && call->isPublic ? call : nullptr;
}

const CallInfo &CallCatalog::info(Method method) const
{
    return *std::find_if(this->callList.begin(), this->callList.end(), [method](const CallInfo &call) { return call.method == method; });
}

const std::vector<CallInfo> &CallCatalog::calls() const
{
    return this->callList;
}

std::string CallCatalog::requestFromJson(const CallInfo &call, std::string_view json) const
{
    return fromJson(call.requestType, json);
}

std::string CallCatalog::replyFromJson(const CallInfo &call, std::string_view json) const
{
    return fromJson(call.replyType, json);
}

std::string CallCatalog::requestToJson(const CallInfo &call, std::string_view bytes) const
{
    return toJson(call.requestType, bytes);
}

std::string CallCatalog::replyToJson(const CallInfo &call, std::string_view bytes) const
{
    return toJson(call.replyType, bytes);
}

std::string errorJson(wire::ErrorCode code, std::string_view message)
{
    return absl::StrCat("{\"error\":\"", nameOf(code), "\",\"message\":", log::jsonString(message), "}");
}

wire::ErrorReplyT errorFromJson(std::string_view json)
{
    return wire::unpack<wire::ErrorReplyT>(fromJson(wire::ErrorReply::GetFullyQualifiedName(), json));
}

} // namespace paddlepier::rpc
