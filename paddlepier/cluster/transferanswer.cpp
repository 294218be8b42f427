// Answers of calls to workers that got no complete response.

#include "paddlepier/cluster/transferanswer.h"

#include "paddlepier/base/log.h"

namespace paddlepier::cluster
{

namespace
{

execution::CallEnd callEndOf(http::TransferEnd end)
{
    switch (end) {
    case http::TransferEnd::Answered:
        return execution::CallEnd::Answered;
    case http::TransferEnd::NotConnected:
        return execution::CallEnd::NotConnected;
    case http::TransferEnd::NotSent:
        return execution::CallEnd::NotSent;
    case http::TransferEnd::ConnectionRefused:
        return execution::CallEnd::ConnectionRefused;
    case http::TransferEnd::ConnectionClosed:
        return execution::CallEnd::ConnectionClosed;
    case http::TransferEnd::TimedOut:
        break;
    }
    return execution::CallEnd::TimedOut;
}

} // namespace

execution::WorkerAnswer incompleteAnswer(const workload::Incarnation &worker, const http::TransferResult &result)
{
    if (result.end == http::TransferEnd::ConnectionRefused) {
        log::info("cluster", "worker.connection-refused", {{"worker", worker.text()}, {"openConnections", result.openConnections}, {"problem", result.error}});
    }
    execution::WorkerAnswer answer;
    answer.kind = result.nothingSent ? execution::AnswerKind::NotSent : execution::AnswerKind::NoAnswer;
    answer.end = callEndOf(result.end);
    return answer;
}

} // namespace paddlepier::cluster
