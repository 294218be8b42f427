// Names of answers.

#include "paddlepier/execution/orders.h"

#include <array>

namespace paddlepier::execution
{

const char *nameOf(AnswerKind kind)
{
    static constexpr std::array<const char *, 11> names{
        "accepted", "fenced", "old-run", "lease-over", "no-room", "bad-ticket", "unhealthy", "invalid", "other-life", "no-answer", "not-sent"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace paddlepier::execution
