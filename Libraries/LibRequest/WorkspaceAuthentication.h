#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/RouteRules.h>
#include <LibCore/Result.h>

#include <memory>
#include <string_view>

namespace Fuchsiastep {

/// The workspace that a caller's key belongs to; nullptr for a caller without a key on a public route, and where the
/// configuration has no workspaces. Fails with WorkspaceKeyMissing or WorkspaceKeyUnknown; a key that is sent has to be known
/// on a public route as well.
Result<std::shared_ptr<const Workspace>> tryAuthenticate(const Configuration &configuration, const RouteRules &rules, std::string_view key);

} // namespace Fuchsiastep
