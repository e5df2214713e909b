#include <LibMembership/MemberRecordCodec.h>

#include <LibMembership/MemberRecordFields.h>

namespace Fuchsiastep {

static constexpr std::size_t RecordFields = 9;
static constexpr std::size_t EndpointFields = 7;
/// Bytes of a MembershipSync content beside its records.
static constexpr std::size_t SyncOverheadBytes = 16;

static void writeEndpoint(FieldWriter &writer, const MemberRecord &record)
{
    const Endpoint &endpoint = *record.endpoint;
    writer.beginArray(EndpointFields);
    writer.put(endpoint.upstreamId);
    writer.put(endpoint.service);
    // The incarnation of the process, as the difference that refutations made; mostly 0.
    writer.put(record.incarnation - endpoint.incarnation);
    writer.beginMap(endpoint.labels.size());
    for (const auto &[name, value] : endpoint.labels) {
        writer.put(name);
        writer.put(value);
    }
    writer.put(std::uint64_t {endpoint.slots});
    writer.put(endpoint.isDraining);
    writer.put(std::uint64_t {endpoint.ageMsWhenSeen});
}

static bool readEndpoint(const msgpack::object &object, MemberRecord &record)
{
    FieldReader reader(object, EndpointFields, EndpointFields);
    Endpoint endpoint;
    std::uint64_t refutations = 0;
    reader.take(endpoint.upstreamId);
    reader.take(endpoint.service);
    reader.takeNumber(refutations);
    reader.take(endpoint.labels);
    reader.takeNumber(endpoint.slots);
    reader.take(endpoint.isDraining);
    reader.takeNumber(endpoint.ageMsWhenSeen);
    endpoint.incarnation = record.incarnation - refutations;
    record.endpoint = std::move(endpoint);
    completeEndpoint(record);
    return reader.ok();
}

void writeRecord(FieldWriter &writer, const MemberRecord &record)
{
    writer.beginArray(RecordFields);
    writer.put(record.proxyId);
    writer.put(record.incarnation);
    writer.put(record.sequence);
    writer.put(static_cast<std::uint64_t>(record.state));
    writer.put(record.address.ip);
    writer.put(std::uint64_t {record.address.port});
    writer.put(record.dataCentre);
    writer.put(record.region);
    if (record.endpoint) {
        writeEndpoint(writer, record);
    } else {
        writer.putNil();
    }
}

bool readRecord(const msgpack::object &object, MemberRecord &record)
{
    FieldReader reader(object, RecordFields, RecordFields);
    reader.take(record.proxyId);
    reader.takeNumber(record.incarnation);
    reader.takeNumber(record.sequence);
    reader.takeEnumerator(record.state, MemberState::Failed);
    reader.take(record.address.ip);
    reader.takeNumber(record.address.port);
    reader.take(record.dataCentre);
    reader.take(record.region);
    const msgpack::object *endpoint = reader.next();
    if (!reader.ok() || record.proxyId.empty()) {
        return false;
    }
    return endpoint->type == msgpack::type::NIL || readEndpoint(*endpoint, record);
}

std::string encodeMemberRecord(const MemberRecord &record)
{
    FieldWriter writer;
    writeRecord(writer, record);
    return writer.bytes();
}

Result<MemberRecord> tryDecodeMemberRecord(std::string_view bytes)
{
    return tryUnpack<MemberRecord>(bytes, [](const msgpack::object &object) -> Result<MemberRecord> {
        MemberRecord record;
        if (!readRecord(object, record)) {
            return Error {ErrorCode::FrameMalformed, "member record"};
        }
        return record;
    });
}

static std::string encodeSyncPart(MemberSyncKind kind, const std::vector<std::string> &records)
{
    FieldWriter writer;
    writer.beginArray(2);
    writer.put(static_cast<std::uint64_t>(kind));
    writer.beginArray(records.size());
    for (const std::string &record : records) {
        writer.putPacked(record);
    }
    return writer.bytes();
}

std::vector<std::string> encodeMemberSync(const MemberSync &sync, std::size_t maximumBytes)
{
    std::vector<std::string> parts;
    std::vector<std::string> packed;
    std::size_t bytes = SyncOverheadBytes;
    for (const MemberRecord &record : sync.records) {
        std::string next = encodeMemberRecord(record);
        if (bytes + next.size() > maximumBytes && !packed.empty()) {
            parts.push_back(encodeSyncPart(sync.kind, packed));
            packed.clear();
            bytes = SyncOverheadBytes;
        }
        bytes += next.size();
        packed.push_back(std::move(next));
    }
    if (!packed.empty() || parts.empty()) {
        parts.push_back(encodeSyncPart(sync.kind, packed));
    }
    return parts;
}

static Result<MemberSync> tryReadSync(const msgpack::object &object)
{
    MemberSync sync;
    FieldReader reader(object, 2, 2);
    reader.takeEnumerator(sync.kind, MemberSyncKind::ExchangeAnswer);
    const msgpack::object *list = reader.next();
    if (!reader.ok() || list->type != msgpack::type::ARRAY) {
        return Error {ErrorCode::FrameMalformed, "membership sync"};
    }
    for (std::uint32_t i = 0; i < list->via.array.size; ++i) {
        MemberRecord record;
        if (!readRecord(list->via.array.ptr[i], record)) {
            return Error {ErrorCode::FrameMalformed, "member record " + std::to_string(i)};
        }
        sync.records.push_back(std::move(record));
    }
    return sync;
}

Result<MemberSync> tryDecodeMemberSync(std::string_view bytes)
{
    return tryUnpack<MemberSync>(bytes, tryReadSync);
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
