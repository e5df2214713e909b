#pragma once

#include <LibCore/JsonValue.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Reads the members of one JSON object, checks types and ranges, and collects every error with its
/// path ("$.listen.port"). A member that is never asked for is reported as unknown by finish().
class JsonObjectReader
{
public:
    using Labels = std::map<std::string, std::string>;

    /// \a errors outlives the reader and receives what is wrong.
    JsonObjectReader(const JsonValue &value, std::string path, std::vector<Error> &errors);

    std::string requiredString(std::string_view name);
    std::string optionalString(std::string_view name, std::string fallback = {});
    std::int64_t requiredInteger(std::string_view name, std::int64_t minimum, std::int64_t maximum);
    std::int64_t optionalInteger(std::string_view name, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum);
    double optionalNumber(std::string_view name, double fallback, double minimum, double maximum);
    bool optionalBool(std::string_view name, bool fallback);
    /// An object whose values are all strings; empty where it is missing.
    Labels optionalLabels(std::string_view name);
    std::vector<std::string> optionalStrings(std::string_view name);

    /// A nested object or array item as it stands; nullptr where it is missing.
    const JsonValue *optionalValue(std::string_view name);
    const JsonValue *requiredValue(std::string_view name);
    const JsonValue::Array *optionalArray(std::string_view name);

    /// "$.listen" and "port" give "$.listen.port".
    std::string pathOf(std::string_view name) const;
    bool has(std::string_view name) const;

    /// Reports every member that was not asked for.
    void finish();

private:
    const JsonValue *find(std::string_view name, bool isRequired);
    void report(ErrorCode code, std::string_view name, std::string_view text);
    std::optional<std::int64_t> integer(std::string_view name, bool isRequired, std::int64_t minimum, std::int64_t maximum);
    std::optional<std::string> string(std::string_view name, bool isRequired);

    const JsonValue::Object *m_object = nullptr;
    std::string m_path;
    std::vector<Error> &m_errors;
    std::set<std::string, std::less<>> m_known;
};

} // namespace Fuchsiastep
