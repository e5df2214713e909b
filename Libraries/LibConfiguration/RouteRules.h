#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// How far from the caller side a request may go for an upstream.
enum class LocalityPreference : std::uint8_t {
    /// The data centre first, then the region, then the rest.
    Nearest = 0,
    /// Only upstreams of the caller side's own data centre.
    DataCentreOnly = 1,
    /// Every upstream alike.
    Anywhere = 2,
    /// Where the answer is expected first; the own data centre where that makes little difference.
    Fastest = 3,
};

/// Which requests are shed first under load.
enum class RequestPriority : std::uint8_t {
    Low = 0,
    Normal = 1,
    High = 2,
};

/// Which requests may run more than once.
enum class Repeatability : std::uint8_t {
    /// Those whose method is in RouteRules::repeatableMethods.
    ByMethod = 0,
    Always = 1,
    Never = 2,
};

/// The rules of a selector.
struct RouteRules
{
    /// Longest time for a request where the caller names no deadline, and the cap where it does.
    Duration timeout = std::chrono::seconds(5);
    /// Upper-case methods whose requests may be run more than once.
    std::vector<std::string> repeatableMethods {"GET", "HEAD"};
    /// Requests of other methods need an idempotency key and run at most once.
    bool isKeyRequired = true;
    /// Further tries after the first, from 0 to 5.
    std::uint32_t maximumRetries = 2;
    RequestPriority priority = RequestPriority::Normal;
    LocalityPreference locality = LocalityPreference::Nearest;
    /// Time within which an answer has its full use for the caller; 0 for none. Requests that would miss it are shed
    /// rather than queued.
    Duration targetLatency {0};
    Repeatability repeatability = Repeatability::ByMethod;
    /// Callers need no key of a workspace.
    bool isPublic = false;

    /// Whether a request with this method may run more than once.
    bool isRepeatable(std::string_view method) const;

    bool operator==(const RouteRules &) const = default;
};

} // namespace Fuchsiastep
