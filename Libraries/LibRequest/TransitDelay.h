#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>

namespace Fuchsiastep {

/// How much longer than usual the frames of one connection are on their way, from the times on the clocks of both ends,
/// whose difference is not known. It answers full links: a request that was held up has less time left than it says, and
/// its caller may be gone.
class TransitDelay
{
public:
    /// A frame that was sent at \a sentMs arrives at \a receivedMs, both on clocks that count the time of a suspension.
    /// Returns its delay beyond that of the fastest frame so far.
    Duration record(std::uint64_t sentMs, std::uint64_t receivedMs);

private:
    /// The clocks of two instances drift apart by less than this share.
    static constexpr double DriftShare = 0.001;

    /// Received less sent of the fastest frame, and when it arrived.
    std::optional<double> m_fastestMs;
    std::uint64_t m_receivedMs = 0;
};

} // namespace Fuchsiastep
