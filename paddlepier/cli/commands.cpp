// Subcommands of the `paddlepier` program.

#include "paddlepier/cli/commands.h"

#include "paddlepier/base/clock.h"
#include "paddlepier/base/error.h"
#include "paddlepier/cli/client.h"
#include "paddlepier/cli/commandline.h"
#include "paddlepier/cli/jobfile.h"
#include "paddlepier/cli/serve.h"
#include "paddlepier/cli/tables.h"
#include "paddlepier/instance/ledgerservice.h"
#include "paddlepier/settings/configuration.h"
#include "paddlepier/settings/tomlreader.h"

#include <absl/strings/str_cat.h>
#include <tclap/CmdLine.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>

namespace paddlepier::cli
{

namespace
{

constexpr const char *serverVariable = "PADDLEPIER_SERVER";
constexpr const char *tokenVariable = "PADDLEPIER_TOKEN";

std::string fromEnvironment(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

/** The arguments common to all subcommands that call an instance. */
class ClientArguments
{
public:
    explicit ClientArguments(TCLAP::CmdLine &parser)
        : server("s",
                 "server",
                 absl::StrCat("entry instance or balancer; default from ", serverVariable),
                 false,
                 fromEnvironment(serverVariable, "127.0.0.1:8100"),
                 "address:port",
                 parser)
        , token("t", "token", absl::StrCat("operator's token; default from ", tokenVariable), false, fromEnvironment(tokenVariable, ""), "token", parser)
        , json("j", "json", "print the reply as JSON", parser)
    {
    }

    Client client() const
    {
        return {this->server.getValue(), this->token.getValue()};
    }

    bool wantsJson() const
    {
        return this->json.getValue();
    }

private:
    mutable TCLAP::ValueArg<std::string> server;
    mutable TCLAP::ValueArg<std::string> token;
    mutable TCLAP::SwitchArg json;
};

template<typename Reply, typename Request>
ExitStatus callAndPrint(const ClientArguments &arguments, rpc::Method method, const Request &request, std::function<void(const Reply &)> print)
{
    const std::string bytes = arguments.client().callBytes(method, wire::pack(request));
    if (arguments.wantsJson()) {
        const rpc::CallCatalog &catalog = rpc::CallCatalog::instance();
        std::cout << catalog.replyToJson(catalog.info(method), bytes) << "\n";
    } else {
        print(wire::unpack<Reply>(bytes));
    }
    return ExitStatus::Done;
}

std::string randomSubmissionId()
{
    std::random_device device;
    return absl::StrCat(absl::Hex(device(), absl::kZeroPad8), absl::Hex(device(), absl::kZeroPad8));
}

ExitStatus runServe(const std::vector<std::string> &words)
{
    CommandLine line("Runs one entry instance until SIGTERM.", "paddlepier serve --config instance.toml");
    TCLAP::ValueArg<std::string> config("c", "config", "settings of the instance", true, "", "file", line.arguments());
    line.parse(words);
    serve(loadSettings(config.getValue()));
    return ExitStatus::Done;
}

ExitStatus runConfigStatus(const std::vector<std::string> &words);

ExitStatus runConfig(const std::vector<std::string> &words)
{
    if (words.size() > 1 && words[1] == "status") {
        std::vector<std::string> rest = words;
        rest.erase(rest.begin() + 1);
        return runConfigStatus(rest);
    }
    CommandLine line("Checks a settings file without starting anything.", "paddlepier config check instance.toml");
    TCLAP::UnlabeledValueArg<std::string> action("action", "check", true, "", "check", line.arguments());
    TCLAP::UnlabeledValueArg<std::string> file("file", "settings file", true, "", "file", line.arguments());
    TCLAP::SwitchArg json("j", "json", "print the result as JSON", line.arguments());
    line.parse(words);
    if (action.getValue() != "check") {
        throw UsageError(absl::StrCat("config ", action.getValue(), ": unknown action; expected check or status"));
    }
    const Settings settings = loadSettings(file.getValue());
    if (json.getValue()) {
        std::cout << "{\"valid\":true,\"instance\":" << log::jsonString(settings.id) << "}\n";
    } else {
        std::cout << file.getValue() << ": valid settings of instance " << settings.id << "\n";
    }
    return ExitStatus::Done;
}

wire::ConfigurationStatusReplyT fetchStatus(const ClientArguments &client)
{
    return client.client().call<wire::ConfigurationStatusReplyT>(rpc::Method::ShowStatus, wire::ConfigurationStatusRequestT());
}

ExitStatus runPlan(const std::vector<std::string> &words)
{
    CommandLine line("Shows what applying a configuration file would change.", "paddlepier plan cell.toml");
    const ClientArguments client(line.arguments());
    TCLAP::UnlabeledValueArg<std::string> file("file", "configuration file", true, "", "file", line.arguments());
    line.parse(words);
    const DeploymentConfiguration desired = parseConfiguration(detail::readTextFile(file.getValue()), file.getValue());
    const wire::ConfigurationStatusReplyT status = fetchStatus(client);
    const DeploymentConfiguration current = parseConfiguration(status.configuration->text, "accepted configuration");
    const std::vector<std::string> changes = describeChanges(current, desired);
    if (client.wantsJson()) {
        std::string list;
        for (const std::string &change : changes) {
            absl::StrAppend(&list, list.empty() ? "" : ",", log::jsonString(change));
        }
        std::cout << "{\"version\":" << status.configuration->version << ",\"changes\":[" << list << "]}\n";
        return ExitStatus::Done;
    }
    std::cout << "against version " << status.configuration->version << ": " << changes.size() << " changes\n";
    for (const std::string &change : changes) {
        std::cout << "  " << change << "\n";
    }
    return ExitStatus::Done;
}

ExitStatus runApply(const std::vector<std::string> &words)
{
    CommandLine line("Applies a configuration file; applying it twice changes nothing.", "paddlepier apply cell.toml --expected-version 4 --revision 9f2c1e");
    const ClientArguments client(line.arguments());
    TCLAP::UnlabeledValueArg<std::string> file("file", "configuration file", true, "", "file", line.arguments());
    TCLAP::ValueArg<std::uint64_t> expected("e", "expected-version", "version on which the change is based; see plan", true, 0, "number", line.arguments());
    TCLAP::ValueArg<std::string> revision("r", "revision", "origin of the file, such as a commit id", true, "", "text", line.arguments());
    line.parse(words);
    wire::ChangeRequestT request;
    request.text = detail::readTextFile(file.getValue());
    request.revision = revision.getValue();
    request.expectedVersion = expected.getValue();
    parseConfiguration(request.text, file.getValue());
    return callAndPrint<wire::ChangeReplyT>(client, rpc::Method::Change, request, [](const wire::ChangeReplyT &reply) {
        std::cout << "version " << reply.version << (reply.unchanged ? " was already accepted" : " accepted") << "\n";
    });
}

ExitStatus runConfigStatus(const std::vector<std::string> &words)
{
    CommandLine line("Shows the accepted configuration and which instances have it in force.", "paddlepier config status");
    const ClientArguments client(line.arguments());
    line.parse(words);
    const wire::ConfigurationStatusRequestT request;
    return callAndPrint<wire::ConfigurationStatusReplyT>(
        client, rpc::Method::ShowStatus, request, [](const wire::ConfigurationStatusReplyT &reply) { printConfiguration(std::cout, reply); });
}

ExitStatus runSubmit(const std::vector<std::string> &words)
{
    CommandLine line("Submits a job from a job file.", "paddlepier submit --file profile-rebuild.toml --data-centre atlanta-1");
    const ClientArguments client(line.arguments());
    TCLAP::ValueArg<std::string> file("f", "file", "job file", true, "", "file", line.arguments());
    TCLAP::ValueArg<std::string> dataCentre("d", "data-centre", "data centre to run it in; default: the instance's own", false, "", "name", line.arguments());
    TCLAP::ValueArg<std::string> id("i", "submission-id", "submitting again with the same id returns the same job", false, "", "text", line.arguments());
    line.parse(words);
    wire::SubmitRequestT request;
    request.spec = std::make_unique<wire::JobSpecT>(loadJobFile(file.getValue()));
    request.dataCentre = dataCentre.getValue();
    request.submissionId = id.getValue().empty() ? randomSubmissionId() : id.getValue();
    return callAndPrint<wire::SubmitReplyT>(client, rpc::Method::Submit, request, [](const wire::SubmitReplyT &reply) {
        std::cout << reply.job << (reply.alreadyKnown ? " (already submitted)" : "") << "\n";
    });
}

ExitStatus runExplain(const std::vector<std::string> &words)
{
    CommandLine line("Explains the state of a job and why it is waiting.", "paddlepier explain atlanta-1.17");
    const ClientArguments client(line.arguments());
    TCLAP::UnlabeledValueArg<std::string> job("job", "name of the job", true, "", "job", line.arguments());
    line.parse(words);
    wire::ExplainRequestT request;
    request.job = job.getValue();
    return callAndPrint<wire::ExplainReplyT>(
        client, rpc::Method::Explain, request, [](const wire::ExplainReplyT &reply) { printExplanation(std::cout, reply); });
}

ExitStatus runCancel(const std::vector<std::string> &words)
{
    CommandLine line("Cancels a job; running tasks are stopped first.", "paddlepier cancel atlanta-1.17");
    const ClientArguments client(line.arguments());
    TCLAP::UnlabeledValueArg<std::string> job("job", "name of the job", true, "", "job", line.arguments());
    line.parse(words);
    wire::CancelRequestT request;
    request.job = job.getValue();
    return callAndPrint<wire::CancelReplyT>(client, rpc::Method::Cancel, request, [](const wire::CancelReplyT &reply) {
        std::cout << reply.job << (reply.alreadyEnded ? " had already ended" : " cancelled") << "\n";
    });
}

ExitStatus runDrain(const std::vector<std::string> &words)
{
    CommandLine line("Drains a worker, so that it receives no new work.", "paddlepier drain worker-7 --data-centre atlanta-1");
    const ClientArguments client(line.arguments());
    TCLAP::UnlabeledValueArg<std::string> worker("worker", "name of the worker", true, "", "worker", line.arguments());
    TCLAP::ValueArg<std::string> dataCentre("d", "data-centre", "default: the instance's own", false, "", "name", line.arguments());
    TCLAP::SwitchArg undo("u", "undo", "end the drain, so that the worker receives new work again", line.arguments());
    line.parse(words);
    wire::DrainRequestT request;
    request.worker = worker.getValue();
    request.dataCentre = dataCentre.getValue();
    request.undo = undo.getValue();
    return callAndPrint<wire::DrainReplyT>(client, rpc::Method::Drain, request, [](const wire::DrainReplyT &reply) {
        std::cout << reply.worker << (reply.draining ? " receives no new work" : " receives new work again") << "\n";
    });
}

ExitStatus runList(const std::vector<std::string> &words)
{
    CommandLine line("Lists the jobs of one data centre.", "paddlepier list --data-centre atlanta-1");
    const ClientArguments client(line.arguments());
    TCLAP::ValueArg<std::string> dataCentre("d", "data-centre", "default: the instance's own", false, "", "name", line.arguments());
    line.parse(words);
    wire::ListRequestT request;
    request.dataCentre = dataCentre.getValue();
    return callAndPrint<wire::ListReplyT>(client, rpc::Method::List, request, [](const wire::ListReplyT &reply) { printJobs(std::cout, reply); });
}

ExitStatus runStatus(const std::vector<std::string> &words)
{
    CommandLine line("Shows leader, workers and tasks of every data centre, or of one.", "paddlepier status");
    const ClientArguments client(line.arguments());
    TCLAP::ValueArg<std::string> dataCentre("d", "data-centre", "show only this data centre", false, "", "name", line.arguments());
    line.parse(words);
    wire::StatusRequestT request;
    request.dataCentre = dataCentre.getValue();
    ExitStatus overallStatus =
        callAndPrint<wire::StatusReplyT>(client, rpc::Method::Status, request, [](const wire::StatusReplyT &reply) { printStatus(std::cout, reply); });
    if (!dataCentre.getValue().empty()) {
        return overallStatus;
    }
    const auto own = client.client().call<wire::StatusReplyT>(rpc::Method::Status, request);
    for (const std::string &other : own.dataCentres) {
        if (other == own.dataCentre) {
            continue;
        }
        try {
            request.dataCentre = other;
            callAndPrint<wire::StatusReplyT>(client, rpc::Method::Status, request, [](const wire::StatusReplyT &reply) { printStatus(std::cout, reply); });
        } catch (const Error &error) {
            std::cerr << other << ": " << nameOf(error.code()) << ": " << error.what() << "\n";
            overallStatus = ExitStatus::Unreachable;
        }
    }
    return overallStatus;
}

ExitStatus runVersion(const std::vector<std::string> &words)
{
    CommandLine line("Prints the program's version.", "paddlepier version --json");
    TCLAP::SwitchArg json("j", "json", "print it as JSON", line.arguments());
    line.parse(words);
    std::cout << (json.getValue() ? absl::StrCat("{\"version\":\"", programVersion, "\"}") : absl::StrCat("paddlepier ", programVersion)) << "\n";
    return ExitStatus::Done;
}

constexpr std::array<Command, 11> ownCommands{{
    {"serve", "run one entry instance", &runServe},
    {"config", "check a settings file, or show the configuration's status", &runConfig},
    {"plan", "show what a configuration file would change", &runPlan},
    {"apply", "apply a configuration file", &runApply},
    {"submit", "submit a job from a file", &runSubmit},
    {"list", "list the jobs of a data centre", &runList},
    {"status", "show leaders, workers and tasks", &runStatus},
    {"explain", "explain why a job is waiting", &runExplain},
    {"cancel", "cancel a job", &runCancel},
    {"drain", "drain a worker", &runDrain},
    {"version", "print the version", &runVersion},
}};

void printUsage(std::ostream &out, const std::vector<Command> &commands)
{
    out << "usage: paddlepier COMMAND [arguments]; paddlepier COMMAND --help describes its arguments\n\n";
    for (const Command &command : commands) {
        out << "  " << command.name << std::string(10 - std::string(command.name).size(), ' ') << command.summary << "\n";
    }
    out << "\nexit status: 0 done, 1 refused, 2 wrong arguments or settings, 3 unreachable, 5 data folder\n";
}

ExitStatus exitStatusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Usage:
    case ErrorCode::InvalidSettings:
        return ExitStatus::Usage;
    case ErrorCode::DataCentreUnreachable:
    case ErrorCode::NotLeader:
    case ErrorCode::Timeout:
    case ErrorCode::ShuttingDown:
        return ExitStatus::Unreachable;
    case ErrorCode::CorruptLog:
    case ErrorCode::ForeignDataFolder:
    case ErrorCode::StorageFailure:
        return ExitStatus::Storage;
    default:
        return ExitStatus::Refused;
    }
}

ExitStatus dispatch(const std::vector<std::string> &arguments, const std::vector<Command> &extraCommands)
{
    std::vector<Command> commands(ownCommands.begin(), ownCommands.end());
    commands.insert(commands.end(), extraCommands.begin(), extraCommands.end());
    const std::string name = arguments.size() > 1 ? arguments[1] : "";
    if (name == "--help" || name == "-h" || name == "help") {
        printUsage(std::cout, commands);
        return ExitStatus::Done;
    }
    for (const Command &command : commands) {
        if (name == command.name) {
            return command.run({arguments.begin() + 1, arguments.end()});
        }
    }
    throw UsageError(name.empty() ? "missing command; paddlepier --help lists the commands"
                                  : absl::StrCat("unknown command \"", name, "\"; paddlepier --help lists the commands"));
}

ExitStatus fail(ErrorCode code, const std::string &message)
{
    std::cerr << "paddlepier: " << nameOf(code) << ": " << message << "\n";
    return exitStatusOf(code);
}

} // namespace

ExitStatus runCommand(const std::vector<std::string> &arguments, const std::vector<Command> &extraCommands)
{
    try {
        return dispatch(arguments, extraCommands);
    } catch (const Error &error) {
        return fail(error.code(), error.what());
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? ExitStatus::Done : ExitStatus::Usage;
    } catch (const TCLAP::ArgException &problem) {
        return fail(ErrorCode::Usage, absl::StrCat(problem.argId(), ": ", problem.error()));
    }
}

} // namespace paddlepier::cli
