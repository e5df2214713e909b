#pragma once

#include <LibMembership/MemberRecord.h>

#include <vector>

namespace Fuchsiastep {

/// Records from a MembershipSync frame. Only the FailureDetector changes the table, so the decision code that
/// receives them hands them on in this message.
struct MergeRecords
{
    std::vector<MemberRecord> records;
};

} // namespace Fuchsiastep
