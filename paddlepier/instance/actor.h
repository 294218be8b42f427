// The authenticated caller of a call, and the result of a call.
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

/** The partner and role that a token authenticates. */
struct Actor {
    std::string partner;
    wire::Role role = wire::Role::None;

    bool isAdministrator() const
    {
        return this->role == wire::Role::Administrator;
    }

    /** True if this actor may read and change the objects of partner @p owner. */
    bool mayActFor(const std::string &owner) const
    {
        return this->isAdministrator() || this->partner == owner;
    }
};

/**
 * True if a token of role @p held may make a call that requires role @p required. An administrator may make every call, an
 * operator also those of a viewer.
 */
inline bool permits(wire::Role held, wire::Role required)
{
    if (held == wire::Role::Administrator || held == required || required == wire::Role::None) {
        return true;
    }
    return held == wire::Role::Operator && required == wire::Role::Viewer;
}

struct CallResult {
    ErrorCode error = ErrorCode::None;
    std::string message;
    /** With `NotLeader`: the current leader's instance, or empty if the replica doesn't know it. */
    std::string leader;
    /** The serialized reply table; empty on failure. */
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

using CallCallback = std::function<void(const CallResult &)>;

} // namespace paddlepier::instance

#endif
