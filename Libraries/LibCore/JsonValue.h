#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Fuchsiastep {

/// A JSON value. Parsing and writing are done by nlohmann-json.
struct JsonValue
{
    using Array = std::vector<JsonValue>;
    using Object = std::map<std::string, JsonValue>;
    using Content = std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, Array, Object>;

    JsonValue() = default;
    JsonValue(bool value) : content(value)
    { }
    JsonValue(std::int64_t value) : content(value)
    { }
    JsonValue(std::uint64_t value) : content(static_cast<std::int64_t>(value))
    { }
    JsonValue(int value) : content(static_cast<std::int64_t>(value))
    { }
    JsonValue(double value) : content(value)
    { }
    JsonValue(std::string value) : content(std::move(value))
    { }
    JsonValue(const char *value) : content(std::string(value))
    { }
    JsonValue(std::string_view value) : content(std::string(value))
    { }
    JsonValue(Array value) : content(std::move(value))
    { }
    JsonValue(Object value) : content(std::move(value))
    { }

    bool operator==(const JsonValue &) const = default;

    /// Reads one JSON text. Fails with JsonMalformed; the detail names the line. Nesting is limited to 64 levels.
    static Result<JsonValue> tryParse(std::string_view text);

    /// Keys in ascending order, so that equal values give equal texts.
    std::string toText(bool indented = false) const;

    Content content = nullptr;
};

} // namespace Fuchsiastep
