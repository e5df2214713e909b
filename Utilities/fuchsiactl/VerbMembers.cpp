#include <fuchsiactl/FieldList.h>
#include <fuchsiactl/JsonList.h>
#include <fuchsiactl/TextTable.h>
#include <fuchsiactl/Verbs.h>

namespace Fuchsiastep::ControlTool {

Result<ExitCode> tryRunMembers(const VerbContext &context, const Arguments &)
{
    const Result<JsonValue> answer = context.control.tryRead("/v1/operator/members");
    if (isError(answer)) {
        return errorOf(answer);
    }
    const std::vector<std::string> fields {"proxy", "data_centre", "state", "version", "service", "upstream", "control", "peers"};
    TextTable table({"PROXY", "DATA CENTRE", "STATE", "VERSION", "SERVICE", "UPSTREAM", "CONTROL", "PEERS"});
    for (const JsonValue &member : listOf(valueOf(answer), "members")) {
        TextTable::Row row;
        for (const std::string &field : fields) {
            row.push_back(fieldText(member, field));
        }
        table.add(std::move(row));
    }
    context.output.print(table.toText(), valueOf(answer));
    return ExitCode::Success;
}

} // namespace Fuchsiastep::ControlTool
