#pragma once

#include <LibCore/Result.h>
#include <LibRollout/RolloutState.h>
#include <LibRollout/RunRecorder.h>

#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// What a coordinator tells its members, and those of other data centres.
struct RolloutNews
{
    /// Since the coordinator read the orders last.
    std::uint64_t ageMs = 0;
    std::vector<RolloutState> states;
    /// Sums of a data centre; empty for members.
    std::vector<RunReport> sums;

    bool operator==(const RolloutNews &) const = default;
};

std::string encodeRunReports(const std::vector<RunReport> &reports);
/// Fails with FrameMalformed.
Result<std::vector<RunReport>> tryDecodeRunReports(std::string_view bytes);

std::string encodeRolloutNews(const RolloutNews &news);
/// Fails with FrameMalformed.
Result<RolloutNews> tryDecodeRolloutNews(std::string_view bytes);

} // namespace Fuchsiastep
