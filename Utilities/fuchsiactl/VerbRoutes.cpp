#include <fuchsiactl/FieldList.h>
#include <fuchsiactl/JsonList.h>
#include <fuchsiactl/TextTable.h>
#include <fuchsiactl/Verbs.h>

#include <glib.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunRoutes(const VerbContext &context, const Arguments &arguments)
{
    gchar *service = g_uri_escape_string(arguments[0].c_str(), nullptr, FALSE);
    const std::string path = "/v1/operator/routes?service=" + std::string(service);
    g_free(service);
    const Result<JsonValue> answer = context.control.tryRead(path);
    if (isError(answer)) {
        return errorOf(answer);
    }
    TextTable table({"SELECTOR", "UPSTREAMS"});
    for (const JsonValue &route : listOf(valueOf(answer), "routes")) {
        std::string upstreams;
        for (const JsonValue &upstream : listOf(route, "upstreams")) {
            const auto *id = std::get_if<std::string>(&upstream.content);
            upstreams += (upstreams.empty() ? "" : ", ") + (id != nullptr ? *id : upstream.toText());
        }
        table.add({fieldText(route, "selector"), upstreams});
    }
    context.output.print("version " + fieldText(valueOf(answer), "version") + '\n' + table.toText(), valueOf(answer));
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool
