#include <LibMembership/ProbeCodec.h>

#include <LibMembership/CrashSuspectFields.h>
#include <LibMembership/MemberRecordFields.h>
#include <LibWire/DatagramSocket.h>

#include <algorithm>
#include <optional>

namespace Fuchsiastep {

namespace {

enum class ProbeKind : std::uint8_t {
    Ping = 1,
    PingRequest = 2,
    Ack = 3,
};

constexpr std::size_t CargoFields = 5;

void writeUpdate(MsgpackWriter &writer, const MemberUpdate &update)
{
    writer.beginArray(2);
    writeRecord(writer, update.record);
    writer.put(std::string_view(update.accuser));
}

void begin(MsgpackWriter &writer, ProbeKind kind, std::size_t fields, const ProbeCargo &cargo, std::uint64_t sequence)
{
    writer.beginArray(fields);
    writer.putEnumerator(kind);
    writer.beginArray(CargoFields);
    writer.put(std::string_view(cargo.senderId));
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
    writer.put(sequence);
}

MemberUpdate takeUpdate(MsgpackReader &reader)
{
    MemberUpdate update;
    reader.takeArray([&](MsgpackReader &fields) {
        update.record = takeRecord(fields);
        update.accuser = fields.takeString();
    });
    return update;
}

ProbeCargo takeCargo(MsgpackReader &reader)
{
    ProbeCargo cargo;
    reader.takeArray([&](MsgpackReader &fields) {
        cargo.senderId = fields.takeString();
        cargo.held.version = fields.takeUnsigned();
        cargo.held.digest = fields.takeDigest();
        fields.takeArray([&](MsgpackReader &list) { cargo.updates.push_back(takeUpdate(list)); });
        fields.takeArray([&](MsgpackReader &list) { cargo.crashSuspects.push_back(takeCrashSuspect(list)); });
    });
    return cargo;
}

bool isValid(const ProbeCargo &cargo)
{
    return !cargo.senderId.empty() && std::none_of(cargo.updates.begin(), cargo.updates.end(), [](const MemberUpdate &update) {
        return update.record.proxyId.empty();
    });
}

SocketAddress takeAddress(MsgpackReader &reader)
{
    SocketAddress address;
    address.ip = reader.takeString();
    address.port = static_cast<std::uint16_t>(reader.takeUnsigned(std::numeric_limits<std::uint16_t>::max()));
    return address;
}

/// Nothing where the kind of the probe is not known.
std::optional<ProbeDatagram> takeProbe(MsgpackReader &reader)
{
    const auto kind = static_cast<ProbeKind>(reader.takeUnsigned(std::numeric_limits<std::uint8_t>::max()));
    ProbeCargo cargo = takeCargo(reader);
    const std::uint64_t sequence = reader.takeUnsigned();
    std::string id = reader.takeString();
    if (!isValid(cargo)) {
        return std::nullopt;
    }
    switch (kind) {
    case ProbeKind::Ping:
        return Ping {std::move(cargo), sequence, std::move(id)};
    case ProbeKind::PingRequest:
        return PingRequest {std::move(cargo), sequence, std::move(id), takeAddress(reader)};
    case ProbeKind::Ack:
        return Ack {std::move(cargo), sequence, std::move(id)};
    }
    return std::nullopt;
}

} // namespace

std::string encodeProbe(const ProbeDatagram &datagram)
{
    MsgpackWriter writer;
    std::visit(Overloaded {
                   [&](const Ping &ping) {
                       begin(writer, ProbeKind::Ping, 4, ping.cargo, ping.sequence);
                       writer.put(std::string_view(ping.targetId));
                   },
                   [&](const PingRequest &request) {
                       begin(writer, ProbeKind::PingRequest, 6, request.cargo, request.sequence);
                       writer.put(std::string_view(request.targetId));
                       writer.put(std::string_view(request.target.ip));
                       writer.put(std::uint64_t {request.target.port});
                   },
                   [&](const Ack &ack) {
                       begin(writer, ProbeKind::Ack, 4, ack.cargo, ack.sequence);
                       writer.put(std::string_view(ack.subjectId));
                   },
               },
        datagram);
    return writer.take();
}

Result<ProbeDatagram> tryDecodeProbe(std::string_view bytes)
{
    std::optional<ProbeDatagram> probe;
    const bool isRead = readMsgpack(bytes, MaximumDatagramBytes, [&](MsgpackReader &reader) { probe = takeProbe(reader); });
    if (!isRead || !probe) {
        return Error {ErrorCode::FrameMalformed, "probe datagram"};
    }
    return std::move(*probe);
}

std::size_t encodedSize(const MemberUpdate &update)
{
    MsgpackWriter writer;
    writeUpdate(writer, update);
    return writer.take().size();
}

} // namespace Fuchsiastep
