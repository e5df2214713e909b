#pragma once

#include <cstdint>

namespace Fuchsiastep {

/// Counts of one proxy side. On the caller side received = answered + notRun + unknown + in flight at every
/// moment; on the upstream side cancelled stands on the right as well.
struct RequestCounts
{
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /// Requests whose caller left. The caller side counts them under notRun or unknown too.
    std::uint64_t cancelled = 0;
    /// Request frames sent by the caller side, or runs started by the upstream side.
    std::uint64_t tries = 0;
    std::uint64_t retries = 0;
    /// Answers whose request is not pending.
    std::uint64_t lateAnswers = 0;
    /// Answers from another connection than the one that the request went to.
    std::uint64_t crossedAnswers = 0;
    /// Frames that arrived twice.
    std::uint64_t duplicates = 0;
    std::uint64_t truncatedAnswers = 0;
};

} // namespace Fuchsiastep
