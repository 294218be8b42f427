// What a case has sent, received and run, a line for each event with the seconds since its beginning.
//
// Thread safety: write() from any thread.

#ifndef PADDLEPIER_REVIEW_STANDINS_3_RECORD_H
#define PADDLEPIER_REVIEW_STANDINS_3_RECORD_H

#include <chrono>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <sstream>
#include <string>

namespace review
{

class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
    {
    }

    double seconds() const
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - this->begin).count();
    }

    /** @return the time of the line */
    double write(const std::string &event)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const double now = this->seconds();
        std::ostringstream line;
        line << std::fixed << std::setprecision(3) << std::setw(8) << now << "  " << event << "\n";
        this->file << line.str() << std::flush;
        return now;
    }

private:
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    std::mutex mutex;
    std::ofstream file;
};

} // namespace review

#endif
