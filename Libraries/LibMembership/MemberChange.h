#pragma once

#include <LibMembership/MemberRecord.h>

#include <optional>

namespace Fuchsiastep {

/// A record in the table was replaced by a newer one.
struct MemberChange
{
    /// Nothing for a member that was not known.
    std::optional<MemberRecord> before;
    MemberRecord after;
};

} // namespace Fuchsiastep
