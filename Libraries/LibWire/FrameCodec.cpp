#include <LibWire/FrameCodec.h>

#include <LibWire/FrameType.h>

#include <msgpack.hpp>

#include <exception>
#include <limits>

namespace Fuchsiastep {

namespace {

/// Appends the fields of frames to one msgpack array.
class FrameWriter
{
public:
    explicit FrameWriter(msgpack::sbuffer &buffer) : m_packer(buffer)
    { }

    void begin(FrameType type)
    {
        for (const FrameTypeInfo &info : frameTypeTable()) {
            if (info.type == type) {
                m_packer.pack_array(info.fieldCount);
            }
        }
        put(static_cast<std::uint64_t>(type));
    }
    void put(std::uint64_t value)
    {
        m_packer.pack_uint64(value);
    }
    void put(std::uint32_t value)
    {
        m_packer.pack_uint32(value);
    }
    void put(bool value)
    {
        value ? m_packer.pack_true() : m_packer.pack_false();
    }
    void put(const std::string &value)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(value.size()));
        m_packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }
    void put(const HeaderList &headers)
    {
        m_packer.pack_map(static_cast<std::uint32_t>(headers.size()));
        for (const auto &[name, value] : headers) {
            put(name);
            put(value);
        }
    }
    void put(const Digest &digest)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(digest.lanes.size()));
        for (const std::uint64_t lane : digest.lanes) {
            put(lane);
        }
    }
    void put(const LoadReport &load)
    {
        m_packer.pack_array(4);
        put(load.slots);
        put(load.slotsInUse);
        put(load.queued);
        put(load.reportedPermille);
    }

    void write(const HelloFrame &frame)
    {
        begin(FrameType::Hello);
        put(frame.protocol);
        put(frame.proxyId);
        put(frame.incarnation);
        put(frame.dataCentre);
    }
    void write(const RequestFrame &frame)
    {
        begin(FrameType::Request);
        put(frame.requestId);
        put(frame.service);
        put(frame.upstreamId);
        put(frame.caller);
        put(frame.method);
        put(frame.path);
        put(frame.headers);
        put(frame.key);
        put(frame.isRepeatable);
        put(frame.timeLeftMs);
        put(frame.isIsolated);
        put(frame.body);
    }
    void write(const AnswerFrame &frame)
    {
        begin(FrameType::Answer);
        put(frame.requestId);
        put(static_cast<std::uint32_t>(frame.outcome));
        put(static_cast<std::uint32_t>(frame.code));
        put(frame.detail);
        put(static_cast<std::uint32_t>(frame.status));
        put(frame.headers);
        put(frame.load);
        put(frame.bodyLength);
        put(frame.body);
    }
    void write(const AnswerPartFrame &frame)
    {
        begin(FrameType::AnswerPart);
        put(frame.requestId);
        put(frame.offset);
        put(frame.body);
        put(frame.isLast);
    }
    void write(const CancelFrame &frame)
    {
        begin(FrameType::Cancel);
        put(frame.requestId);
    }
    void write(const ConfigurationPushFrame &frame)
    {
        begin(FrameType::ConfigurationPush);
        put(frame.baseVersion);
        put(frame.targetVersion);
        put(frame.baseDigest);
        put(frame.targetDigest);
        put(frame.delta);
        put(frame.rangeBegin);
        put(frame.rangeEnd);
    }
    void write(const ConfigurationAckFrame &frame)
    {
        begin(FrameType::ConfigurationAck);
        put(frame.version);
        put(frame.isHeld);
    }
    void write(const ConfigurationPullFrame &frame)
    {
        begin(FrameType::ConfigurationPull);
        put(frame.versionHeld);
        put(frame.digestHeld);
    }
    void write(const ConfigurationSnapshotFrame &frame)
    {
        begin(FrameType::ConfigurationSnapshot);
        put(frame.version);
        put(frame.digest);
        put(frame.content);
    }
    void write(const SnapshotDeferredFrame &frame)
    {
        begin(FrameType::SnapshotDeferred);
        put(frame.retryAfterMs);
    }
    void write(const VersionNudgeFrame &frame)
    {
        begin(FrameType::VersionNudge);
        put(frame.version);
    }
    void write(const MembershipSyncFrame &frame)
    {
        begin(FrameType::MembershipSync);
        put(frame.records);
        put(frame.wantsAnswer);
    }

private:
    msgpack::packer<msgpack::sbuffer> m_packer;
};

/// Reads the fields of one msgpack array in order. Once a field has the wrong type, ok() stays false.
class FrameReader
{
public:
    explicit FrameReader(const msgpack::object_array &fields) : m_fields(fields)
    { }

    bool ok() const
    {
        return m_isOk;
    }

    template<typename Number>
    requires std::is_integral_v<Number> &&(!std::is_same_v<Number, bool>)void take(Number &value)
    {
        const msgpack::object *field = next(msgpack::type::POSITIVE_INTEGER);
        if (field == nullptr || field->via.u64 > std::numeric_limits<Number>::max()) {
            m_isOk = false;
            return;
        }
        value = static_cast<Number>(field->via.u64);
    }
    void take(bool &value)
    {
        const msgpack::object *field = next(msgpack::type::BOOLEAN);
        value = field != nullptr && field->via.boolean;
    }
    void take(std::string &value)
    {
        readBytes(next(msgpack::type::BIN), value);
    }
    void take(HeaderList &headers)
    {
        const msgpack::object *field = next(msgpack::type::MAP);
        if (field == nullptr) {
            return;
        }
        for (std::uint32_t i = 0; i < field->via.map.size; ++i) {
            const msgpack::object_kv &pair = field->via.map.ptr[i];
            std::string name;
            readBytes(&pair.key, name);
            readBytes(&pair.val, headers[name]);
        }
    }
    void take(Digest &digest)
    {
        const msgpack::object *field = next(msgpack::type::ARRAY);
        if (field == nullptr || field->via.array.size != digest.lanes.size()) {
            m_isOk = false;
            return;
        }
        FrameReader lanes(field->via.array);
        for (std::uint64_t &lane : digest.lanes) {
            lanes.take(lane);
        }
        m_isOk = m_isOk && lanes.ok();
    }
    void take(LoadReport &load)
    {
        const msgpack::object *field = next(msgpack::type::ARRAY);
        if (field == nullptr || field->via.array.size != 4) {
            m_isOk = false;
            return;
        }
        FrameReader numbers(field->via.array);
        numbers.take(load.slots);
        numbers.take(load.slotsInUse);
        numbers.take(load.queued);
        numbers.take(load.reportedPermille);
        m_isOk = m_isOk && numbers.ok();
    }
    void take(RequestOutcome &outcome)
    {
        std::uint8_t number = 0;
        take(number);
        if (number > static_cast<std::uint8_t>(RequestOutcome::Unknown)) {
            m_isOk = false;
            return;
        }
        outcome = static_cast<RequestOutcome>(number);
    }
    void take(ErrorCode &code)
    {
        std::uint16_t number = 0;
        take(number);
        code = static_cast<ErrorCode>(number);
    }

    template<typename... Fields>
    void takeAll(Fields &...fields)
    {
        (take(fields), ...);
    }

private:
    const msgpack::object *next(msgpack::type::object_type type)
    {
        if (!m_isOk || m_position >= m_fields.size || m_fields.ptr[m_position].type != type) {
            m_isOk = false;
            return nullptr;
        }
        return &m_fields.ptr[m_position++];
    }
    void readBytes(const msgpack::object *field, std::string &value)
    {
        if (field == nullptr || field->type != msgpack::type::BIN) {
            m_isOk = false;
            return;
        }
        value.assign(field->via.bin.ptr, field->via.bin.size);
    }

    const msgpack::object_array &m_fields;
    std::uint32_t m_position = 0;
    bool m_isOk = true;
};

void readFields(FrameReader &reader, HelloFrame &frame)
{
    reader.takeAll(frame.protocol, frame.proxyId, frame.incarnation, frame.dataCentre);
}
void readFields(FrameReader &reader, RequestFrame &frame)
{
    reader.takeAll(frame.requestId, frame.service, frame.upstreamId, frame.caller, frame.method, frame.path, frame.headers);
    reader.takeAll(frame.key, frame.isRepeatable, frame.timeLeftMs, frame.isIsolated, frame.body);
}
void readFields(FrameReader &reader, AnswerFrame &frame)
{
    reader.takeAll(frame.requestId, frame.outcome, frame.code, frame.detail, frame.status);
    reader.takeAll(frame.headers, frame.load, frame.bodyLength, frame.body);
}
void readFields(FrameReader &reader, AnswerPartFrame &frame)
{
    reader.takeAll(frame.requestId, frame.offset, frame.body, frame.isLast);
}
void readFields(FrameReader &reader, CancelFrame &frame)
{
    reader.takeAll(frame.requestId);
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
