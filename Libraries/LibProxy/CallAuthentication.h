#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/RouteRules.h>
#include <LibCore/Result.h>
#include <LibProxy/CallParser.h>

#include <memory>
#include <string>

namespace Fuchsiastep {

/// Lower-case names of the header fields that concern workspaces.
struct WorkspaceHeaders
{
    /// Caller's key. Never passed on.
    std::string key;
    /// Tells an upstream the name of the workspace.
    std::string workspace;
};

/// Finds the workspace of a call; nullptr for none. Where the configuration has workspaces, takes the key out of the call's
/// headers, and sets or removes the header that names the workspace, whatever the caller sent in it. Fails as
/// tryAuthenticate() does.
Result<std::shared_ptr<const Workspace>> tryAuthenticateCall(
    Call &call, const Configuration &configuration, const RouteRules &rules, const WorkspaceHeaders &names);

} // namespace Fuchsiastep
