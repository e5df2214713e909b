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

/// Bytes of one entry within a datagram.
std::size_t encodedSize(const CrashSuspectEntry &entry);

} // namespace Fuchsiastep
