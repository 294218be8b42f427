// Writes text to a descriptor from a thread of its own.

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

/** Lines gather for this long before they are written together: a wake-up costs more than a line. */
constexpr Duration gatherTime = absl::Milliseconds(20);

/** Longest wait of a destructor for the rest to be written. */
constexpr Duration closePatience = absl::Milliseconds(200);

/** Whole lines of @p text, as many as a pipe takes in one piece, so that a reader doesn't find them mixed or cut. */
std::string_view nextPiece(std::string_view text)
{
    const std::string_view most = text.substr(0, PIPE_BUF);
    const std::size_t lineEnd = most.rfind('\n');
    return lineEnd == std::string_view::npos ? most : most.substr(0, lineEnd + 1);
}

/** @return false if the descriptor takes no more */
bool writeWhole(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const std::string_view piece = nextPiece(text);
        const ssize_t written = ::write(descriptor, piece.data(), piece.size());
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
    std::size_t mostBytes = 0;
    absl::Mutex mutex;
    std::string waiting ABSL_GUARDED_BY(mutex);
    std::int64_t dropped ABSL_GUARDED_BY(mutex) = 0;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    bool finished ABSL_GUARDED_BY(mutex) = false;
};

BoundedWriter::BoundedWriter(int descriptor, std::size_t mostBytes)
    : state(std::make_shared<State>())
{
    this->state->descriptor = descriptor;
    this->state->mostBytes = mostBytes;
    // Signals are for the threads that wait for them.
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    std::thread([shared = this->state] { run(shared); }).detach();
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

BoundedWriter::~BoundedWriter()
{
    this->stop(closePatience);
}

bool BoundedWriter::post(std::string_view text)
{
    const absl::MutexLock lock(&this->state->mutex);
    if (this->state->stopping || this->state->waiting.size() + text.size() > this->state->mostBytes) {
        ++this->state->dropped;
        return false;
    }
    this->state->waiting += text;
    return true;
}

std::int64_t BoundedWriter::drainDroppedCount()
{
    const absl::MutexLock lock(&this->state->mutex);
    return std::exchange(this->state->dropped, 0);
}

void BoundedWriter::stop(Duration patience)
{
    const absl::MutexLock lock(&this->state->mutex);
    this->state->stopping = true;
    this->state->mutex.AwaitWithTimeout(absl::Condition(&this->state->finished), patience);
}

void BoundedWriter::run(const std::shared_ptr<State> &state)
{
    const auto hasWork = [](State *shared) { return !shared->waiting.empty() || shared->stopping; };
    while (true) {
        std::string text;
        bool isLast = false;
        {
            const absl::MutexLock lock(&state->mutex);
            state->mutex.Await(absl::Condition(+hasWork, state.get()));
            state->mutex.AwaitWithTimeout(absl::Condition(&state->stopping), gatherTime);
            text.swap(state->waiting);
            isLast = state->stopping;
        }
        const bool isOpen = writeWhole(state->descriptor, text);
        if (isLast || !isOpen) {
            const absl::MutexLock lock(&state->mutex);
            state->stopping = true;
            state->finished = true;
            return;
        }
    }
}

} // namespace paddlepier
