#pragma once

#include <LibConfiguration/Labels.h>
#include <LibCore/LibCore.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Tells the announcements of one start of an upstream apart from those of another, and orders them.
struct UpstreamLifetime
{
    /// Unix milliseconds of the start.
    std::int64_t startedUnixMs = 0;
    /// Rises with each announcement of the start.
    std::uint64_t sequence = 0;

    bool operator==(const UpstreamLifetime &) const = default;
};

/// What an upstream tells the proxy beside it about itself. docs/interfaces.md gives the JSON form.
struct UpstreamAnnouncement
{
    std::string upstreamId;
    std::string service;
    SocketAddress address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 130;
    Labels labels;
    bool doRefusalsMeanNotRun = false;
    /// Milliseconds since the upstream started.
    std::uint32_t ageMs = 0;
    std::uint32_t loadPermille = 0;
    bool isDraining = false;
    /// Nothing for an upstream whose announcements cannot arrive out of order.
    std::optional<UpstreamLifetime> lifetime;

    /// How much longer the upstream is slow because it has just started.
    Duration coldFor() const;
    /// Whether the same upstream has started anew since \a earlier.
    bool isRestartOf(const UpstreamAnnouncement &earlier) const;
    /// Whether both are of one start. Both must have a lifetime.
    bool isSameStart(const UpstreamAnnouncement &other) const;

    /// Fails with OperatorRequestMalformed; the detail names the field.
    static Result<UpstreamAnnouncement> tryParse(std::string_view text);
};

} // namespace Fuchsiastep
