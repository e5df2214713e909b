#pragma once

#include <LibMembership/MergeRecords.h>
#include <LibMembership/PeerFrame.h>
#include <LibMembership/SendFrame.h>

#include <string>
#include <variant>

namespace Fuchsiastep {

using RemoteSyncInput = std::variant<PeerFrame>;

/// The bridges of a data centre answer again, or none does any more. Its members are kept either way.
struct DataCentreReachability
{
    std::string dataCentre;
    bool isReachable = false;
};

using RemoteSyncOutput = std::variant<SendFrame, MergeRecords, DataCentreReachability>;

} // namespace Fuchsiastep
