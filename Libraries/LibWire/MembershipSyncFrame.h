#pragma once

#include <string>

namespace Fuchsiastep {

/// Member records for a joining member or for another data centre.
struct MembershipSyncFrame
{
    /// Encoded list of member records.
    std::string records;
    /// The sender wants the receiver's records in return.
    bool wantsAnswer = false;

    bool operator==(const MembershipSyncFrame &) const = default;
};

} // namespace Fuchsiastep
