// Parsing and validation of job files.

#include "paddlepier/cli/jobfile.h"

#include "paddlepier/base/error.h"
#include "paddlepier/settings/tomlreader.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace paddlepier::cli
{

namespace
{

using paddlepier::detail::TomlReader;

constexpr std::uint32_t maxSeconds = 366 * 24 * 3600;
constexpr std::uint32_t maxMilliProcessors = 1'000'000;
constexpr std::uint32_t maxMemoryMegabytes = 16U << 20U;
constexpr std::uint32_t maxTasks = 10'000;

wire::JobKind readKind(TomlReader &reader)
{
    static constexpr std::array<std::pair<std::string_view, wire::JobKind>, 3> kindNames{{
        {"service", wire::JobKind::Service},
        {"batch", wire::JobKind::Batch},
        {"gang", wire::JobKind::Gang},
    }};
    const std::string text = reader.requiredString("kind");
    for (const auto &[name, kind] : kindNames) {
        if (name == text) {
            return kind;
        }
    }
    reader.fail("kind", absl::StrCat("\"", text, "\" is not one of service, batch, gang"));
}

void readJob(TomlReader &reader, wire::JobSpecT &spec)
{
    spec.name = reader.requiredString("name");
    spec.kind = readKind(reader);
    spec.tasks = reader.number("tasks", 1, 1, maxTasks);
    const std::uint32_t processors = reader.number("milliProcessors", 1000, 1, maxMilliProcessors);
    const std::uint32_t memory = reader.number("memoryMegabytes", 256, 1, maxMemoryMegabytes);
    const std::uint32_t accelerators = reader.number("accelerators", 0, 0, maxTasks);
    spec.resources = wire::Resources(processors, memory, accelerators);
    spec.runSeconds = reader.number("runSeconds", 0, 0, maxSeconds);
    spec.deadlineSeconds = reader.number("deadlineSeconds", 0, 0, maxSeconds);
    spec.priority = static_cast<std::int32_t>(reader.number("priority", 0, 0, maxTasks));
    spec.urgent = reader.boolean("urgent", false);
    spec.atMostOnce = reader.boolean("atMostOnce", false);
    spec.maxAttempts = reader.number("maxAttempts", spec.maxAttempts, 1, maxTasks);
    spec.command = reader.optionalString("command", "");
}

} // namespace

wire::JobSpecT parseJobFile(std::string_view text, const std::string &name)
{
    try {
        const toml::table table = toml::parse(text, name);
        TomlReader root(name, "", table);
        wire::JobSpecT spec;
        root.table("job", true, [&spec](TomlReader &reader) { readJob(reader, spec); });
        root.finish();
        return spec;
    } catch (const toml::parse_error &error) {
        throw InvalidSettingsError(absl::StrCat(name, ":", error.source().begin.line, ": syntax: ", std::string(error.description())));
    }
}

wire::JobSpecT loadJobFile(const std::string &path)
{
    return parseJobFile(paddlepier::detail::readTextFile(path), path);
}

} // namespace paddlepier::cli
