// Program: sends quick requests and prints the results as one line of JSON; used by measurements.

#include "testing/caller.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <tclap/CmdLine.h>

#include <iostream>

using namespace paddlepier;

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in of callers", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> servers("", "servers", "entry instances", true, "", "address:port,...", line);
    TCLAP::ValueArg<std::string> target("", "target", "path and query; {n} is the number", false, "/v1/quick/reading?n={n}", "path", line);
    TCLAP::ValueArg<std::size_t> requests("", "requests", "how many", false, 1000, "number", line);
    TCLAP::ValueArg<std::size_t> concurrency("", "concurrency", "at a time", false, 8, "number", line);
    line.parse(argc, argv);
    testing::CallerOptions options;
    options.servers = absl::StrSplit(servers.getValue(), ',');
    options.target = target.getValue();
    options.requests = requests.getValue();
    options.concurrency = concurrency.getValue();
    const testing::CallerResult result = testing::callAll(options);
    std::cout << "{\"requests\":" << options.requests << ",\"seconds\":" << absl::ToDoubleSeconds(result.elapsed)
              << ",\"p50Micros\":" << absl::ToInt64Microseconds(result.quantile(0.5)) << ",\"p99Micros\":" << absl::ToInt64Microseconds(result.quantile(0.99))
              << ",\"wrongAnswers\":" << result.wrongAnswers;
    for (const auto &[outcome, number] : result.outcomes) {
        std::cout << ",\"" << outcome << "\":" << number;
    }
    std::cout << "}\n";
    return 0;
}
