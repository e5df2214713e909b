#include <LibPlatform/PlatformRequest.h>

namespace Fuchsiastep {

bool isWrite(const PlatformRequest &request)
{
    return std::holds_alternative<Transaction>(request) || std::holds_alternative<PutObject>(request);
}

} // namespace Fuchsiastep
