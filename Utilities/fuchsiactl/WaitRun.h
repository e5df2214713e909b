#pragma once

#include <fuchsiactl/ControlPoint.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Fuchsiastep::ControlTool {

/// A version that every live proxy holds.
struct WaitOutcome
{
    std::size_t proxies = 0;
    /// Time from the start of the wait.
    double seconds = 0;

    /// "version 8 is in force on 12 proxies after 0.420 s"
    std::string toText(std::uint64_t version) const;
};

/// Polls members and their status until every live member holds \a version. Fails with WaitTimeout, which names some
/// of the proxies that are missing, or with ProxyUnreachable where no proxy tells the members.
Result<WaitOutcome> tryWaitForVersion(ControlPoint &control, std::uint64_t version);

} // namespace Fuchsiastep::ControlTool
