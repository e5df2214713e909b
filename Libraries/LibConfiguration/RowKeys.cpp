#include <LibConfiguration/RowKeys.h>

namespace Fuchsiastep {

std::string changeKey(ConfigurationVersion version)
{
    constexpr std::size_t Digits = 20;
    const std::string number = std::to_string(version);
    return std::string(ChangeKeyPrefix) + std::string(Digits - number.size(), '0') + number;
}

std::string objectKey(const ObjectName &name)
{
    return std::string(ObjectKeyPrefix) + name.toString();
}

std::string operationKey(std::string_view operationId)
{
    return "operation/" + std::string(operationId);
}

std::string snapshotName(ConfigurationVersion version)
{
    return "snapshot/" + std::to_string(version);
}

} // namespace Fuchsiastep
