#include <LibConfiguration/MsgpackReader.h>

namespace Fuchsiastep {

MsgpackReader::MsgpackReader(const msgpack::object &object) : m_isOk(object.type == msgpack::type::ARRAY)
{
    if (m_isOk) {
        m_items = object.via.array.ptr;
        m_size = object.via.array.size;
    }
}

const msgpack::object *MsgpackReader::next()
{
    if (!hasMore()) {
        m_isOk = false;
        return nullptr;
    }
    return &m_items[m_position++];
}

MsgpackReader MsgpackReader::nested()
{
    const msgpack::object *item = next();
    return MsgpackReader(item != nullptr ? *item : msgpack::object());
}

std::uint64_t MsgpackReader::takeUnsigned(std::uint64_t maximum)
{
    const msgpack::object *item = next();
    if (item == nullptr || item->type != msgpack::type::POSITIVE_INTEGER || item->via.u64 > maximum) {
        m_isOk = false;
        return 0;
    }
    return item->via.u64;
}

std::int64_t MsgpackReader::takeSigned(std::int64_t minimum, std::int64_t maximum)
{
    const msgpack::object *item = next();
    std::int64_t value = 0;
    if (item != nullptr && item->type == msgpack::type::NEGATIVE_INTEGER) {
        value = item->via.i64;
    } else if (item != nullptr && item->type == msgpack::type::POSITIVE_INTEGER
        && item->via.u64 <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
        value = static_cast<std::int64_t>(item->via.u64);
    } else {
        m_isOk = false;
    }
    if (value < minimum || value > maximum) {
        m_isOk = false;
        return 0;
    }
    return value;
}

bool MsgpackReader::takeBool()
{
    const msgpack::object *item = next();
    m_isOk = item != nullptr && item->type == msgpack::type::BOOLEAN;
    return m_isOk && item->via.boolean;
}

std::string MsgpackReader::bytesOf(const msgpack::object &field)
{
    if (field.type != msgpack::type::BIN) {
        m_isOk = false;
        return {};
    }
    return {field.via.bin.ptr, field.via.bin.size};
}

std::string MsgpackReader::takeString()
{
    const msgpack::object *item = next();
    return item != nullptr ? bytesOf(*item) : std::string();
}

Digest MsgpackReader::takeDigest()
{
    MsgpackReader inner = nested();
    Digest digest;
    for (std::uint64_t &lane : digest.lanes) {
        lane = inner.takeUnsigned();
    }
    check(inner);
    return digest;
}

std::vector<Digest> MsgpackReader::takeDigests()
{
    std::vector<Digest> digests;
    MsgpackReader inner = nested();
    while (inner.hasMore()) {
        digests.push_back(inner.takeDigest());
    }
    check(inner);
    return digests;
}

Labels MsgpackReader::takeLabels()
{
    Labels labels;
    const msgpack::object *item = next();
    if (item == nullptr || item->type != msgpack::type::MAP) {
        m_isOk = false;
        return labels;
    }
    for (std::uint32_t i = 0; i < item->via.map.size && m_isOk; ++i) {
        const msgpack::object_kv &pair = item->via.map.ptr[i];
        labels[bytesOf(pair.key)] = bytesOf(pair.val);
    }
    return labels;
}

std::vector<std::string> MsgpackReader::takeStrings()
{
    std::vector<std::string> strings;
    takeArray([&](MsgpackReader &inner) { strings.push_back(inner.takeString()); });
    return strings;
}

ObjectName MsgpackReader::takeObjectName()
{
    MsgpackReader inner = nested();
    ObjectName name;
    name.kind = inner.takeEnumerator(ObjectKind::Workspace);
    name.name = inner.takeString();
    check(inner);
    return name;
}

RouteRules MsgpackReader::takeRules()
{
    MsgpackReader inner = nested();
    RouteRules rules;
    rules.timeout = Duration(inner.takeSigned(0, std::numeric_limits<std::int64_t>::max()));
    rules.repeatableMethods = inner.takeStrings();
    rules.isKeyRequired = inner.takeBool();
    rules.maximumRetries = static_cast<std::uint32_t>(inner.takeUnsigned(std::numeric_limits<std::uint32_t>::max()));
    rules.priority = inner.takeEnumerator(RequestPriority::High);
    rules.locality = inner.takeEnumerator(LocalityPreference::Fastest);
    rules.targetLatency = Duration(inner.takeSigned(0, std::numeric_limits<std::int64_t>::max()));
    rules.repeatability = inner.takeEnumerator(Repeatability::Never);
    rules.isPublic = inner.hasMore() && inner.takeBool();
    check(inner);
    return rules;
}

static ServiceDeclaration readService(MsgpackReader &reader)
{
    ServiceDeclaration service;
    service.name = reader.takeString();
    service.labels = reader.takeLabels();
    return service;
}

static UpstreamLabels readUpstream(MsgpackReader &reader)
{
    UpstreamLabels upstream;
    upstream.upstreamId = reader.takeString();
    upstream.service = reader.takeString();
    upstream.labels = reader.takeLabels();
    return upstream;
}

static Selector readSelector(MsgpackReader &reader)
{
    Selector selector;
    selector.name = reader.takeString();
    selector.callers = reader.takeLabels();
    selector.service = reader.takeString();
    selector.upstreams = reader.takeLabels();
    selector.methods = reader.takeStrings();
    selector.pathPrefix = reader.takeString();
    selector.precedence =
        static_cast<std::int32_t>(reader.takeSigned(std::numeric_limits<std::int32_t>::min(), std::numeric_limits<std::int32_t>::max()));
    selector.host = reader.takeString();
    selector.weight = static_cast<std::uint32_t>(reader.takeUnsigned(std::numeric_limits<std::uint32_t>::max()));
    selector.rules = reader.takeRules();
    return selector;
}

static Workspace readWorkspace(MsgpackReader &reader)
{
    Workspace workspace;
    workspace.name = reader.takeString();
    workspace.keys = reader.takeDigests();
    const std::uint64_t priority = reader.takeUnsigned(static_cast<std::uint64_t>(RequestPriority::High) + 1);
    if (priority > 0) {
        workspace.priority = static_cast<RequestPriority>(priority - 1);
    }
    workspace.milliRequestsPerSecond = reader.takeUnsigned();
    workspace.burst = reader.takeUnsigned();
    return workspace;
}

DeclaredObject MsgpackReader::takeObject()
{
    MsgpackReader inner = nested();
    DeclaredObject object;
    switch (inner.takeEnumerator(ObjectKind::Workspace)) {
    case ObjectKind::Service:
        object = readService(inner);
        break;
    case ObjectKind::Upstream:
        object = readUpstream(inner);
        break;
    case ObjectKind::Selector:
        object = readSelector(inner);
        break;
    case ObjectKind::Workspace:
        object = readWorkspace(inner);
        break;
    }
    check(inner);
    return object;
}

void MsgpackReader::takeArray(const std::function<void(MsgpackReader &)> &read)
{
    MsgpackReader inner = nested();
    while (inner.hasMore()) {
        read(inner);
    }
    check(inner);
}

/// Strings are referenced in the received buffer and copied once, into the result.
static bool referenceBuffer(msgpack::type::object_type, std::size_t, void *)
{
    return true;
}

bool readMsgpack(std::string_view bytes, std::size_t maximumBytes, const std::function<void(MsgpackReader &)> &read)
{
    constexpr std::size_t MaximumNesting = 8;
    if (bytes.empty() || bytes.size() > maximumBytes) {
        return false;
    }
    // Each item takes at least one byte, so a short hostile text cannot ask for a large allocation.
    const std::size_t items = bytes.size();
    const msgpack::unpack_limit limit(items, items, items, items, 0, MaximumNesting);
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, referenceBuffer, nullptr, limit);
        if (offset != bytes.size()) {
            return false;
        }
        MsgpackReader reader(handle.get());
        read(reader);
        return reader.isComplete();
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace Fuchsiastep
