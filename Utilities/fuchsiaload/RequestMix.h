#pragma once

#include "RequestKind.h"

#include <LibCore/Random.h>
#include <LibCore/Result.h>

#include <array>
#include <cstdint>

namespace Fuchsiastep {

/// Shares of the kinds of requests.
class RequestMix
{
public:
    /// Reads "lookup=70,order=20,repeat-order=5,document=5"; a name without a number has weight 1.
    /// Fails with CommandLineInvalid.
    static Result<RequestMix> tryParse(std::string_view text);

    RequestKind draw(Random &random) const;

private:
    std::array<std::uint32_t, RequestKindCount> m_weights {};
    std::uint32_t m_sum = 0;
};

} // namespace Fuchsiastep
