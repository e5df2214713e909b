#include "RequestMix.h"

#include <charconv>

namespace Fuchsiastep {

static constexpr std::uint32_t MaximumWeight = 1'000'000;

/// The weight after "=", 1 where there is none, or nothing where it is not valid.
static std::optional<std::uint32_t> weightOf(std::string_view item, std::size_t equals)
{
    if (equals == std::string_view::npos) {
        return 1;
    }
    std::uint32_t weight = 0;
    const char *end = item.data() + item.size();
    const auto parsed = std::from_chars(item.data() + equals + 1, end, weight);
    if (parsed.ec != std::errc() || parsed.ptr != end || weight > MaximumWeight) {
        return std::nullopt;
    }
    return weight;
}

Result<RequestMix> RequestMix::tryParse(std::string_view text)
{
    RequestMix mix;
    while (!text.empty()) {
        const std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        const std::optional<RequestKind> kind = requestKindOf(item.substr(0, equals));
        const std::optional<std::uint32_t> weight = weightOf(item, equals);
        if (!kind || !weight) {
            return Error {ErrorCode::CommandLineInvalid, "--mix: expected kind=weight: " + std::string(item)};
        }
        mix.m_weights.at(static_cast<std::size_t>(*kind)) += *weight;
        mix.m_sum += *weight;
    }
    if (mix.m_sum == 0) {
        return Error {ErrorCode::CommandLineInvalid, "--mix: no kind has a weight"};
    }
    return mix;
}

RequestKind RequestMix::draw(Random &random) const
{
    std::size_t position = random.below(m_sum);
    for (std::size_t i = 0; i < m_weights.size(); ++i) {
        if (position < m_weights.at(i)) {
            return static_cast<RequestKind>(i);
        }
        position -= m_weights.at(i);
    }
    return RequestKind::Lookup;
}

} // namespace Fuchsiastep
