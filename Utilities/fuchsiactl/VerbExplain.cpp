#include <fuchsiactl/RequestTrace.h>
#include <fuchsiactl/TextTable.h>
#include <fuchsiactl/Verbs.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>

namespace Fuchsiastep::ControlTool {

static Result<Done> tryRead(const std::string &path, RequestTrace &trace)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            return Error {ErrorCode::FileUnreadable, path};
        }
    }
    std::istream &input = path == "-" ? std::cin : file;
    const std::string name = path.substr(path.rfind('/') + 1);
    for (std::string text; std::getline(input, text);) {
        if (const std::optional<LogLine> line = parseLogLine(text, name)) {
            trace.add(*line);
        }
    }
    return Done {};
}

/// What the result code at the beginning of an error field means.
static std::string meaningOf(std::string_view error)
{
    unsigned number = 0;
    std::from_chars(error.data(), error.data() + error.size(), number);
    const std::span<const ErrorCodeInfo> table = errorCodeTable();
    const auto found = std::find_if(
        table.begin(), table.end(), [number](const ErrorCodeInfo &info) { return static_cast<unsigned>(info.code) == number; });
    return found == table.end() ? std::string() : std::string(found->description);
}

static std::string conclusionOf(const LogLine *end)
{
    if (end == nullptr) {
        return "The line with which the request ended is missing: it still runs, the log of the proxy that took it is not among "
               "the files, or the line was left out (left_out, fuchsiastep_dropped_log_lines).";
    }
    if (end->event == "RequestAnswered") {
        return "The caller received the upstream's answer with status " + std::string(end->field("status")) + '.';
    }
    const std::string meaning = meaningOf(end->field("error"));
    return (end->event == "RequestRefused" ? "The request has not run. " : "The request may have run. ") + meaning;
}

static std::string textOfFields(const LogLine &line)
{
    std::string text;
    for (const auto &[name, value] : line.fields) {
        if (name != "request") {
            text += (text.empty() ? "" : " ") + name + '=' + (value.find(' ') == std::string::npos ? value : '"' + value + '"');
        }
    }
    return text;
}

static JsonValue toJson(const LogLine &line)
{
    JsonValue::Object object {{"instance", line.source}, {"time", line.time}, {"event", line.event}};
    JsonValue::Object fields;
    for (const auto &[name, value] : line.fields) {
        fields[name] = value;
    }
    object["fields"] = std::move(fields);
    return object;
}

Result<ExitCode> tryRunExplain(const VerbContext &context, const Arguments &arguments)
{
    RequestTrace trace(arguments[0]);
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        const Result<Done> read = tryRead(arguments[index], trace);
        if (isError(read)) {
            return errorOf(read);
        }
    }
    TextTable table({"INSTANCE", "EVENT", "FIELDS"});
    JsonValue::Array lines;
    for (const LogLine &line : trace.lines()) {
        table.add({line.source, line.event, textOfFields(line)});
        lines.push_back(toJson(line));
    }
    const bool isFound = !lines.empty();
    const std::string conclusion = isFound ? conclusionOf(trace.end()) : "No line of request " + arguments[0] + '.';
    context.output.print((isFound ? table.toText() : "") + conclusion + '\n',
        JsonValue::Object {{"request", arguments[0]}, {"lines", std::move(lines)}, {"conclusion", conclusion}});
    return isFound ? ExitCode::Success : ExitCode::Failed;
}

} // namespace Fuchsiastep::ControlTool
