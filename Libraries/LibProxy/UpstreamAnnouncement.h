#pragma once

#include <LibConfiguration/Labels.h>
#include <LibCore/LibCore.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Fuchsiastep {

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

    /// Fails with OperatorRequestMalformed; the detail names the field.
    static Result<UpstreamAnnouncement> tryParse(std::string_view text);
};

} // namespace Fuchsiastep
