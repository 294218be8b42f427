// Who makes a call, and how a call ends.
//
// Thread safety: plain values.

#ifndef PADDLEPIER_INSTANCE_ACTOR_H
#define PADDLEPIER_INSTANCE_ACTOR_H

#include "paddlepier/base/error.h"
#include "paddlepier/wire/api_generated.h"

#include <functional>
#include <string>

namespace paddlepier::instance
{

/** The partner and role that a token stands for. */
struct Actor {
    std::string partner;
    wire::Role role = wire::Role::None;

    bool isAdministrator() const
    {
        return this->role == wire::Role::Administrator;
    }

    /** True if this actor may see and change what belongs to @p owner. */
    bool mayActFor(const std::string &owner) const
    {
        return this->isAdministrator() || this->partner == owner;
    }
};

/** True if a token with @p held may make a call that needs @p needed. */
inline bool permits(wire::Role held, wire::Role needed)
{
    if (held == wire::Role::Administrator || held == needed || needed == wire::Role::None) {
        return true;
    }
    return held == wire::Role::Operator && needed == wire::Role::Viewer;
}

struct CallResult {
    ErrorCode error = ErrorCode::None;
    std::string message;
    /** Instance that leads, if the call came to another one and it is known. */
    std::string leader;
    /** Bytes of the reply table. */
    std::string body;

    static CallResult failure(ErrorCode code, const std::string &message)
    {
        return {code, message, "", ""};
    }

    static CallResult success(std::string body)
    {
        return {ErrorCode::None, "", "", std::move(body)};
    }
};

using CallDone = std::function<void(const CallResult &)>;

} // namespace paddlepier::instance

#endif
