// Program: runs a small but complete cell on loopback, uses it as callers and operators do, and kills one instance meanwhile.
//
// Starts six entry instances in three data centres and twelve stand-in workers, submits the jobs of `examples/`, sends quick
// requests, kills one instance, and prints the results. Exit status 0 means that every checked guarantee held.

#include "paddlepier/cli/jobfile.h"
#include "paddlepier/cli/tables.h"
#include "testing/caller.h"
#include "testing/harness.h"

#include <absl/strings/str_cat.h>

#include <iostream>
#include <thread>

using namespace paddlepier;
using namespace paddlepier::testing;

namespace
{

struct SubmittedJob {
    std::string entry;
    std::string partner;
    std::string file;
    wire::TaskState goal;
    std::string job;
};

std::string milliseconds(Duration duration)
{
    return absl::StrCat(absl::ToDoubleMilliseconds(duration));
}

void startWorkers(Cell &cell)
{
    for (const auto &[dataCentre, partner, accelerators] :
         {std::make_tuple("atlanta-1", "chattahoochee", 0), std::make_tuple("atlanta-2", "chattahoochee", 0), std::make_tuple("emilia-1", "ferraresi", 4)}) {
        for (int number = 0; number < 4; ++number) {
            WorkerSpec spec;
            spec.name = absl::StrCat(dataCentre, "-w", number);
            spec.partner = partner;
            spec.dataCentre = dataCentre;
            spec.rack = absl::StrCat("r", number / 2);
            spec.capacity = accelerators > 0 ? wire::Resources(32000, 65536, accelerators) : wire::Resources(16000, 32768, 0);
            cell.startWorker(spec);
        }
    }
}

CallerResult sendQuick(const std::vector<std::string> &servers, const std::string &target, bool withKeys)
{
    CallerOptions options;
    options.servers = servers;
    options.target = target;
    options.requests = 600;
    options.concurrency = 8;
    if (withKeys) {
        options.method = "POST";
        options.headers = {{"Idempotency-Key", "sign-off-{n}"}};
        options.requests = 60;
        options.checkAnswer = false;
    }
    return callAll(options);
}

void addQuickRow(std::vector<std::vector<std::string>> &rows, const std::string &name, const CallerResult &result)
{
    std::string outcomes;
    for (const auto &[outcome, count] : result.outcomes) {
        absl::StrAppend(&outcomes, outcomes.empty() ? "" : ", ", count, " ", outcome);
    }
    rows.push_back({name, absl::StrCat(result.times.size()), outcomes, milliseconds(result.quantile(0.5)), milliseconds(result.quantile(0.99))});
}

void addJobRow(std::vector<std::vector<std::string>> &rows, const Cell &cell, const SubmittedJob &job)
{
    const wire::ExplainReplyT reply = cell.explain(job.entry, job.partner, job.job);
    const double waited = static_cast<double>(reply.summary->firstStartAtMicros - reply.summary->submittedAtMicros) / 1000;
    rows.push_back(
        {reply.summary->name, absl::StrCat(reply.summary->tasks, " tasks"), wire::EnumNameTaskState(reply.summary->state), absl::StrCat(waited), ""});
}

int runDemo(const std::string &programs, const std::string &examples)
{
    Cell cell(programs,
              {{"atlanta-1-a", "chattahoochee", "atlanta-1"},
               {"atlanta-1-b", "chattahoochee", "atlanta-1"},
               {"atlanta-2-a", "chattahoochee", "atlanta-2"},
               {"atlanta-2-b", "chattahoochee", "atlanta-2"},
               {"emilia-1-a", "ferraresi", "emilia-1"},
               {"emilia-1-b", "ferraresi", "emilia-1"}},
              {{"atlanta-1", {"atlanta-1-a", "atlanta-1-b", "atlanta-2-a"}},
               {"atlanta-2", {"atlanta-2-a", "atlanta-2-b", "atlanta-1-b"}},
               {"emilia-1", {"emilia-1-a", "emilia-1-b", "atlanta-2-b"}}});
    std::vector<std::string> violations;
    const auto expect = [&violations](bool held, const std::string &what) {
        if (!held) {
            violations.push_back(what);
        }
    };
    std::cout << "starting 6 entry instances in 3 data centres and 12 stand-in workers" << std::endl;
    cell.startAll();
    startWorkers(cell);
    for (const char *entry : {"atlanta-1-b", "atlanta-2-a", "emilia-1-a"}) {
        expect(cell.waitReady(entry, 4), absl::StrCat("the data centre of ", entry, " is ready"));
    }

    std::cout << "submitting the jobs of " << examples << std::endl;
    std::vector<SubmittedJob> jobs{{"atlanta-1-b", "chattahoochee", "district-watch", wire::TaskState::Running, ""},
                                   {"atlanta-1-b", "chattahoochee", "profile-rebuild", wire::TaskState::Succeeded, ""},
                                   {"emilia-1-a", "ferraresi", "structural-run", wire::TaskState::Succeeded, ""},
                                   {"emilia-1-a", "ferraresi", "weather-watch", wire::TaskState::Running, ""}};
    for (SubmittedJob &job : jobs) {
        const wire::JobSpecT spec = cli::loadJobFile(absl::StrCat(examples, "/", job.file, ".toml"));
        job.job = cell.submit(job.entry, job.partner, spec, absl::StrCat("demo-", job.file));
        expect(cell.submit(job.entry, job.partner, spec, absl::StrCat("demo-", job.file)) == job.job, "a job submitted again is the same job");
    }

    std::cout << "sending quick requests; killing atlanta-1-a with -9 on the way" << std::endl;
    const std::vector<std::string> atlanta{cell.httpOf("atlanta-1-b"), cell.httpOf("atlanta-2-a"), cell.httpOf("atlanta-2-b")};
    const std::vector<std::string> emilia{cell.httpOf("emilia-1-a"), cell.httpOf("emilia-1-b")};
    std::thread killer([&cell] {
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        cell.signalEntry("atlanta-1-a", 9);
    });
    const CallerResult readings = sendQuick(atlanta, "/v1/quick/reading?hydrant={n}&delay=5", false);
    const CallerResult checks = sendQuick(emilia, "/v1/quick/load-check?truss={n}&delay=5", false);
    killer.join();
    const CallerResult signOffs = sendQuick(emilia, "/v1/quick/sign-off?key={n}1", true);
    const CallerResult again = sendQuick({emilia[1], emilia[0]}, "/v1/quick/sign-off?key={n}1", true);

    for (const SubmittedJob &job : jobs) {
        expect(cell.waitForState(job.entry, job.partner, job.job, job.goal), absl::StrCat(job.file, " is ", wire::EnumNameTaskState(job.goal)));
    }
    for (const char *entry : {"atlanta-1-b", "atlanta-2-a", "emilia-1-a"}) {
        const bool isAtlanta = std::string(entry).find("atlanta") == 0;
        cli::printStatus(std::cout,
                         cell.call<wire::StatusReplyT>(entry, rpc::Method::Status, wire::StatusRequestT(), isAtlanta ? "chattahoochee" : "ferraresi"));
    }

    std::vector<std::vector<std::string>> rows{{"KIND", "COUNT", "OUTCOME", "P50 MS", "P99 MS"}};
    addQuickRow(rows, "reading", readings);
    addQuickRow(rows, "load check", checks);
    addQuickRow(rows, "sign-off, once only", signOffs);
    addQuickRow(rows, "the same keys again", again);
    for (const SubmittedJob &job : jobs) {
        addJobRow(rows, cell, job);
    }
    std::cout << "\n";
    cli::printTable(std::cout, rows);

    std::vector<std::string> notRun;
    for (const CallerResult *result : {&readings, &checks, &signOffs, &again}) {
        notRun.insert(notRun.end(), result->notRunIds.begin(), result->notRunIds.end());
        expect(result->wrongAnswers == 0, "every caller got the answer to its own request");
        expect(result->count("no-answer") == 0, "every quick request was answered");
        expect(result->withoutRetryAfter == 0, "every request given up says when to come back");
    }
    expect(readings.count("completed") > 0 && checks.count("completed") > 0 && signOffs.count("completed") > 0, "quick requests were completed");
    const CheckReport report = cell.check(notRun);
    violations.insert(violations.end(), report.violations.begin(), report.violations.end());
    std::cout << "\nchecked " << report.taskStarts << " task starts and " << report.requests << " requests in the workers' logs\n";
    for (const std::string &violation : violations) {
        std::cout << "NOT HELD: " << violation << "\n";
    }
    std::cout << (violations.empty() ? "every promise checked held\n" : "");
    return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: demo PROGRAM-FOLDER EXAMPLES-FOLDER\n";
        return 2;
    }
    try {
        return runDemo(argv[1], argv[2]);
    } catch (const std::exception &error) {
        std::cerr << "demo: " << error.what() << "\n";
        return 1;
    }
}
