#pragma once

#include <LibCore/JsonValue.h>

#include <functional>

namespace Fuchsiastep {

/// Asks a task for its part of the status that operators see. The task calls \a reply once, from its own turn.
struct StatusWanted
{
    std::function<void(JsonValue::Object part)> reply;
};

} // namespace Fuchsiastep
