#include <LibProxy/CallAuthentication.h>

#include <LibRequest/WorkspaceAuthentication.h>

namespace Fuchsiastep {

Result<std::shared_ptr<const Workspace>> tryAuthenticateCall(
    Call &call, const Configuration &configuration, const RouteRules &rules, const WorkspaceHeaders &names)
{
    if (!configuration.hasWorkspaces()) {
        return std::shared_ptr<const Workspace>();
    }
    const std::string key = fieldOf(call.headers, names.key.c_str());
    call.headers.erase(names.key);
    call.headers.erase(names.workspace);
    Result<std::shared_ptr<const Workspace>> workspace = tryAuthenticate(configuration, rules, key);
    if (!isError(workspace) && valueOf(workspace) != nullptr) {
        call.headers[names.workspace] = valueOf(workspace)->name;
    }
    return workspace;
}

} // namespace Fuchsiastep
