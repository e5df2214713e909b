#pragma once

#include <LibCore/Clock.h>

#include <initializer_list>
#include <optional>

namespace Fuchsiastep {

/// The first of several deadlines; nothing where none is set.
inline std::optional<TimePoint> earliestDeadline(std::initializer_list<std::optional<TimePoint>> deadlines)
{
    std::optional<TimePoint> first;
    for (const std::optional<TimePoint> &deadline : deadlines) {
        if (deadline && (!first || *deadline < *first)) {
            first = deadline;
        }
    }
    return first;
}

} // namespace Fuchsiastep
