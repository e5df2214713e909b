#pragma once

#include <LibCore/Result.h>
#include <LibMembership/ProbeDatagram.h>

#include <string>
#include <string_view>

namespace Fuchsiastep {

std::string encodeProbe(const ProbeDatagram &datagram);
/// Fails with FrameMalformed, also where \a bytes is longer than a datagram may be.
Result<ProbeDatagram> tryDecodeProbe(std::string_view bytes);

/// Bytes that an item adds to a datagram.
std::size_t encodedSize(const MemberUpdate &update);

} // namespace Fuchsiastep
