#pragma once

#include <LibCore/Clock.h>
#include <LibCore/JsonValue.h>
#include <LibPlatform/PlatformRestoreFault.h>

#include <cstdint>

namespace Fuchsiastep {

/// Faults that the platform stand-in injects.
struct PlatformFaultSettings
{
    /// Every call is refused with HTTP 503 and has no effect.
    bool isDown = false;
    /// Wait before a call takes effect. The effect follows even where the client has given up by then.
    Duration delay {0};
    /// Wait between the effect and the answer.
    Duration answerDelay {0};
    /// Probability that the connection breaks after a write took effect and before its answer.
    double lostAnswerProbability = 0;
    /// Probability that the connection breaks before a call takes effect, which then never happens.
    double lostRequestProbability = 0;
    /// Probability that a read is answered from an older state.
    double staleReadProbability = 0;
    /// Age of a stale read in revisions; 0 where staleAge applies.
    std::uint64_t staleRevisions = 0;
    /// Age of a stale read in time.
    Duration staleAge {0};
    /// Probability that the stand-in goes away after a write and comes back from an older copy.
    double restoreProbability = 0;
    PlatformRestoreFault restore;

    bool operator==(const PlatformFaultSettings &) const = default;

    /// Reads {"down","delay_ms","answer_delay_ms","lost_answer_probability","lost_request_probability",
    /// "stale_read_probability","stale_revisions","stale_ms","restore_probability","restore_away_ms","restore_copy_age_ms"}; a
    /// missing member means no such fault.
    static Result<PlatformFaultSettings> tryParse(std::string_view json);
    JsonValue toJson() const;
};

} // namespace Fuchsiastep
