#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Fuchsiastep {

/// Kinds of requests that the load generator sends.
enum class RequestKind {
    /// GET with a short answer.
    Lookup,
    /// POST with a fresh idempotency key.
    Order,
    /// The same order twice at once, with one key, to two targets.
    RepeatOrder,
    /// GET with a large answer.
    Document,
};

constexpr std::size_t RequestKindCount = 4;

/// The name on the command line and in reports.
std::string_view nameOf(RequestKind kind);
std::optional<RequestKind> requestKindOf(std::string_view name);

} // namespace Fuchsiastep
