#include <LibPlatform/PlatformFaultSettings.h>

#include <LibCore/JsonObjectReader.h>

namespace Fuchsiastep {

static constexpr std::int64_t MaximumDelayMs = 600'000;
static constexpr std::int64_t MaximumStaleRevisions = 1'000'000;

static std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Result<PlatformFaultSettings> PlatformFaultSettings::tryParse(std::string_view json)
{
    const Result<JsonValue> value = JsonValue::tryParse(json);
    if (isError(value)) {
        return errorOf(value);
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(value), "$", errors);
    const auto readDuration = [&](std::string_view name) {
        return std::chrono::milliseconds(reader.optionalInteger(name, 0, 0, MaximumDelayMs));
    };
    PlatformFaultSettings settings;
    settings.isDown = reader.optionalBool("down", false);
    settings.delay = readDuration("delay_ms");
    settings.answerDelay = readDuration("answer_delay_ms");
    settings.lostAnswerProbability = reader.optionalNumber("lost_answer_probability", 0, 0, 1);
    settings.lostRequestProbability = reader.optionalNumber("lost_request_probability", 0, 0, 1);
    settings.staleReadProbability = reader.optionalNumber("stale_read_probability", 0, 0, 1);
    settings.staleRevisions = static_cast<std::uint64_t>(reader.optionalInteger("stale_revisions", 0, 0, MaximumStaleRevisions));
    settings.staleAge = readDuration("stale_ms");
    settings.restoreProbability = reader.optionalNumber("restore_probability", 0, 0, 1);
    settings.restore.away = readDuration("restore_away_ms");
    settings.restore.copyAge = readDuration("restore_copy_age_ms");
    reader.finish();
    if (!errors.empty()) {
        return errors.front();
    }
    return settings;
}

JsonValue PlatformFaultSettings::toJson() const
{
    return JsonValue::Object {
        {"down", isDown},
        {"delay_ms", toMilliseconds(delay)},
        {"answer_delay_ms", toMilliseconds(answerDelay)},
        {"lost_answer_probability", lostAnswerProbability},
        {"lost_request_probability", lostRequestProbability},
        {"stale_read_probability", staleReadProbability},
        {"stale_revisions", staleRevisions},
        {"stale_ms", toMilliseconds(staleAge)},
        {"restore_probability", restoreProbability},
        {"restore_away_ms", toMilliseconds(restore.away)},
        {"restore_copy_age_ms", toMilliseconds(restore.copyAge)},
    };
}

} // namespace Fuchsiastep
