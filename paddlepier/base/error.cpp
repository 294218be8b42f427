// HTTP statuses and names of error codes.

#include "paddlepier/base/error.h"

namespace paddlepier
{

Error::Error(ErrorCode code, const std::string &message)
    : std::runtime_error(message)
    , errorCode(code)
{
}

int httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::None:
        return 200;
    case ErrorCode::MalformedBody:
    case ErrorCode::InvalidArgument:
    case ErrorCode::InvalidSettings:
    case ErrorCode::Usage:
    case ErrorCode::Infeasible:
        return 400;
    case ErrorCode::Unauthenticated:
        return 401;
    case ErrorCode::Forbidden:
    case ErrorCode::PeerRefused:
    case ErrorCode::QuotaExceeded:
        return 403;
    case ErrorCode::UnknownRoute:
    case ErrorCode::UnknownJob:
    case ErrorCode::UnknownWorker:
        return 404;
    case ErrorCode::MethodNotAllowed:
        return 405;
    case ErrorCode::StaleAnnouncement:
    case ErrorCode::Conflict:
    case ErrorCode::KeyReused:
        return 409;
    case ErrorCode::BodyTooLarge:
    case ErrorCode::FrameTooLarge:
        return 413;
    case ErrorCode::WrongDataCentre:
        return 421;
    case ErrorCode::NotLeader:
    case ErrorCode::DataCentreUnreachable:
    case ErrorCode::Overloaded:
    case ErrorCode::ShuttingDown:
        return 503;
    case ErrorCode::Timeout:
        return 504;
    case ErrorCode::CorruptLog:
    case ErrorCode::ForeignDataFolder:
    case ErrorCode::StorageFailure:
    case ErrorCode::Internal:
        return 500;
    }
    return 500;
}

const char *nameOf(ErrorCode code)
{
    return wire::EnumNameErrorCode(code);
}

} // namespace paddlepier
