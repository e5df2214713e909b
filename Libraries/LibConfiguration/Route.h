#pragma once

#include <LibConfiguration/Endpoint.h>
#include <LibConfiguration/Selector.h>

#include <memory>
#include <vector>

namespace Fuchsiastep {

/// What one selector leads to: its rules and the live endpoints that it allows.
struct Route
{
    std::shared_ptr<const Selector> selector;
    /// Draining endpoints are left out. Empty where no upstream matches.
    std::vector<std::shared_ptr<const Endpoint>> endpoints;
};

} // namespace Fuchsiastep
