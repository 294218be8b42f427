// Append messages that a leader has sent to one follower and that aren't answered yet.

#include "paddlepier/consensus/appendwindow.h"

namespace paddlepier::consensus
{

void AppendWindow::recordSent(std::int64_t sentAtMicros)
{
    if (this->batches.empty() || this->batches.back().sentAtMicros < sentAtMicros) {
        this->batches.push_back({sentAtMicros, 0});
    }
    ++this->batches.back().count;
    ++this->total;
}

void AppendWindow::recordAnswer(std::int64_t sentAtMicros)
{
    while (!this->batches.empty() && this->batches.front().sentAtMicros < sentAtMicros) {
        this->total -= this->batches.front().count;
        this->batches.pop_front();
    }
    if (this->batches.empty() || this->batches.front().sentAtMicros != sentAtMicros) {
        return;
    }
    --this->total;
    if (--this->batches.front().count == 0) {
        this->batches.pop_front();
    }
}

void AppendWindow::clear()
{
    this->batches.clear();
    this->total = 0;
}

std::size_t AppendWindow::size() const
{
    return this->total;
}

} // namespace paddlepier::consensus
