#include <LibMembership/CrashSuspectCodec.h>

#include <LibMembership/CrashSuspectFields.h>

#include <algorithm>
#include <limits>

namespace Fuchsiastep {

static constexpr std::size_t EntryFields = 2;
static constexpr std::size_t CrashFields = 4;
/// Longest content that is read, in bytes.
static constexpr std::size_t MaximumContentBytes = 256 * 1024;

using Milliseconds = std::chrono::milliseconds;

static constexpr std::uint64_t MaximumAgeMs = std::numeric_limits<std::uint32_t>::max();

void writeCrashSuspect(MsgpackWriter &writer, const CrashSuspectEntry &entry)
{
    writer.beginArray(EntryFields);
    writer.put(entry.fingerprint);
    writer.beginArray(entry.crashes.size());
    for (const CrashRecord &crash : entry.crashes) {
        writer.beginArray(CrashFields);
        writer.put(crash.crashId);
        const auto ageMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(crash.age).count());
        writer.put(std::min(ageMs, MaximumAgeMs));
        writer.put(crash.wasAlone);
        writer.put(crash.isAcquitted);
    }
}

CrashSuspectEntry takeCrashSuspect(MsgpackReader &reader)
{
    CrashSuspectEntry entry;
    reader.takeArray([&](MsgpackReader &fields) {
        entry.fingerprint = fields.takeUnsigned();
        fields.takeArray([&](MsgpackReader &list) {
            list.takeArray([&](MsgpackReader &crash) {
                CrashRecord record;
                record.crashId = crash.takeUnsigned();
                record.age = Milliseconds(crash.takeUnsigned(MaximumAgeMs));
                record.wasAlone = crash.takeBool();
                record.isAcquitted = crash.takeBool();
                entry.crashes.push_back(record);
            });
        });
    });
    return entry;
}

std::string encodeCrashSuspects(const std::vector<CrashSuspectEntry> &entries)
{
    MsgpackWriter writer;
    writer.beginArray(1);
    writer.beginArray(entries.size());
    for (const CrashSuspectEntry &entry : entries) {
        writeCrashSuspect(writer, entry);
    }
    return writer.take();
}

Result<std::vector<CrashSuspectEntry>> tryDecodeCrashSuspects(std::string_view bytes)
{
    std::vector<CrashSuspectEntry> entries;
    const bool isRead = readMsgpack(bytes, MaximumContentBytes, [&](MsgpackReader &reader) {
        reader.takeArray([&](MsgpackReader &list) { entries.push_back(takeCrashSuspect(list)); });
    });
    if (!isRead) {
        return Error {ErrorCode::FrameMalformed, "crash suspects"};
    }
    return entries;
}

std::string encodeStoredCrashSuspects(const std::vector<CrashSuspectEntry> &entries, std::int64_t unixMilliseconds)
{
    MsgpackWriter writer;
    writer.beginArray(2);
    writer.put(unixMilliseconds);
    writer.beginArray(entries.size());
    for (const CrashSuspectEntry &entry : entries) {
        writeCrashSuspect(writer, entry);
    }
    return writer.take();
}

Result<std::vector<CrashSuspectEntry>> tryDecodeStoredCrashSuspects(std::string_view value, std::int64_t unixMilliseconds)
{
    std::int64_t writtenAt = 0;
    std::vector<CrashSuspectEntry> entries;
    const bool isRead = readMsgpack(value, MaximumContentBytes, [&](MsgpackReader &reader) {
        writtenAt = reader.takeSigned(0, std::numeric_limits<std::int64_t>::max());
        reader.takeArray([&](MsgpackReader &list) { entries.push_back(takeCrashSuspect(list)); });
    });
    if (!isRead) {
        return Error {ErrorCode::PlatformMalformedAnswer, "crash suspects"};
    }
    for (CrashSuspectEntry &entry : entries) {
        entry = entry.aged(Milliseconds(std::clamp<std::int64_t>(unixMilliseconds - writtenAt, 0, MaximumAgeMs)));
    }
    return entries;
}

std::size_t encodedSize(const CrashSuspectEntry &entry)
{
    MsgpackWriter writer;
    writeCrashSuspect(writer, entry);
    return writer.take().size();
}

} // namespace Fuchsiastep
