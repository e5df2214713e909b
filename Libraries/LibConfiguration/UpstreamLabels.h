#pragma once

#include <LibConfiguration/Labels.h>

#include <string>

namespace Fuchsiastep {

/// Labels that operators put on one upstream, in addition to those that it announces. A label declared
/// here goes before an announced one of the same name.
struct UpstreamLabels
{
    std::string upstreamId;
    /// The declared service that the upstream belongs to.
    std::string service;
    Labels labels;

    bool operator==(const UpstreamLabels &) const = default;
};

} // namespace Fuchsiastep
