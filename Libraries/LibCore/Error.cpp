#include <LibCore/Error.h>

namespace Fuchsiastep {

std::string describe(const Error &error)
{
    std::string text = std::to_string(static_cast<unsigned>(error.code)) + ' ' + std::string(errorCodeInfo(error.code).name);
    if (!error.detail.empty()) {
        text += ": " + error.detail;
    }
    return text;
}

} // namespace Fuchsiastep
