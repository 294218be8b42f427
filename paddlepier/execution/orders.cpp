// Names of the kinds of answers, and the check for polls without changes.

#include "paddlepier/execution/orders.h"

#include <algorithm>
#include <array>

namespace paddlepier::execution
{

const char *nameOf(AnswerKind kind)
{
    static constexpr std::array<const char *, 11> names{
        "accepted", "fenced", "old-run", "lease-over", "no-room", "bad-ticket", "unhealthy", "invalid", "other-life", "no-answer", "not-sent"};
    return names.at(static_cast<std::size_t>(kind));
}

const char *nameOf(CallEnd end)
{
    static constexpr std::array<const char *, 7> names{
        "unknown", "answered", "not-connected", "not-sent", "connection-refused", "connection-closed", "timed-out"};
    return names.at(static_cast<std::size_t>(end));
}

bool reportsNoChange(const WorkerCall &call, const PollOrder &order, const WorkerAnswer &answer)
{
    const bool isSameIncarnation = answer.born == 0 || answer.born == call.worker.born;
    const auto isKnown = [&order](const ListedEnd &end) { return end.sequence <= order.lastSequence; };
    return answer.kind == AnswerKind::Accepted && isSameIncarnation && answer.running.empty() && std::all_of(answer.ended.begin(), answer.ended.end(), isKnown);
}

} // namespace paddlepier::execution
