#pragma once

#include <LibCore/Error.h>
#include <LibCore/JsonValue.h>

#include <ostream>
#include <string>

namespace Fuchsiastep::ControlTool {

/// Writes results and errors: text for people, or one JSON document for scripts.
class OutputFormat
{
public:
    OutputFormat(bool isJson, std::ostream &output, std::ostream &errors) : m_isJson(isJson), m_output(output), m_errors(errors)
    { }

    /// Writes the form that the user asked for. \a text ends with a line end.
    void print(const std::string &text, const JsonValue &json) const;
    /// One line, to the error stream: "fuchsiactl: 406 ChangeConflict: detail" or {"error":{...}}.
    void printError(const Error &error) const;
    /// A line for people only, to the error stream.
    void printNote(const std::string &text) const;

private:
    bool m_isJson;
    std::ostream &m_output;
    std::ostream &m_errors;
};

/// {"code":..,"name":..,"detail":..}
JsonValue errorAsJson(const Error &error);

/// "1.234 s"
std::string secondsText(double seconds);

} // namespace Fuchsiastep::ControlTool
