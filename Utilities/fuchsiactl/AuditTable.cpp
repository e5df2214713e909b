#include <fuchsiactl/AuditTable.h>

#include <fuchsiactl/FieldList.h>
#include <fuchsiactl/JsonList.h>
#include <fuchsiactl/TextTable.h>

#include <glib.h>

#include <cstdlib>

namespace Fuchsiastep::ControlTool {

static std::string timeText(const std::string &unixMilliseconds)
{
    constexpr std::int64_t MillisecondsPerSecond = 1000;
    const std::int64_t seconds = std::strtoll(unixMilliseconds.c_str(), nullptr, 10) / MillisecondsPerSecond;
    GDateTime *time = g_date_time_new_from_unix_utc(seconds);
    if (time == nullptr) {
        return unixMilliseconds;
    }
    gchar *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
    std::string result = text;
    g_free(text);
    g_date_time_unref(time);
    return result;
}

static std::string changesText(const JsonValue &entry)
{
    std::string text;
    for (const JsonValue &change : listOf(entry, "changes")) {
        const std::string item = fieldText(change, "action") + ' ' + fieldText(change, "kind") + '/' + fieldText(change, "name");
        text += (text.empty() ? "" : ", ") + item;
    }
    return text;
}

std::string formatAudit(const JsonValue &answer)
{
    TextTable table({"VERSION", "TIME", "OPERATOR", "CHANGES", "COMMENT"});
    for (const JsonValue &entry : listOf(answer, "entries")) {
        table.add({fieldText(entry, "version"),
            timeText(fieldText(entry, "unix_ms")),
            fieldText(entry, "operator"),
            changesText(entry),
            fieldText(entry, "comment")});
    }
    return table.toText();
}

} // namespace Fuchsiastep::ControlTool
