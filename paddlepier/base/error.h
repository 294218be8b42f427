// Exception types.
//
// Every exception that paddlepier throws derives from Error and carries a wire::ErrorCode, so that it can be sent to another process and
// rethrown there as the same type. The message is for people; programs evaluate the code.
//
// Example:
//     throw UnknownJobError(absl::StrCat("no job ", name));
//     catch (const Error &error) { reply(error.code(), error.what()); }
//
// Thread safety: values without shared state.

#ifndef PADDLEPIER_BASE_ERROR_H
#define PADDLEPIER_BASE_ERROR_H

#include "paddlepier/wire/api_generated.h"

#include <stdexcept>
#include <string>

namespace paddlepier
{

using wire::ErrorCode;

/** Base class of all exceptions of this project. */
class Error : public std::runtime_error
{
public:
    Error(ErrorCode code, const std::string &message);

    ErrorCode code() const
    {
        return this->errorCode;
    }

private:
    ErrorCode errorCode;
};

/** Exception type of one ErrorCode; use the aliases below. */
template<ErrorCode Code>
class TypedError : public Error
{
public:
    explicit TypedError(const std::string &message)
        : Error(Code, message)
    {
    }
};

using MalformedBodyError = TypedError<ErrorCode::MalformedBody>;
using UnknownRouteError = TypedError<ErrorCode::UnknownRoute>;
using UnauthenticatedError = TypedError<ErrorCode::Unauthenticated>;
using ForbiddenError = TypedError<ErrorCode::Forbidden>;
using InvalidArgumentError = TypedError<ErrorCode::InvalidArgument>;
using InvalidSettingsError = TypedError<ErrorCode::InvalidSettings>;
using UnknownJobError = TypedError<ErrorCode::UnknownJob>;
using UnknownWorkerError = TypedError<ErrorCode::UnknownWorker>;
using StaleAnnouncementError = TypedError<ErrorCode::StaleAnnouncement>;
using WrongDataCentreError = TypedError<ErrorCode::WrongDataCentre>;
using DataCentreUnreachableError = TypedError<ErrorCode::DataCentreUnreachable>;
using ConflictError = TypedError<ErrorCode::Conflict>;
using CorruptLogError = TypedError<ErrorCode::CorruptLog>;
using ForeignDataFolderError = TypedError<ErrorCode::ForeignDataFolder>;
using StorageFailureError = TypedError<ErrorCode::StorageFailure>;
using PeerRefusedError = TypedError<ErrorCode::PeerRefused>;
using FrameTooLargeError = TypedError<ErrorCode::FrameTooLarge>;
using InfeasibleError = TypedError<ErrorCode::Infeasible>;
using UsageError = TypedError<ErrorCode::Usage>;
using InternalError = TypedError<ErrorCode::Internal>;

/** HTTP status of a response with @p code. */
int httpStatus(ErrorCode code);

/** Name of @p code as used in responses and logs. */
const char *nameOf(ErrorCode code);

} // namespace paddlepier

#endif
