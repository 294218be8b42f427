// Program: soak test of the real processes under injected faults, one seed after the other.
//
//     soak --programs build --seed 7              # one seed
//     soak --programs build --count 10            # ten new seeds
//     soak --programs build --list testing/soak/seeds.txt

#include "paddlepier/base/error.h"
#include "paddlepier/base/log.h"
#include "testing/soak/traffic.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <signal.h>
#include <stdlib.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <sstream>

namespace paddlepier::testing::soak
{

namespace
{

constexpr Duration tick = absl::Milliseconds(10);

/** A step of the soak that takes longer than this is logged. */
constexpr Duration longStep = absl::Milliseconds(300);

/** `recovery_s` of the platform's settings. */
constexpr Duration recoveryTime = absl::Seconds(12);

/** Timeout for the first group to bootstrap and to accept its first configuration. */
constexpr Duration startTimeout = absl::Seconds(20);

/**
 * Timeout for all accepted jobs to reach their expected state after the faults: covers the longest lease (10 s), the time
 * until a new machine may get work (4 s), and the longest chains of tasks, each of which may fail twice.
 */
constexpr Duration settleTimeout = absl::Seconds(40);

/** Time without faults after the first phase of a seed with series, counted from the first accepted job. */
constexpr Duration calmTime = absl::Seconds(2);

/** Runs one seed: its processes, calls and faults. */
class Run
{
public:
    Run(std::uint64_t seed, const Sizes &sizes, const std::string &folder, const std::string &programs)
        : series(planSeries(seed, sizes))
        , replacements(planReplacements(seed, sizes))
        , faults(planFaults(seed, sizes))
        , log(folder + "/soak.log")
        , cell(sizes, seed, folder, programs, this->checker)
        , traffic(this->cell, sizes, seed, this->checker)
    {
    }

    std::vector<std::string> run()
    {
        if (!this->traffic.configure(startTimeout)) {
            this->checker.violation("the first configuration was not acknowledged");
            return this->violations();
        }
        this->traffic.start();
        if (!this->series.empty()) {
            this->inject(this->series);
            this->checkCalm();
        }
        if (!this->replacements.empty()) {
            this->inject(this->replacements);
            this->checkAccepted("the replacements");
        }
        this->inject(this->faults);
        this->writeLog("heal");
        this->cell.heal();
        this->healedAt = controlNow();
        std::future<void> acceptance = std::async(std::launch::async, [this] { this->checkAccepted("the faults"); });
        this->traffic.stop();
        this->settle(acceptance);
        return this->violations();
    }

    std::string summary()
    {
        return absl::StrCat(this->series.size() + this->replacements.size() + this->faults.size(),
                            " faults, ",
                            this->checker.summary(),
                            ", settled after ",
                            absl::FormatDuration(this->settleTime));
    }

private:
    void writeLog(const std::string &text)
    {
        this->log << absl::FormatTime("%H:%M:%E3S", absl::Now(), absl::UTCTimeZone()) << " " << text << std::endl;
    }

    void inject(const std::vector<Fault> &injected)
    {
        const Timestamp start = controlNow();
        std::multimap<Duration, std::pair<const Fault *, bool>> moments;
        for (const Fault &fault : injected) {
            moments.emplace(fault.at, std::pair(&fault, true));
            moments.emplace(fault.at + fault.length, std::pair(&fault, false));
        }
        for (const auto &[at, moment] : moments) {
            this->superviseUntil(start + at);
            const auto &[fault, isBegin] = moment;
            this->writeLog(absl::StrCat(isBegin ? "begin " : "end ", fault->text()));
            if (!isPlanned(fault->kind)) {
                this->checker.markFaultsStarted();
            }
            isBegin ? this->cell.begin(*fault) : this->cell.end(*fault);
            this->logLongStep("that took");
        }
    }

    void checkCalm()
    {
        this->writeLog("calm");
        std::future<void> calls = std::async(std::launch::async, [this] {
            this->checkAccepted("the series");
            this->traffic.submitInCalm(calmTime);
        });
        this->superviseUntilReady(calls);
    }

    /** RECOVER: a leader commits, and doesn't only answer reads. */
    void checkAccepted(const std::string &after)
    {
        const std::optional<Duration> time = this->traffic.submitUntilAccepted(recoveryTime);
        if (!time) {
            this->checker.violation(absl::StrCat("RECOVER: no job is accepted within ", absl::FormatDuration(recoveryTime), " after ", after));
        }
    }

    static bool isReady(const std::future<void> &calls)
    {
        return !calls.valid() || calls.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }

    void superviseUntilReady(std::future<void> &calls)
    {
        while (!isReady(calls)) {
            this->superviseUntil(controlNow() + tick);
        }
        calls.get();
    }

    /** Logs delays of the soak itself, which would otherwise look like late reactions of the processes. */
    void logLongStep(const std::string &what)
    {
        const Duration since = controlNow() - this->lastStepAt;
        if (since > longStep) {
            this->writeLog(absl::StrCat("the soak was held up: ", what, " ", absl::FormatDuration(since)));
        }
        this->lastStepAt = controlNow();
    }

    void superviseUntil(Timestamp end)
    {
        do {
            this->logLongStep("a wait took");
            this->cell.supervise();
            this->logLongStep("to watch the processes took");
            for (const std::string &violation : this->cell.violations()) {
                this->checker.violation(violation);
            }
            const std::vector<std::string> found = this->checker.violations();
            for (; this->loggedViolations < found.size(); ++this->loggedViolations) {
                this->writeLog("VIOLATION " + found[this->loggedViolations]);
            }
            absl::SleepFor(std::min(tick, std::max(absl::ZeroDuration(), end - controlNow())));
        } while (controlNow() < end);
    }

    void recordRecovery(Duration time)
    {
        this->writeLog(absl::StrCat("every core answers ", absl::FormatDuration(time), " after the faults"));
        if (time > recoveryTime) {
            this->checker.violation(absl::StrCat("RECOVER: every core answers only ", absl::FormatDuration(time), " after the faults"));
        }
    }

    void settle(std::future<void> &acceptance)
    {
        const Timestamp begin = this->healedAt;
        bool isReadBack = false;
        std::vector<std::string> reasons;
        do {
            this->cell.heal();
            this->superviseUntil(controlNow() + absl::Milliseconds(200));
            if (!isReadBack && this->traffic.readBack()) {
                isReadBack = true;
                this->recordRecovery(controlNow() - begin);
            }
            this->traffic.queryUnsettledJobs();
            reasons = this->checker.unsettled();
        } while (controlNow() < begin + settleTimeout && (!isReadBack || !isReady(acceptance) || !reasons.empty()));
        this->superviseUntilReady(acceptance);
        this->settleTime = controlNow() - begin;
        for (const std::string &reason : reasons) {
            this->checker.violation("LOST: " + reason);
        }
        if (!isReadBack) {
            this->checker.violation("CONFIG: the configuration was not read back from every core");
        }
    }

    std::vector<std::string> violations()
    {
        this->superviseUntil(controlNow());
        return this->checker.violations();
    }

    const std::vector<Fault> series;
    const std::vector<Fault> replacements;
    const std::vector<Fault> faults;
    std::ofstream log;
    Checker checker;
    Cell cell;
    Traffic traffic;
    std::size_t loggedViolations = 0;
    Timestamp lastStepAt = controlNow();
    Timestamp healedAt;
    Duration settleTime;
};

std::vector<std::uint64_t> readSeeds(const std::string &path)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::uint64_t seed = 0;
        if (std::istringstream(line) >> seed) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

/** @return whether no rule was violated */
bool runSeed(std::uint64_t seed, Sizes sizes, const std::string &programs, bool keepFolder)
{
    sizes.cores = hasReplacements(seed) ? std::max(sizes.cores, coresForReplacements) : sizes.cores;
    std::string folder = absl::StrCat(std::filesystem::temp_directory_path().string(), "/paddlepier-soak-", seed, "-XXXXXX");
    if (::mkdtemp(folder.data()) == nullptr) {
        throw InternalError("cannot create a folder: " + folder);
    }
    Run run(seed, sizes, folder, programs);
    const std::vector<std::string> violations = run.run();
    std::cout << "seed " << seed << ": " << (violations.empty() ? "held" : "BROKEN") << "; " << run.summary() << std::endl;
    for (const std::string &violation : violations) {
        std::cout << "    " << violation << "\n";
    }
    if (violations.empty() && !keepFolder) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "    lines of the processes, and the times of faults and violations (soak.log): " << folder << std::endl;
    }
    return violations.empty();
}

} // namespace

} // namespace paddlepier::testing::soak

int main(int argc, char **argv)
{
    using namespace paddlepier;
    if (const std::optional<int> status = testing::runInOwnNetwork(argv)) {
        return *status;
    }
    ::signal(SIGPIPE, SIG_IGN);
    TCLAP::CmdLine line("Runs the real processes under injected faults and checks the platform's rules", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> programs("", "programs", "folder with the built programs", true, "", "folder", line);
    TCLAP::MultiArg<std::uint64_t> seedArgument("", "seed", "a seed", false, "number", line);
    TCLAP::ValueArg<std::string> list("", "list", "file with a seed at the start of each line", false, "", "file", line);
    TCLAP::ValueArg<std::uint64_t> fresh("", "count", "fresh seeds", false, 0, "number", line);
    TCLAP::ValueArg<std::uint32_t> workers("", "workers", "workers", false, 12, "number", line);
    TCLAP::ValueArg<std::uint32_t> entries("", "entries", "entry instances", false, 3, "number", line);
    TCLAP::ValueArg<std::uint32_t> cores("", "cores", "core instances", false, 3, "number", line);
    TCLAP::ValueArg<std::uint32_t> seconds("", "seconds", "time with faults", false, 12, "number", line);
    TCLAP::SwitchArg withSeries("", "series", "fresh seeds with series of stops, broken connections between cores and changes", line);
    TCLAP::SwitchArg withReplacements("", "replacements", "fresh seeds with planned replacements of cores, each with a loss close behind it", line);
    TCLAP::SwitchArg keep("", "keep", "keep the folder of a seed that held, too", line);
    line.parse(argc, argv);
    log::initialize(log::Level::Error);
    const testing::soak::Sizes sizes{cores.getValue(), entries.getValue(), workers.getValue(), absl::Seconds(seconds.getValue())};
    std::vector<std::uint64_t> seeds = seedArgument.getValue();
    for (const std::uint64_t seed : testing::soak::readSeeds(list.getValue())) {
        seeds.push_back(seed);
    }
    for (std::uint64_t number = 0; number < fresh.getValue(); ++number) {
        const std::uint64_t first = withReplacements.getValue() ? testing::soak::firstReplacementSeed
                                    : withSeries.getValue()     ? testing::soak::firstSeriesSeed
                                                                : 0;
        seeds.push_back(first + static_cast<std::uint64_t>(paddlepier::wallMicros()) / 1000 % 100'000'000 * 100 + number);
    }
    std::size_t broken = 0;
    for (const std::uint64_t seed : seeds) {
        broken += testing::soak::runSeed(seed, sizes, programs.getValue(), keep.getValue()) ? 0 : 1;
    }
    std::cout << seeds.size() << " seeds, " << broken << " broken" << std::endl;
    return broken == 0 ? 0 : 1;
}
