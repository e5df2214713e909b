#include <LibMembership/MemberRecordCodec.h>

#include <LibMembership/MemberRecordFields.h>

#include <algorithm>
#include <limits>
#include <span>

namespace Fuchsiastep {

static constexpr std::size_t RecordFields = 12;
static constexpr std::size_t EndpointFields = 7;
static constexpr std::size_t DepartedFields = 5;
/// Bytes of a MembershipSync content beside its records.
static constexpr std::size_t SyncOverheadBytes = 16;
/// Longest MembershipSync content that is read, in bytes.
static constexpr std::size_t MaximumContentBytes = 1024 * 1024;

static void writeEndpoint(MsgpackWriter &writer, const MemberRecord &record)
{
    if (!record.endpoint) {
        writer.beginArray(0);
        return;
    }
    const Endpoint &endpoint = *record.endpoint;
    writer.beginArray(EndpointFields);
    writer.put(std::string_view(endpoint.upstreamId));
    writer.put(std::string_view(endpoint.service));
    // The incarnation of the process, as the difference that refutations made; mostly 0.
    writer.put(record.incarnation - endpoint.incarnation);
    writer.put(endpoint.labels);
    writer.put(std::uint64_t {endpoint.slots});
    writer.put(endpoint.isDraining);
    writer.put(std::uint64_t {endpoint.ageMsWhenSeen});
}

static void takeEndpoint(MsgpackReader &reader, MemberRecord &record)
{
    constexpr std::uint64_t MaximumNumber = std::numeric_limits<std::uint32_t>::max();
    reader.takeArray([&](MsgpackReader &fields) {
        Endpoint endpoint;
        endpoint.upstreamId = fields.takeString();
        endpoint.service = fields.takeString();
        endpoint.incarnation = record.incarnation - fields.takeUnsigned();
        endpoint.labels = fields.takeLabels();
        endpoint.slots = static_cast<std::uint32_t>(fields.takeUnsigned(MaximumNumber));
        endpoint.isDraining = fields.takeBool();
        endpoint.ageMsWhenSeen = static_cast<std::uint32_t>(fields.takeUnsigned(MaximumNumber));
        record.endpoint = std::move(endpoint);
        completeEndpoint(record);
    });
}

static void writeDeparted(MsgpackWriter &writer, const DepartedUpstream &departed)
{
    writer.beginArray(DepartedFields);
    writer.put(std::string_view(departed.upstreamId));
    writer.put(departed.startedUnixMs.has_value());
    writer.put(static_cast<std::uint64_t>(departed.startedUnixMs.value_or(departed.latestStartUnixMs)));
    writer.put(departed.incarnation);
    writer.put(departed.sequence);
}

static DepartedUpstream takeDeparted(MsgpackReader &reader)
{
    constexpr std::uint64_t MaximumStart = std::numeric_limits<std::int64_t>::max();
    DepartedUpstream departed;
    departed.upstreamId = reader.takeString();
    const bool hasStart = reader.takeBool();
    const auto startedUnixMs = static_cast<std::int64_t>(reader.takeUnsigned(MaximumStart));
    departed.startedUnixMs = hasStart ? std::optional(startedUnixMs) : std::nullopt;
    departed.incarnation = reader.takeUnsigned();
    departed.sequence = reader.takeUnsigned();
    if (!hasStart) {
        // Proxies of earlier versions write 0; the process that acknowledged the departure had started before it.
        const auto processStart = static_cast<std::int64_t>(std::min(departed.incarnation, MaximumStart));
        departed.latestStartUnixMs = startedUnixMs == 0 ? processStart : startedUnixMs;
    }
    return departed;
}

void writeRecord(MsgpackWriter &writer, const MemberRecord &record)
{
    // Proxies of earlier versions refuse a record with an additional field, so that it is only written where it says something.
    writer.beginArray(RecordFields + (record.departed ? 1 : 0));
    writer.put(std::string_view(record.proxyId));
    writer.put(record.incarnation);
    writer.put(record.sequence);
    writer.putEnumerator(record.state);
    writer.put(std::string_view(record.address.ip));
    writer.put(std::uint64_t {record.address.port});
    // The two addresses have the same IP number nearly always.
    writer.put(std::string_view(record.controlAddress.ip == record.address.ip ? std::string_view() : record.controlAddress.ip));
    writer.put(std::uint64_t {record.controlAddress.port});
    writer.put(std::string_view(record.dataCentre));
    writer.put(std::string_view(record.region));
    writer.put(std::uint64_t {record.linkMbps});
    writeEndpoint(writer, record);
    if (record.departed) {
        writeDeparted(writer, *record.departed);
    }
}

MemberRecord takeRecord(MsgpackReader &reader)
{
    MemberRecord record;
    reader.takeArray([&](MsgpackReader &fields) {
        record.proxyId = fields.takeString();
        record.incarnation = fields.takeUnsigned();
        record.sequence = fields.takeUnsigned();
        record.state = fields.takeEnumerator(MemberState::Failed);
        record.address.ip = fields.takeString();
        record.address.port = static_cast<std::uint16_t>(fields.takeUnsigned(std::numeric_limits<std::uint16_t>::max()));
        record.controlAddress.ip = fields.takeString();
        record.controlAddress.port = static_cast<std::uint16_t>(fields.takeUnsigned(std::numeric_limits<std::uint16_t>::max()));
        if (record.controlAddress.ip.empty() && record.controlAddress.port != 0) {
            record.controlAddress.ip = record.address.ip;
        }
        record.dataCentre = fields.takeString();
        record.region = fields.takeString();
        record.linkMbps = static_cast<std::uint32_t>(fields.takeUnsigned(std::numeric_limits<std::uint32_t>::max()));
        takeEndpoint(fields, record);
        if (fields.hasMore()) {
            record.departed = fields.takeNested(takeDeparted);
        }
    });
    return record;
}

std::string encodeMemberRecord(const MemberRecord &record)
{
    MsgpackWriter writer;
    writeRecord(writer, record);
    return writer.take();
}

std::string encodeDepartedUpstream(const DepartedUpstream &departed)
{
    MsgpackWriter writer;
    writeDeparted(writer, departed);
    return writer.take();
}

Result<DepartedUpstream> tryDecodeDepartedUpstream(std::string_view bytes)
{
    DepartedUpstream departed;
    if (!readMsgpack(bytes, MaximumRecordBytes, [&](MsgpackReader &reader) { departed = takeDeparted(reader); })) {
        return Error {ErrorCode::FrameMalformed, "stored departure"};
    }
    return departed;
}

static std::string encodeSyncPart(MemberSyncKind kind, std::span<const MemberRecord> records)
{
    MsgpackWriter writer;
    writer.beginArray(2);
    writer.putEnumerator(kind);
    writer.beginArray(records.size());
    for (const MemberRecord &record : records) {
        writeRecord(writer, record);
    }
    return writer.take();
}

std::vector<std::string> encodeMemberSync(const MemberSync &sync, std::size_t maximumBytes)
{
    const std::span<const MemberRecord> records(sync.records);
    std::vector<std::string> parts;
    std::size_t begin = 0;
    std::size_t bytes = SyncOverheadBytes;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const std::size_t next = encodeMemberRecord(records[i]).size();
        if (bytes + next > maximumBytes && i > begin) {
            parts.push_back(encodeSyncPart(sync.kind, records.subspan(begin, i - begin)));
            begin = i;
            bytes = SyncOverheadBytes;
        }
        bytes += next;
    }
    parts.push_back(encodeSyncPart(sync.kind, records.subspan(begin)));
    return parts;
}

Result<MemberSync> tryDecodeMemberSync(std::string_view bytes)
{
    MemberSync sync;
    const bool isRead = readMsgpack(bytes, MaximumContentBytes, [&](MsgpackReader &reader) {
        sync.kind = reader.takeEnumerator(MemberSyncKind::ExchangeAnswer);
        reader.takeArray([&](MsgpackReader &list) { sync.records.push_back(takeRecord(list)); });
    });
    const bool isNamed =
        std::none_of(sync.records.begin(), sync.records.end(), [](const MemberRecord &record) { return record.proxyId.empty(); });
    if (!isRead || !isNamed) {
        return Error {ErrorCode::FrameMalformed, "membership sync"};
    }
    return sync;
}

void completeEndpoint(MemberRecord &record)
{
    if (!record.endpoint) {
        return;
    }
    record.endpoint->proxyId = record.proxyId;
    record.endpoint->dataCentre = record.dataCentre;
    record.endpoint->region = record.region;
    record.endpoint->proxyAddress = record.address;
}

} // namespace Fuchsiastep
