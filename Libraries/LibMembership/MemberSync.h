#pragma once

#include <LibMembership/MemberRecord.h>

#include <cstdint>
#include <vector>

namespace Fuchsiastep {

/// What a MembershipSync frame is for.
enum class MemberSyncKind : std::uint8_t {
    /// The sender wants every record.
    JoinRequest = 0,
    JoinAnswer = 1,
    /// A bridge sends the records of its data centre that changed.
    Exchange = 2,
    ExchangeAnswer = 3,
};

/// Content of a MembershipSync frame.
struct MemberSync
{
    MemberSyncKind kind = MemberSyncKind::JoinRequest;
    std::vector<MemberRecord> records;
};

} // namespace Fuchsiastep
