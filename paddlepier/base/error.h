// Typed failures.
//
// Every failure that paddlepier raises is a class below Error and carries a wire::ErrorCode, so that it can cross a
// process boundary and come back as the same class of failure. The text is for people; programs look at the code.
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

/** Base of every failure of this project. */
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

/** One class for each ErrorCode; the aliases below are the names to use. */
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

/** HTTP status with which @p code is answered. */
int httpStatus(ErrorCode code);

/** Name of @p code as it stands in answers and logs. */
const char *nameOf(ErrorCode code);

} // namespace paddlepier

#endif
