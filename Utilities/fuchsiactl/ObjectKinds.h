#pragma once

#include <LibConfiguration/ConfigurationDelta.h>
#include <LibCore/Result.h>

#include <array>
#include <string>
#include <string_view>

namespace Fuchsiastep::ControlTool {

/// How a kind of object is written in declaration files and in the operator API.
struct ObjectKindInfo
{
    ObjectKind kind;
    /// In changes, audit entries and on the command line.
    std::string_view name;
    /// The list of a declaration file.
    std::string_view list;
    /// The field that names the object.
    std::string_view nameField;
};

/// In the order in which objects refer to each other.
constexpr std::array<ObjectKindInfo, 4> ObjectKinds {{
    {ObjectKind::Service, "service", "services", "name"},
    {ObjectKind::Upstream, "upstream", "upstreams", "id"},
    {ObjectKind::Selector, "selector", "selectors", "name"},
    {ObjectKind::Workspace, "workspace", "workspaces", "name"},
}};

const ObjectKindInfo &objectKindInfo(ObjectKind kind);

/// Takes the singular and the plural. Fails with CommandLineInvalid.
Result<ObjectKind> tryParseObjectKind(std::string_view text);

/// "selector/night-orders"
std::string toText(const ObjectName &name);

} // namespace Fuchsiastep::ControlTool
