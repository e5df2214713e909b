#include <LibLab/ProxyStatus.h>

#include <LibCore/JsonObjectReader.h>

namespace Fuchsiastep {

Result<ProxyStatus> ProxyStatus::tryParse(std::string_view text)
{
    const Result<JsonValue> value = JsonValue::tryParse(text);
    if (isError(value)) {
        return errorOf(value);
    }
    std::vector<Error> errors;
    JsonObjectReader reader(valueOf(value), "$", errors);
    const auto number = [&reader](std::string_view name) {
        return static_cast<std::uint64_t>(reader.requiredInteger(name, 0, std::numeric_limits<std::int64_t>::max()));
    };
    ProxyStatus status;
    status.proxyId = reader.requiredString("proxy");
    status.isReady = reader.optionalBool("ready", false);
    status.isDraining = reader.optionalBool("draining", false);
    status.isReader = reader.optionalBool("is_reader", false);
    status.version = number("version");
    status.knownVersion = number("known_version");
    status.adoptedUnixMs = static_cast<std::int64_t>(number("adopted_unix_ms"));
    status.endpoints = number("endpoints");
    status.members = number("members");
    status.controlBytesSent = number("control_bytes_sent");
    status.controlMessagesSent = number("control_messages_sent");
    status.processorMs = number("processor_ms");
    status.residentBytes = number("resident_bytes");
    if (!errors.empty()) {
        return errors.front();
    }
    return status;
}

} // namespace Fuchsiastep
