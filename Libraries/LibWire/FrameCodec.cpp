#include <LibWire/FrameCodec.h>

#include <LibWire/FrameReader.h>
#include <LibWire/FrameWriter.h>

#include <exception>
#include <limits>

namespace Fuchsiastep {

namespace {

void readFields(FrameReader &reader, HelloFrame &frame)
{
    reader.takeAll(frame.protocol, frame.proxyId, frame.incarnation, frame.dataCentre);
}
void readFields(FrameReader &reader, RequestFrame &frame)
{
    reader.takeAll(frame.requestId, frame.service, frame.upstreamId, frame.caller, frame.method, frame.path, frame.headers);
    reader.takeAll(frame.key, frame.isRepeatable, frame.timeLeftMs, frame.isIsolated, frame.body);
    reader.takeAll(frame.selector, frame.targetLeftMs, frame.maximumWaitMs, frame.sentAtMs, frame.traceId);
    reader.takeAll(frame.workspace, frame.authorizedForMs);
}
void readFields(FrameReader &reader, AnswerFrame &frame)
{
    reader.takeAll(frame.requestId, frame.outcome, frame.code, frame.detail, frame.status);
    reader.takeAll(frame.headers, frame.load, frame.bodyLength, frame.body, frame.crashId);
}
void readFields(FrameReader &reader, AnswerPartFrame &frame)
{
    reader.takeAll(frame.requestId, frame.offset, frame.body, frame.isLast);
}
void readFields(FrameReader &reader, CancelFrame &frame)
{
    reader.takeAll(frame.requestId);
}
void readFields(FrameReader &reader, AnswerPartAckFrame &frame)
{
    reader.takeAll(frame.requestId, frame.end);
}
void readFields(FrameReader &reader, ConfigurationPushFrame &frame)
{
    reader.takeAll(frame.baseVersion, frame.targetVersion, frame.baseDigest, frame.targetDigest);
    reader.takeAll(frame.delta, frame.rangeBegin, frame.rangeEnd);
}
void readFields(FrameReader &reader, ConfigurationAckFrame &frame)
{
    reader.takeAll(frame.version, frame.isHeld);
}
void readFields(FrameReader &reader, ConfigurationPullFrame &frame)
{
    reader.takeAll(frame.versionHeld, frame.digestHeld);
}
void readFields(FrameReader &reader, ConfigurationSnapshotFrame &frame)
{
    reader.takeAll(frame.version, frame.digest, frame.content);
}
void readFields(FrameReader &reader, SnapshotDeferredFrame &frame)
{
    reader.takeAll(frame.retryAfterMs);
}
void readFields(FrameReader &reader, VersionNudgeFrame &frame)
{
    reader.takeAll(frame.version);
}
void readFields(FrameReader &reader, MembershipSyncFrame &frame)
{
    reader.takeAll(frame.records, frame.wantsAnswer);
}
void readFields(FrameReader &reader, CrashSuspectsFrame &frame)
{
    reader.takeAll(frame.entries, frame.revision);
}
void readFields(FrameReader &reader, CrashSuspectsAckFrame &frame)
{
    reader.takeAll(frame.revision);
}
void readFields(FrameReader & /*reader*/, CrashSuspectsQueryFrame & /*frame*/)
{ }
void readFields(FrameReader &reader, FleetReportFrame &frame)
{
    reader.takeAll(frame.sequence, frame.isBetweenDataCentres, frame.sections);
}
void readFields(FrameReader &reader, FleetReplyFrame &frame)
{
    reader.takeAll(frame.sequence, frame.sections);
}

template<typename T>
Result<Frame> tryReadFrame(FrameReader &reader)
{
    T frame;
    readFields(reader, frame);
    if (!reader.ok()) {
        return Error {ErrorCode::FrameMalformed, "a field has the wrong type or range"};
    }
    return Frame(std::move(frame));
}

Result<Frame> tryReadFrameOfType(FrameType type, FrameReader &reader)
{
    switch (type) {
    case FrameType::Hello:
        return tryReadFrame<HelloFrame>(reader);
    case FrameType::Request:
        return tryReadFrame<RequestFrame>(reader);
    case FrameType::Answer:
        return tryReadFrame<AnswerFrame>(reader);
    case FrameType::AnswerPart:
        return tryReadFrame<AnswerPartFrame>(reader);
    case FrameType::Cancel:
        return tryReadFrame<CancelFrame>(reader);
    case FrameType::AnswerPartAck:
        return tryReadFrame<AnswerPartAckFrame>(reader);
    case FrameType::ConfigurationPush:
        return tryReadFrame<ConfigurationPushFrame>(reader);
    case FrameType::ConfigurationAck:
        return tryReadFrame<ConfigurationAckFrame>(reader);
    case FrameType::ConfigurationPull:
        return tryReadFrame<ConfigurationPullFrame>(reader);
    case FrameType::ConfigurationSnapshot:
        return tryReadFrame<ConfigurationSnapshotFrame>(reader);
    case FrameType::SnapshotDeferred:
        return tryReadFrame<SnapshotDeferredFrame>(reader);
    case FrameType::VersionNudge:
        return tryReadFrame<VersionNudgeFrame>(reader);
    case FrameType::MembershipSync:
        return tryReadFrame<MembershipSyncFrame>(reader);
    case FrameType::CrashSuspects:
        return tryReadFrame<CrashSuspectsFrame>(reader);
    case FrameType::CrashSuspectsAck:
        return tryReadFrame<CrashSuspectsAckFrame>(reader);
    case FrameType::CrashSuspectsQuery:
        return tryReadFrame<CrashSuspectsQueryFrame>(reader);
    case FrameType::FleetReport:
        return tryReadFrame<FleetReportFrame>(reader);
    case FrameType::FleetReply:
        return tryReadFrame<FleetReplyFrame>(reader);
    }
    return Error {ErrorCode::FrameUnknownType, std::to_string(static_cast<unsigned>(type))};
}

Result<Frame> tryDecodeObject(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) {
        return Error {ErrorCode::FrameMalformed, "not a msgpack array"};
    }
    const msgpack::object_array &fields = object.via.array;
    FrameReader reader(fields);
    std::uint8_t number = 0;
    reader.take(number);
    if (!reader.ok()) {
        return Error {ErrorCode::FrameMalformed, "the type is not a number below 256"};
    }
    for (const FrameTypeInfo &info : frameTypeTable()) {
        if (static_cast<std::uint8_t>(info.type) == number) {
            if (fields.size != info.fieldCount) {
                return Error {ErrorCode::FrameMalformed, std::string(info.name) + ": wrong number of fields"};
            }
            return tryReadFrameOfType(info.type, reader);
        }
    }
    return Error {ErrorCode::FrameUnknownType, std::to_string(number)};
}

/// Strings are referenced in the received buffer and copied once, into the frame.
bool referenceBuffer(msgpack::type::object_type, std::size_t, void *)
{
    return true;
}

} // namespace

std::string encodeFrame(const Frame &frame)
{
    msgpack::sbuffer buffer;
    constexpr std::array<char, FrameHeaderBytes> Placeholder {};
    buffer.write(Placeholder.data(), Placeholder.size());
    FrameWriter writer(buffer);
    std::visit([&](const auto &content) { writer.write(content); }, frame);

    std::string bytes(buffer.data(), buffer.size());
    const auto length = static_cast<std::uint32_t>(bytes.size() - FrameHeaderBytes);
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i) {
        bytes[i] = static_cast<char>((length >> (8 * (FrameHeaderBytes - 1 - i))) & 0xff);
    }
    return bytes;
}

Result<Frame> tryDecodeFrame(std::string_view body)
{
    constexpr std::size_t MaximumItems = 4096;
    constexpr std::size_t MaximumNesting = 4;
    // The limits keep a short hostile body from asking for a large allocation.
    const msgpack::unpack_limit limit(MaximumItems, MaximumItems, MaximumFrameBytes, MaximumFrameBytes, 0, MaximumNesting);
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(body.data(), body.size(), offset, referenceBuffer, nullptr, limit);
        if (offset != body.size()) {
            return Error {ErrorCode::FrameMalformed, "bytes after the msgpack value"};
        }
        return tryDecodeObject(handle.get());
    } catch (const std::exception &exception) {
        return Error {ErrorCode::FrameMalformed, exception.what()};
    }
}

} // namespace Fuchsiastep
