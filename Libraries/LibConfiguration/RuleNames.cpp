#include <LibConfiguration/RuleNames.h>

#include <array>

namespace Fuchsiastep {

static constexpr std::array<std::string_view, 3> PriorityNames {"low", "normal", "high"};
static constexpr std::array<std::string_view, 4> LocalityNames {"nearest", "data-centre-only", "anywhere", "fastest"};
static constexpr std::array<std::string_view, 3> RepeatabilityNames {"by-method", "always", "never"};

template<typename Enumeration, std::size_t Count>
static std::optional<Enumeration> findName(const std::array<std::string_view, Count> &names, std::string_view name)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) {
            return static_cast<Enumeration>(i);
        }
    }
    return std::nullopt;
}

std::string_view priorityName(RequestPriority priority)
{
    return PriorityNames.at(static_cast<std::size_t>(priority));
}

std::optional<RequestPriority> priorityFromName(std::string_view name)
{
    return findName<RequestPriority>(PriorityNames, name);
}

std::string_view localityName(LocalityPreference locality)
{
    return LocalityNames.at(static_cast<std::size_t>(locality));
}

std::optional<LocalityPreference> localityFromName(std::string_view name)
{
    return findName<LocalityPreference>(LocalityNames, name);
}

std::string_view repeatabilityName(Repeatability repeatability)
{
    return RepeatabilityNames.at(static_cast<std::size_t>(repeatability));
}

std::optional<Repeatability> repeatabilityFromName(std::string_view name)
{
    return findName<Repeatability>(RepeatabilityNames, name);
}

} // namespace Fuchsiastep
