#include <fuchsiactl/LogLine.h>

#include <algorithm>

namespace Fuchsiastep::ControlTool {

static std::vector<std::string_view> wordsOf(std::string_view text)
{
    std::vector<std::string_view> words;
    while (!text.empty()) {
        const std::size_t begin = text.find_first_not_of(' ');
        if (begin == std::string_view::npos) {
            break;
        }
        const std::size_t end = std::min(text.find(' ', begin), text.size());
        words.push_back(text.substr(begin, end - begin));
        text.remove_prefix(end);
    }
    return words;
}

/// Takes a value from the front of \a text: quoted with escapes, or up to the next space.
static std::string takeValue(std::string_view &text)
{
    std::string value;
    if (!text.starts_with('"')) {
        const std::size_t end = std::min(text.find(' '), text.size());
        value = text.substr(0, end);
        text.remove_prefix(end);
        return value;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1) {
            text.remove_prefix(1);
        }
        value += text.front();
        text.remove_prefix(1);
    }
    text.remove_prefix(text.empty() ? 0 : 1);
    return value;
}

std::string_view LogLine::field(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const auto &entry) { return entry.first == name; });
    return found == fields.end() ? std::string_view() : found->second;
}

std::optional<LogLine> parseLogLine(std::string_view text, std::string_view fileName)
{
    const std::size_t begin = text.find(" event=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    // The time and the level stand before the event.
    const std::vector<std::string_view> head = wordsOf(text.substr(0, begin));
    if (head.size() < 2) {
        return std::nullopt;
    }
    LogLine line;
    line.time = head[head.size() - 2];
    line.source = head.size() > 2 ? head[head.size() - 3] : fileName;
    text.remove_prefix(begin);
    while (!text.empty()) {
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        const std::size_t equals = text.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        const std::string name(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        std::string value = takeValue(text);
        if (name == "name") {
            line.event = std::move(value);
        } else if (name != "event") {
            line.fields.emplace_back(name, std::move(value));
        }
    }
    return line;
}

} // namespace Fuchsiastep::ControlTool
