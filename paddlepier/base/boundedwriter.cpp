// Writes text to a file descriptor from a dedicated thread.

#include "paddlepier/base/boundedwriter.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string>
#include <thread>

namespace paddlepier
{

namespace
{

/** Lines are collected for this long and written together, since waking the thread costs more than writing a line. */
constexpr Duration batchTime = absl::Milliseconds(20);

/** Maximum time for which the destructor waits for buffered text to be written. */
constexpr Duration closeTimeout = absl::Milliseconds(200);

/** The leading complete lines of @p text that fit into PIPE_BUF: a pipe takes them atomically, so that a reader sees no mixed or cut lines. */
std::string_view nextChunk(std::string_view text)
{
    const std::string_view limited = text.substr(0, PIPE_BUF);
    const std::size_t lineEnd = limited.rfind('\n');
    return lineEnd == std::string_view::npos ? limited : limited.substr(0, lineEnd + 1);
}

/** @return false if the descriptor refuses further writes */
bool writeAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const std::string_view chunk = nextChunk(text);
        const ssize_t written = ::write(descriptor, chunk.data(), chunk.size());
        if (written < 0 && errno != EINTR) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(written, 0)));
    }
    return true;
}

} // namespace

struct BoundedWriter::State {
    int descriptor = -1;
    std::size_t maxBytes = 0;
    absl::Mutex mutex;
    std::string pending ABSL_GUARDED_BY(mutex);
    std::int64_t dropped ABSL_GUARDED_BY(mutex) = 0;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool finished ABSL_GUARDED_BY(mutex) = false;
};

BoundedWriter::BoundedWriter(int descriptor, std::size_t maxBytes)
    : state(std::make_shared<State>())
{
    this->state->descriptor = descriptor;
    this->state->maxBytes = maxBytes;
    // The writer inherits a full signal mask: signals are delivered to the threads that wait for them.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    std::thread([shared = this->state] { run(shared); }).detach();
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

BoundedWriter::~BoundedWriter()
{
    this->stop(closeTimeout);
}

bool BoundedWriter::post(std::string_view text)
{
    const absl::MutexLock lock(&this->state->mutex);
    if (this->state->stopping || this->state->pending.size() + text.size() > this->state->maxBytes) {
        ++this->state->dropped;
        return false;
    }
    this->state->pending += text;
    return true;
}

std::int64_t BoundedWriter::drainDroppedCount()
{
    const absl::MutexLock lock(&this->state->mutex);
    return std::exchange(this->state->dropped, 0);
}

void BoundedWriter::stop(Duration timeout)
{
    const absl::MutexLock lock(&this->state->mutex);
    this->state->stopping = true;
    this->state->mutex.AwaitWithTimeout(absl::Condition(&this->state->finished), timeout);
}

void BoundedWriter::run(const std::shared_ptr<State> &state)
{
    const auto hasWork = [](State *shared) { return !shared->pending.empty() || shared->stopping; };
    while (true) {
        std::string text;
        bool isLast = false;
        {
            const absl::MutexLock lock(&state->mutex);
            state->mutex.Await(absl::Condition(+hasWork, state.get()));
            state->mutex.AwaitWithTimeout(absl::Condition(&state->stopping), batchTime);
            text.swap(state->pending);
            isLast = state->stopping;
        }
        const bool isOpen = writeAll(state->descriptor, text);
        if (isLast || !isOpen) {
            const absl::MutexLock lock(&state->mutex);
            state->stopping = true;
            state->finished = true;
            return;
        }
    }
}

} // namespace paddlepier
