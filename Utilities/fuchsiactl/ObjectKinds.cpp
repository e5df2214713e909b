#include <fuchsiactl/ObjectKinds.h>

namespace Fuchsiastep::ControlTool {

const ObjectKindInfo &objectKindInfo(ObjectKind kind)
{
    return ObjectKinds.at(static_cast<std::size_t>(kind));
}

Result<ObjectKind> tryParseObjectKind(std::string_view text)
{
    for (const ObjectKindInfo &info : ObjectKinds) {
        if (text == info.name || text == info.list) {
            return info.kind;
        }
    }
    return Error {ErrorCode::CommandLineInvalid, "'" + std::string(text) + "' is not service, upstream or selector"};
}

std::string toText(const ObjectName &name)
{
    return std::string(objectKindInfo(name.kind).name) + '/' + name.name;
}

} // namespace Fuchsiastep::ControlTool
