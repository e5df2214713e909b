#include <LibPlatform/PlatformRestoreFault.h>

#include <LibCore/JsonObjectReader.h>

namespace Fuchsiastep {

Result<PlatformRestoreFault> PlatformRestoreFault::tryParse(std::string_view json)
{
    constexpr std::int64_t MaximumMs = 600'000;
    const Result<JsonValue> value = JsonValue::tryParse(json);
    if (isError(value)) {
        return errorOf(value);
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(value), "$", errors);
    PlatformRestoreFault fault;
    fault.away = std::chrono::milliseconds(reader.optionalInteger("away_ms", 0, 0, MaximumMs));
    fault.copyAge = std::chrono::milliseconds(reader.optionalInteger("copy_age_ms", 0, 0, MaximumMs));
    reader.finish();
    if (!errors.empty()) {
        return errors.front();
    }
    return fault;
}

} // namespace Fuchsiastep
