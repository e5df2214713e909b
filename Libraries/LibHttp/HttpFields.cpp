#include <LibHttp/HttpFields.h>

#include <algorithm>
#include <array>

namespace Fuchsiastep {

bool isConnectionField(std::string_view lowerName)
{
    static constexpr std::array<std::string_view, 11> Names {"connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length"};
    return std::find(Names.begin(), Names.end(), lowerName) != Names.end();
}

std::string toLowerAscii(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return lower;
}

std::string fieldOf(const HeaderList &headers, const char *name)
{
    const auto field = headers.find(name);
    return field == headers.end() ? std::string() : field->second;
}

} // namespace Fuchsiastep
