// The deployment configuration that is in force in one entry instance.

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

std::string versionName(const wire::ConfigurationT &configuration)
{
    return absl::StrCat("version ", configuration.version);
}

} // namespace

ConfigurationStore::ConfigurationStore(const std::string &dataFolder, Changed changed, ConfigurationGuards safetyGuards)
    : path(dataFolder.empty() ? "" : dataFolder + "/configuration")
    , onChanged(std::move(changed))
    , guards(safetyGuards)
{
    if (!this->path.empty()) {
        this->load();
    }
}

void ConfigurationStore::load()
{
    std::filesystem::create_directories(std::filesystem::path(this->path).parent_path());
    if (!std::filesystem::exists(this->path)) {
        return;
    }
    const storage::FrameScan scan = storage::scanFrames(storage::readFile(this->path));
    if (scan.frames.size() != 1) {
        throw CorruptLogError(absl::StrCat(this->path, ": stored configuration is damaged: expected exactly one valid frame"));
    }
    this->currentConfiguration = wire::unpack<wire::ConfigurationT>(scan.frames.front());
    this->onChanged(parseConfiguration(this->currentConfiguration.text, versionName(this->currentConfiguration)));
}

void ConfigurationStore::save(const wire::ConfigurationT &configuration) const
{
    if (!this->path.empty()) {
        storage::replaceFile(this->path, storage::encodeFrame(wire::pack(configuration)));
    }
}

bool ConfigurationStore::offer(const wire::ConfigurationT &configuration)
{
    const bool isNewer = configuration.version > this->currentConfiguration.version;
    if (!isNewer && (this->guards.onlyForward || configuration.version == this->currentConfiguration.version)) {
        return false;
    }
    const DeploymentConfiguration parsed = parseConfiguration(configuration.text, versionName(configuration));
    this->save(configuration);
    this->currentConfiguration = configuration;
    this->onChanged(parsed);
    log::info("configuration", "in-force", {{"version", configuration.version}, {"revision", configuration.revision}});
    return true;
}

const wire::ConfigurationT &ConfigurationStore::current() const
{
    return this->currentConfiguration;
}

} // namespace paddlepier::instance
