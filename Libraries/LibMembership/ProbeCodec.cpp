#include <LibMembership/ProbeCodec.h>

#include <LibMembership/MemberRecordFields.h>
#include <LibWire/DatagramSocket.h>

namespace Fuchsiastep {

namespace {

enum class ProbeKind : std::uint8_t {
    Ping = 1,
    PingRequest = 2,
    Ack = 3,
};

constexpr std::size_t CargoFields = 5;
constexpr std::size_t CrashSuspectFields = 4;

void writeUpdate(FieldWriter &writer, const MemberUpdate &update)
{
    writer.beginArray(update.accuser.empty() ? 1 : 2);
    writeRecord(writer, update.record);
    if (!update.accuser.empty()) {
        writer.put(update.accuser);
    }
}

void writeCrashSuspect(FieldWriter &writer, const CrashSuspectEntry &entry)
{
    writer.beginArray(CrashSuspectFields);
    writer.put(entry.fingerprint);
    writer.put(std::uint64_t {entry.count});
    writer.put(static_cast<std::uint64_t>(entry.unixMilliseconds));
    writer.put(entry.isBlamed);
}

void writeCargo(FieldWriter &writer, const ProbeCargo &cargo)
{
    writer.beginArray(CargoFields);
    writer.put(cargo.senderId);
    writer.put(std::uint64_t {cargo.held.version});
    writer.put(cargo.held.digest);
    writer.beginArray(cargo.updates.size());
    for (const MemberUpdate &update : cargo.updates) {
        writeUpdate(writer, update);
    }
    writer.beginArray(cargo.crashSuspects.size());
    for (const CrashSuspectEntry &entry : cargo.crashSuspects) {
        writeCrashSuspect(writer, entry);
    }
}

void begin(FieldWriter &writer, ProbeKind kind, std::size_t fields, const ProbeCargo &cargo, std::uint64_t sequence)
{
    writer.beginArray(fields);
    writer.put(static_cast<std::uint64_t>(kind));
    writeCargo(writer, cargo);
    writer.put(sequence);
}

bool readUpdate(const msgpack::object &object, MemberUpdate &update)
{
    FieldReader reader(object, 1, 2);
    const msgpack::object *record = reader.next();
    if (record == nullptr || !readRecord(*record, update.record)) {
        return false;
    }
    if (!reader.isAtEnd()) {
        reader.take(update.accuser);
    }
    return reader.ok();
}

bool readCrashSuspect(const msgpack::object &object, CrashSuspectEntry &entry)
{
    FieldReader reader(object, CrashSuspectFields, CrashSuspectFields);
    reader.takeNumber(entry.fingerprint);
    reader.takeNumber(entry.count);
    reader.takeNumber(entry.unixMilliseconds);
    reader.take(entry.isBlamed);
    return reader.ok();
}

template<typename Item, typename Read>
void readList(FieldReader &reader, std::vector<Item> &items, Read read)
{
    const msgpack::object *list = reader.next();
    if (list == nullptr || list->type != msgpack::type::ARRAY) {
        reader.fail();
        return;
    }
    for (std::uint32_t i = 0; i < list->via.array.size; ++i) {
        Item item;
        if (!read(list->via.array.ptr[i], item)) {
            reader.fail();
            return;
        }
        items.push_back(std::move(item));
    }
}

void readCargo(FieldReader &datagram, ProbeCargo &cargo)
{
    const msgpack::object *object = datagram.next();
    if (object == nullptr) {
        return;
    }
    FieldReader reader(*object, CargoFields, CargoFields);
    reader.take(cargo.senderId);
    reader.takeNumber(cargo.held.version);
    reader.take(cargo.held.digest);
    readList(reader, cargo.updates, readUpdate);
    readList(reader, cargo.crashSuspects, readCrashSuspect);
    if (!reader.ok()) {
        datagram.fail();
    }
}

template<typename Datagram>
Result<ProbeDatagram> tryFinish(const FieldReader &reader, Datagram datagram)
{
    if (!reader.ok() || !reader.isAtEnd()) {
        return Error {ErrorCode::FrameMalformed, "a field of the probe has the wrong type or range"};
    }
    return ProbeDatagram(std::move(datagram));
}

Result<ProbeDatagram> tryReadProbe(const msgpack::object &object)
{
    constexpr std::size_t LeastFields = 4;
    constexpr std::size_t MostFields = 6;
    FieldReader reader(object, LeastFields, MostFields);
    std::uint8_t kind = 0;
    ProbeCargo cargo;
    std::uint64_t sequence = 0;
    std::string id;
    reader.takeNumber(kind);
    readCargo(reader, cargo);
    reader.takeNumber(sequence);
    reader.take(id);
    switch (static_cast<ProbeKind>(kind)) {
    case ProbeKind::Ping:
        return tryFinish(reader, Ping {std::move(cargo), sequence, std::move(id)});
    case ProbeKind::Ack:
        return tryFinish(reader, Ack {std::move(cargo), sequence, std::move(id)});
    case ProbeKind::PingRequest:
        break;
    default:
        return Error {ErrorCode::FrameMalformed, "unknown kind of probe"};
    }
    SocketAddress target;
    reader.take(target.ip);
    reader.takeNumber(target.port);
    return tryFinish(reader, PingRequest {std::move(cargo), sequence, std::move(id), std::move(target)});
}

} // namespace

std::string encodeProbe(const ProbeDatagram &datagram)
{
    FieldWriter writer;
    std::visit(Overloaded {
                   [&](const Ping &ping) {
                       begin(writer, ProbeKind::Ping, 4, ping.cargo, ping.sequence);
                       writer.put(ping.targetId);
                   },
                   [&](const PingRequest &request) {
                       begin(writer, ProbeKind::PingRequest, 6, request.cargo, request.sequence);
                       writer.put(request.targetId);
                       writer.put(request.target.ip);
                       writer.put(std::uint64_t {request.target.port});
                   },
                   [&](const Ack &ack) {
                       begin(writer, ProbeKind::Ack, 4, ack.cargo, ack.sequence);
                       writer.put(ack.subjectId);
                   },
               },
        datagram);
    return writer.bytes();
}

Result<ProbeDatagram> tryDecodeProbe(std::string_view bytes)
{
    if (bytes.size() > MaximumDatagramBytes) {
        return Error {ErrorCode::FrameMalformed, "the probe is longer than a datagram may be"};
    }
    return tryUnpack<ProbeDatagram>(bytes, tryReadProbe);
}

std::size_t encodedSize(const MemberUpdate &update)
{
    FieldWriter writer;
    writeUpdate(writer, update);
    return writer.bytes().size();
}

std::size_t encodedSize(const CrashSuspectEntry &entry)
{
    FieldWriter writer;
    writeCrashSuspect(writer, entry);
    return writer.bytes().size();
}

} // namespace Fuchsiastep
