#include <fuchsiactl/OutputFormat.h>

#include <array>
#include <cstdio>

namespace Fuchsiastep::ControlTool {

void OutputFormat::print(const std::string &text, const JsonValue &json) const
{
    if (m_isJson) {
        m_output << json.toText() << '\n';
    } else {
        m_output << text;
    }
}

void OutputFormat::printError(const Error &error) const
{
    if (m_isJson) {
        m_errors << JsonValue(JsonValue::Object {{"error", errorAsJson(error)}}).toText() << '\n';
    } else {
        m_errors << "fuchsiactl: " << describe(error) << '\n';
    }
}

void OutputFormat::printNote(const std::string &text) const
{
    if (!m_isJson) {
        m_errors << text << '\n';
    }
}

JsonValue errorAsJson(const Error &error)
{
    return JsonValue::Object {
        {"code", static_cast<std::int64_t>(error.code)},
        {"name", errorCodeInfo(error.code).name},
        {"detail", error.detail},
    };
}

std::string secondsText(double seconds)
{
    std::array<char, 32> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%.3f s", seconds);
    return buffer.data();
}

} // namespace Fuchsiastep::ControlTool
