#pragma once

#include <LibConfiguration/Configuration.h>

#include <string>
#include <string_view>

namespace Fuchsiastep {

// Keys of the platform's rows and names of its objects that hold the configuration.

constexpr std::string_view HeadKey = "head";
constexpr std::string_view ChangeKeyPrefix = "change/";
constexpr std::string_view ObjectKeyPrefix = "object/";

/// "change/00000000000000000007". Twenty digits hold every version, so that keys sort by version.
std::string changeKey(ConfigurationVersion version);
/// "object/selector/night-orders".
std::string objectKey(const ObjectName &name);
std::string operationKey(std::string_view operationId);
/// Name in the object store.
std::string snapshotName(ConfigurationVersion version);

} // namespace Fuchsiastep
