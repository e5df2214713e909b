#include <LibRequest/WorkspaceAuthentication.h>

namespace Fuchsiastep {

Result<std::shared_ptr<const Workspace>> tryAuthenticate(const Configuration &configuration, const RouteRules &rules, std::string_view key)
{
    if (!configuration.hasWorkspaces()) {
        return std::shared_ptr<const Workspace>();
    }
    if (key.empty()) {
        return rules.isPublic ? Result<std::shared_ptr<const Workspace>>(nullptr) : Error {ErrorCode::WorkspaceKeyMissing, {}};
    }
    std::shared_ptr<const Workspace> workspace = configuration.workspaceOfKey(keyDigest(key));
    if (workspace == nullptr) {
        return Error {ErrorCode::WorkspaceKeyUnknown, {}};
    }
    return workspace;
}

} // namespace Fuchsiastep
