#include <LibProxy/UpstreamAnnouncement.h>

#include <algorithm>
#include <limits>

namespace Fuchsiastep {

bool UpstreamAnnouncement::isRestartOf(const UpstreamAnnouncement &earlier) const
{
    if (upstreamId != earlier.upstreamId) {
        return false;
    }
    if (lifetime && earlier.lifetime) {
        return lifetime->startedUnixMs != earlier.lifetime->startedUnixMs;
    }
    return ageMs < earlier.ageMs;
}

bool UpstreamAnnouncement::isSameStart(const UpstreamAnnouncement &other) const
{
    return upstreamId == other.upstreamId && lifetime->startedUnixMs == other.lifetime->startedUnixMs;
}

Duration UpstreamAnnouncement::coldFor() const
{
    constexpr Duration WarmAge = std::chrono::seconds(10);
    return std::max(Duration(0), WarmAge - std::chrono::milliseconds(ageMs));
}

Result<UpstreamAnnouncement> UpstreamAnnouncement::tryParse(std::string_view text)
{
    constexpr std::int64_t MaximumSlots = 10'000;
    constexpr std::int64_t MaximumConnections = 100'000;
    constexpr std::int64_t MaximumLoadPermille = 1'000'000;
    const Result<JsonValue> value = JsonValue::tryParse(text);
    if (isError(value)) {
        return Error {ErrorCode::OperatorRequestMalformed, errorOf(value).detail};
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(value), "$", errors);
    UpstreamAnnouncement announcement;
    announcement.upstreamId = reader.requiredString("upstream");
    announcement.service = reader.requiredString("service");
    const Result<SocketAddress> address = SocketAddress::tryParse(reader.requiredString("address"));
    announcement.slots = static_cast<std::uint32_t>(reader.optionalInteger("slots", 1, 1, MaximumSlots));
    announcement.connections = static_cast<std::uint32_t>(reader.optionalInteger("connections", 130, 1, MaximumConnections));
    announcement.labels = reader.optionalLabels("labels");
    announcement.doRefusalsMeanNotRun = reader.optionalBool("refusals_mean_not_run", false);
    announcement.ageMs = static_cast<std::uint32_t>(reader.optionalInteger("age_ms", 0, 0, std::numeric_limits<std::uint32_t>::max()));
    announcement.loadPermille = static_cast<std::uint32_t>(reader.optionalInteger("load_permille", 0, 0, MaximumLoadPermille));
    announcement.isDraining = reader.optionalBool("draining", false);
    reader.finish();
    // Port 0 is for listening addresses only.
    if (errors.empty() && (isError(address) || valueOf(address).port == 0)) {
        errors.push_back({ErrorCode::OperatorRequestMalformed, "$.address: must be IP:PORT"});
    }
    if (!errors.empty()) {
        return Error {ErrorCode::OperatorRequestMalformed, errors.front().detail};
    }
    announcement.address = valueOf(address);
    return announcement;
}

} // namespace Fuchsiastep
