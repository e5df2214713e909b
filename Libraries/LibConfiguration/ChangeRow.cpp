#include <LibConfiguration/ChangeRow.h>

#include <LibConfiguration/MsgpackReader.h>
#include <LibConfiguration/MsgpackWriter.h>

namespace Fuchsiastep {

static constexpr std::size_t MaximumChangeRowBytes = 17 * 1024 * 1024;

static void writeAudit(MsgpackWriter &writer, const AuditEntry &audit)
{
    writer.beginArray(6);
    writer.put(audit.version);
    writer.put(std::string_view(audit.operationId));
    writer.put(std::string_view(audit.operatorName));
    writer.put(audit.unixMilliseconds);
    writer.put(std::string_view(audit.comment));
    writer.beginArray(audit.changes.size());
    for (const AuditedChange &change : audit.changes) {
        writer.beginArray(3);
        writer.putEnumerator(change.action);
        writer.put(change.name);
        writer.put(change.previousRevision);
    }
}

static AuditedChange readAuditedChange(MsgpackReader &reader)
{
    AuditedChange change;
    change.action = reader.takeEnumerator(ChangeAction::Remove);
    change.name = reader.takeObjectName();
    change.previousRevision = reader.takeUnsigned();
    return change;
}

static AuditEntry readAudit(MsgpackReader &reader)
{
    AuditEntry audit;
    audit.version = reader.takeUnsigned();
    audit.operationId = reader.takeString();
    audit.operatorName = reader.takeString();
    audit.unixMilliseconds = reader.takeSigned(0, std::numeric_limits<std::int64_t>::max());
    audit.comment = reader.takeString();
    reader.takeArray([&](MsgpackReader &list) { audit.changes.push_back(list.takeNested<AuditedChange>(readAuditedChange)); });
    return audit;
}

std::string ChangeRow::encode() const
{
    MsgpackWriter writer;
    writer.beginArray(2);
    writer.put(std::string_view(delta.encode()));
    writeAudit(writer, audit);
    return writer.take();
}

Result<ChangeRow> ChangeRow::tryDecode(std::string_view bytes, ConfigurationVersion version)
{
    ChangeRow row;
    std::string delta;
    const bool isRead = readMsgpack(bytes, MaximumChangeRowBytes, [&](MsgpackReader &reader) {
        delta = reader.takeString();
        row.audit = reader.takeNested<AuditEntry>(readAudit);
    });
    const std::string name = "change row " + std::to_string(version);
    if (!isRead) {
        return Error {ErrorCode::PlatformMalformedAnswer, name + " is not valid"};
    }
    Result<ConfigurationDelta> decoded = ConfigurationDelta::tryDecode(delta);
    if (isError(decoded)) {
        return Error {ErrorCode::PlatformMalformedAnswer, name + ": " + errorOf(decoded).detail};
    }
    row.delta = valueOf(std::move(decoded));
    if (row.delta.targetVersion != version || row.delta.baseVersion + 1 != version || row.audit.version != version) {
        return Error {ErrorCode::PlatformMalformedAnswer, name + " holds the change of another version"};
    }
    return row;
}

} // namespace Fuchsiastep
