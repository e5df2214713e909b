#pragma once

#include <LibCore/Result.h>
#include <LibMembership/CrashSuspectEntry.h>

#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// The content of a CrashSuspectsFrame.
std::string encodeCrashSuspects(const std::vector<CrashSuspectEntry> &entries);
/// Fails with FrameMalformed.
Result<std::vector<CrashSuspectEntry>> tryDecodeCrashSuspects(std::string_view bytes);

/// The value of a row of the platform. Ages are kept as wall-clock times, the only ones that outlast a process; a clock
/// that is wrong by seconds changes a hold-off by as much.
std::string encodeStoredCrashSuspects(const std::vector<CrashSuspectEntry> &entries, std::int64_t unixMilliseconds);
/// Fails with PlatformMalformedAnswer.
Result<std::vector<CrashSuspectEntry>> tryDecodeStoredCrashSuspects(std::string_view value, std::int64_t unixMilliseconds);

/// Bytes of one entry within a datagram.
std::size_t encodedSize(const CrashSuspectEntry &entry);

} // namespace Fuchsiastep
