#pragma once

#include <LibCore/Result.h>
#include <LibMembership/MemberRecord.h>
#include <LibMembership/MemberSync.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Longest encoded record in bytes. A probe datagram has room for two: the sender's and that of an accused receiver.
constexpr std::size_t MaximumRecordBytes = 600;
/// Longest content of one MembershipSync frame in bytes.
constexpr std::size_t MaximumSyncBytes = 512 * 1024;

/// msgpack of one record. Fields of the endpoint that repeat the record are left out.
std::string encodeMemberRecord(const MemberRecord &record);

/// msgpack of a departure, as a row of the platform holds it.
std::string encodeDepartedUpstream(const DepartedUpstream &departed);
/// Fails with FrameMalformed.
Result<DepartedUpstream> tryDecodeDepartedUpstream(std::string_view bytes);

/// Contents of MembershipSync frames for \a sync: at least one, each at most \a maximumBytes long.
std::vector<std::string> encodeMemberSync(const MemberSync &sync, std::size_t maximumBytes = MaximumSyncBytes);
/// Fails with FrameMalformed.
Result<MemberSync> tryDecodeMemberSync(std::string_view bytes);

/// Copies id, address, data centre and region of \a record into its endpoint.
void completeEndpoint(MemberRecord &record);

} // namespace Fuchsiastep
