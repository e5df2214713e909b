#include <LibRequest/PriorityHeader.h>

#include <array>
#include <string>

namespace Fuchsiastep {

static constexpr std::array<std::string_view, 3> PriorityNames {"low", "normal", "high"};

void setPriority(HeaderList &headers, RequestPriority priority)
{
    headers[std::string(PriorityHeaderName)] = PriorityNames.at(static_cast<std::size_t>(priority));
}

RequestPriority priorityOf(const HeaderList &headers)
{
    const auto header = headers.find(std::string(PriorityHeaderName));
    for (std::size_t index = 0; header != headers.end() && index < PriorityNames.size(); ++index) {
        if (header->second == PriorityNames.at(index)) {
            return static_cast<RequestPriority>(index);
        }
    }
    return RequestPriority::Normal;
}

} // namespace Fuchsiastep
