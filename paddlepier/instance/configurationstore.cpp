// The configuration that is in force in one entry instance.

#include "paddlepier/instance/configurationstore.h"

#include "paddlepier/base/log.h"
#include "paddlepier/storage/framefile.h"
#include "paddlepier/wire/codec.h"

#include <absl/strings/str_cat.h>

#include <filesystem>

namespace paddlepier::instance
{

namespace
{

std::string nameOfVersion(const wire::ConfigurationT &configuration)
{
    return absl::StrCat("version ", configuration.version);
}

} // namespace

ConfigurationKeeper::ConfigurationKeeper(const std::string &dataFolder, Changed changed, ConfigurationGuards keeperGuards)
    : path(dataFolder.empty() ? "" : dataFolder + "/configuration")
    , onChanged(std::move(changed))
    , guards(keeperGuards)
{
    if (!this->path.empty()) {
        this->load();
    }
}

void ConfigurationKeeper::load()
{
    std::filesystem::create_directories(std::filesystem::path(this->path).parent_path());
    if (!std::filesystem::exists(this->path)) {
        return;
    }
    const storage::FrameScan scan = storage::scanFrames(storage::readFile(this->path));
    if (scan.frames.size() != 1) {
        throw CorruptLogError(absl::StrCat(this->path, ": damaged"));
    }
    this->current = wire::unpack<wire::ConfigurationT>(scan.frames.front());
    this->onChanged(parseConfiguration(this->current.text, nameOfVersion(this->current)));
}

void ConfigurationKeeper::save(const wire::ConfigurationT &configuration) const
{
    if (!this->path.empty()) {
        storage::replaceFile(this->path, storage::encodeFrame(wire::pack(configuration)));
    }
}

bool ConfigurationKeeper::offer(const wire::ConfigurationT &configuration)
{
    const bool isNewer = configuration.version > this->current.version;
    if (!isNewer && (this->guards.onlyForward || configuration.version == this->current.version)) {
        return false;
    }
    const DeploymentConfiguration parsed = parseConfiguration(configuration.text, nameOfVersion(configuration));
    this->save(configuration);
    this->current = configuration;
    this->onChanged(parsed);
    log::info("configuration", "in-force", {{"version", configuration.version}, {"revision", configuration.revision}});
    return true;
}

const wire::ConfigurationT &ConfigurationKeeper::inForce() const
{
    return this->current;
}

} // namespace paddlepier::instance
