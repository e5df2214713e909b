#include <LibPlatform/PlatformCodec.h>

#include <glib.h>
#include <msgpack.hpp>

#include <exception>
#include <limits>

namespace Fuchsiastep {

static constexpr std::string_view ReadPath = "/v1/table/read";
static constexpr std::string_view ScanPath = "/v1/table/scan";
static constexpr std::string_view WatchPath = "/v1/table/watch";
static constexpr std::string_view TransactionPath = "/v1/table/transaction";
static constexpr std::string_view ObjectPathPrefix = "/v1/objects/";

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusBadRequest = 400;
static constexpr unsigned StatusNotFound = 404;
static constexpr unsigned StatusConflict = 409;
static constexpr unsigned StatusGone = 410;
static constexpr unsigned StatusUnavailable = 503;

/// A body may hold at most this many items, so that a short body cannot announce a huge array.
static constexpr std::size_t MaximumItems = 10'000;
static constexpr std::size_t MaximumDepth = 8;

using Packer = msgpack::packer<msgpack::sbuffer>;

static void packText(Packer &packer, std::string_view text)
{
    packer.pack_bin(static_cast<std::uint32_t>(text.size()));
    packer.pack_bin_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

static void packRows(Packer &packer, const std::vector<Row> &rows)
{
    packer.pack_array(static_cast<std::uint32_t>(rows.size()));
    for (const Row &row : rows) {
        packer.pack_array(3);
        packText(packer, row.key);
        packer.pack_uint64(row.revision);
        packText(packer, row.value);
    }
}

static void packContent(Packer &packer, const ReadRows &request)
{
    packer.pack_array(static_cast<std::uint32_t>(request.keys.size()));
    for (const std::string &key : request.keys) {
        packText(packer, key);
    }
}

static void packContent(Packer &packer, const ScanRows &request)
{
    packer.pack_array(3);
    packText(packer, request.prefix);
    packText(packer, request.startAfter);
    packer.pack_uint32(request.limit);
}

static void packContent(Packer &packer, const Transaction &request)
{
    packer.pack_array(2);
    packer.pack_array(static_cast<std::uint32_t>(request.conditions.size()));
    for (const RowCondition &condition : request.conditions) {
        packer.pack_array(2);
        packText(packer, condition.key);
        packer.pack_uint64(condition.expectedRevision);
    }
    packer.pack_array(static_cast<std::uint32_t>(request.writes.size()));
    for (const RowWrite &write : request.writes) {
        packer.pack_array(2);
        packText(packer, write.key);
        if (write.value) {
            packText(packer, *write.value);
        } else {
            packer.pack_nil();
        }
    }
}

static void packContent(Packer &packer, const WatchRows &request)
{
    packer.pack_array(3);
    packText(packer, request.prefix);
    packer.pack_uint64(request.afterRevision);
    packer.pack_uint64(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(request.wait).count()));
}

static void packContent(Packer &packer, const RowsChanged &response)
{
    packer.pack_array(2);
    packRows(packer, response.rows);
    packer.pack_uint64(response.revision);
}

static void packContent(Packer &packer, const Rows &response)
{
    packRows(packer, response.rows);
}

static void packContent(Packer &packer, const Committed &response)
{
    packer.pack_array(1);
    packer.pack_uint64(response.revision);
}

static void packContent(Packer &packer, const Conflict &response)
{
    packRows(packer, response.currentRows);
}

static void packContent(Packer &packer, const Error &error)
{
    packer.pack_array(2);
    packer.pack_uint32(static_cast<std::uint32_t>(error.code));
    packText(packer, error.detail);
}

template<typename Content>
static std::string packed(const Content &content)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packContent(packer, content);
    return {buffer.data(), buffer.size()};
}

/// An object name may hold any byte but NUL, and "/" separates path segments, so all is encoded.
static std::string objectPath(const std::string &name)
{
    char *escaped = g_uri_escape_bytes(reinterpret_cast<const guint8 *>(name.data()), name.size(), nullptr);
    std::string path = std::string(ObjectPathPrefix) + escaped;
    g_free(escaped);
    return path;
}

/// Nothing where \a path is not a valid encoding of one segment.
static std::optional<std::string> objectName(std::string_view path)
{
    const std::string segment(path.substr(ObjectPathPrefix.size()));
    if (segment.empty() || segment.find('/') != std::string::npos) {
        return std::nullopt;
    }
    GBytes *bytes = g_uri_unescape_bytes(segment.data(), static_cast<gssize>(segment.size()), nullptr, nullptr);
    if (bytes == nullptr) {
        return std::nullopt;
    }
    gsize size = 0;
    const auto *data = static_cast<const char *>(g_bytes_get_data(bytes, &size));
    std::string name(size == 0 ? "" : data, size);
    g_bytes_unref(bytes);
    return name;
}

PlatformHttpRequest encodePlatformRequest(const PlatformRequest &request)
{
    return std::visit(Overloaded {
                          [](const ReadRows &content) {
                              return PlatformHttpRequest {"POST", std::string(ReadPath), packed(content)};
                          },
                          [](const ScanRows &content) {
                              return PlatformHttpRequest {"POST", std::string(ScanPath), packed(content)};
                          },
                          [](const Transaction &content) {
                              return PlatformHttpRequest {"POST", std::string(TransactionPath), packed(content)};
                          },
                          [](const GetObject &content) {
                              return PlatformHttpRequest {"GET", objectPath(content.name), {}};
                          },
                          [](const PutObject &content) {
                              return PlatformHttpRequest {"PUT", objectPath(content.name), content.content};
                          },
                          [](const WatchRows &content) {
                              return PlatformHttpRequest {"POST", std::string(WatchPath), packed(content)};
                          },
                      },
        request);
}

PlatformHttpAnswer encodePlatformResponse(const PlatformResponse &response)
{
    return std::visit(Overloaded {
                          [](const Rows &content) {
                              return PlatformHttpAnswer {StatusOk, packed(content)};
                          },
                          [](const Committed &content) {
                              return PlatformHttpAnswer {StatusOk, packed(content)};
                          },
                          [](const Conflict &content) {
                              return PlatformHttpAnswer {StatusConflict, packed(content)};
                          },
                          [](const ObjectContent &content) {
                              return PlatformHttpAnswer {StatusOk, content.content};
                          },
                          [](const ObjectMissing &) {
                              return PlatformHttpAnswer {StatusNotFound, packed(Error {ErrorCode::PlatformObjectMissing, {}})};
                          },
                          [](const RowsChanged &content) {
                              return PlatformHttpAnswer {StatusOk, packed(content)};
                          },
                          [](const HistoryGone &) {
                              return PlatformHttpAnswer {StatusGone, {}};
                          },
                          [](const PlatformFailure &content) {
                              return PlatformHttpAnswer {errorCodeInfo(content.error.code).httpStatus, packed(content.error)};
                          },
                      },
        response);
}

namespace {

/// Thrown inside this file only, where a body is not of the expected shape.
struct ShapeMismatch : std::exception
{
    const char *what() const noexcept override
    {
        return "the body is not of the expected shape";
    }
};

/// The items of an array; checks that \a object is one and, unless it is 0, has \a size items.
std::span<const msgpack::object> itemsOf(const msgpack::object &object, std::size_t size = 0)
{
    if (object.type != msgpack::type::ARRAY || (size != 0 && object.via.array.size != size)) {
        throw ShapeMismatch();
    }
    return {object.via.array.ptr, object.via.array.size};
}

std::string textOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::BIN && object.type != msgpack::type::STR) {
        throw ShapeMismatch();
    }
    return object.as<std::string>();
}

std::uint64_t numberOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::POSITIVE_INTEGER) {
        throw ShapeMismatch();
    }
    return object.via.u64;
}

std::vector<Row> rowsOf(const msgpack::object &object)
{
    std::vector<Row> rows;
    for (const msgpack::object &item : itemsOf(object)) {
        const auto fields = itemsOf(item, 3);
        rows.push_back({textOf(fields[0]), numberOf(fields[1]), textOf(fields[2])});
    }
    return rows;
}

ReadRows readOf(const msgpack::object &object)
{
    ReadRows request;
    for (const msgpack::object &key : itemsOf(object)) {
        request.keys.push_back(textOf(key));
    }
    return request;
}

ScanRows scanOf(const msgpack::object &object)
{
    const auto fields = itemsOf(object, 3);
    const std::uint64_t limit = std::min<std::uint64_t>(numberOf(fields[2]), std::numeric_limits<std::uint32_t>::max());
    return {textOf(fields[0]), textOf(fields[1]), static_cast<std::uint32_t>(limit)};
}

Transaction transactionOf(const msgpack::object &object)
{
    const auto parts = itemsOf(object, 2);
    Transaction request;
    for (const msgpack::object &condition : itemsOf(parts[0])) {
        const auto fields = itemsOf(condition, 2);
        request.conditions.push_back({textOf(fields[0]), numberOf(fields[1])});
    }
    for (const msgpack::object &write : itemsOf(parts[1])) {
        const auto fields = itemsOf(write, 2);
        const bool isDelete = fields[1].type == msgpack::type::NIL;
        request.writes.push_back({textOf(fields[0]), isDelete ? std::nullopt : std::optional(textOf(fields[1]))});
    }
    return request;
}

WatchRows watchOf(const msgpack::object &object)
{
    constexpr std::uint64_t MaximumWaitMs = 60'000;
    const auto fields = itemsOf(object, 3);
    const auto wait = std::chrono::milliseconds(static_cast<std::int64_t>(std::min(numberOf(fields[2]), MaximumWaitMs)));
    return {textOf(fields[0]), numberOf(fields[1]), wait};
}

RowsChanged changesOf(const msgpack::object &object)
{
    const auto fields = itemsOf(object, 2);
    return {rowsOf(fields[0]), numberOf(fields[1])};
}

Committed committedOf(const msgpack::object &object)
{
    return {numberOf(itemsOf(object, 1)[0])};
}

PlatformFailure failureFrom(const msgpack::object &object)
{
    const auto fields = itemsOf(object, 2);
    const std::uint64_t number = numberOf(fields[0]);
    for (const ErrorCodeInfo &info : errorCodeTable()) {
        if (static_cast<std::uint64_t>(info.code) == number) {
            return {{info.code, textOf(fields[1])}};
        }
    }
    throw ShapeMismatch();
}

/// Applies \a convert to the one msgpack value that \a body consists of.
template<typename Convert>
auto tryUnpack(std::string_view body, ErrorCode code, Convert convert) -> Result<decltype(convert(msgpack::object()))>
{
    try {
        const msgpack::unpack_limit limit(MaximumItems, 0, body.size(), body.size(), 0, MaximumDepth);
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limit);
        if (offset != body.size()) {
            return Error {code, "bytes follow the body"};
        }
        return convert(handle.get());
    } catch (const std::exception &exception) {
        return Error {code, exception.what()};
    }
}

} // namespace

static Result<PlatformRequest> tryDecodeTableRequest(const PlatformHttpRequest &request)
{
    return tryUnpack(request.body, ErrorCode::PlatformMalformedRequest, [&](const msgpack::object &object) -> PlatformRequest {
        if (request.path == ReadPath) {
            return readOf(object);
        }
        if (request.path == ScanPath) {
            return scanOf(object);
        }
        if (request.path == WatchPath) {
            return watchOf(object);
        }
        return transactionOf(object);
    });
}

Result<PlatformRequest> tryDecodePlatformRequest(const PlatformHttpRequest &request)
{
    const bool isTable =
        request.path == ReadPath || request.path == ScanPath || request.path == WatchPath || request.path == TransactionPath;
    if (isTable && request.method == "POST") {
        return tryDecodeTableRequest(request);
    }
    const bool isObject = request.path.starts_with(ObjectPathPrefix) && (request.method == "GET" || request.method == "PUT");
    const std::optional<std::string> name = isObject ? objectName(request.path) : std::nullopt;
    if (!name) {
        return Error {ErrorCode::PlatformMalformedRequest, "no such call: " + request.method + ' ' + request.path};
    }
    if (request.method == "PUT") {
        return PutObject {*name, request.body};
    }
    return GetObject {*name};
}

static Error unexpected(std::string_view detail)
{
    return {ErrorCode::PlatformMalformedAnswer, std::string(detail)};
}

static bool answersKeys(const Rows &rows, const ReadRows &request)
{
    return std::equal(
        rows.rows.begin(), rows.rows.end(), request.keys.begin(), request.keys.end(), [](const Row &row, const std::string &key) {
            return row.key == key;
        });
}

static Result<PlatformResponse> tryDecodeRows(const PlatformRequest &request, std::string_view body)
{
    Result<Rows> rows =
        tryUnpack(body, ErrorCode::PlatformMalformedAnswer, [](const msgpack::object &object) { return Rows {rowsOf(object)}; });
    if (isError(rows)) {
        return errorOf(rows);
    }
    const auto *read = std::get_if<ReadRows>(&request);
    if (read != nullptr && !answersKeys(valueOf(rows), *read)) {
        return unexpected("the rows are not those that were asked for");
    }
    return valueOf(std::move(rows));
}

static Result<PlatformResponse> tryDecodeSuccess(const PlatformRequest &request, std::string_view body)
{
    if (std::holds_alternative<GetObject>(request)) {
        return ObjectContent {std::string(body)};
    }
    if (std::holds_alternative<WatchRows>(request)) {
        Result<RowsChanged> changes = tryUnpack(body, ErrorCode::PlatformMalformedAnswer, changesOf);
        return isError(changes) ? Result<PlatformResponse>(errorOf(changes)) : Result<PlatformResponse>(valueOf(std::move(changes)));
    }
    if (!isWrite(request)) {
        return tryDecodeRows(request, body);
    }
    Result<Committed> committed = tryUnpack(body, ErrorCode::PlatformMalformedAnswer, committedOf);
    if (isError(committed)) {
        return errorOf(committed);
    }
    return valueOf(committed);
}

static Result<PlatformResponse> tryDecodeConflict(std::string_view body)
{
    Result<Conflict> conflict =
        tryUnpack(body, ErrorCode::PlatformMalformedAnswer, [](const msgpack::object &object) { return Conflict {rowsOf(object)}; });
    if (isError(conflict)) {
        return errorOf(conflict);
    }
    if (valueOf(conflict).currentRows.empty()) {
        return unexpected("a conflict names no row");
    }
    return valueOf(std::move(conflict));
}

static Result<PlatformResponse> tryDecodeFailure(const PlatformRequest &request, unsigned status, std::string_view body)
{
    const Result<PlatformFailure> failure = tryUnpack(body, ErrorCode::PlatformMalformedAnswer, failureFrom);
    if (isError(failure)) {
        return errorOf(failure);
    }
    const ErrorCode code = valueOf(failure).error.code;
    if (status == StatusNotFound && code == ErrorCode::PlatformObjectMissing && std::holds_alternative<GetObject>(request)) {
        return ObjectMissing {};
    }
    if (status == StatusBadRequest && code == ErrorCode::PlatformMalformedRequest) {
        return valueOf(failure);
    }
    return unexpected("HTTP status " + std::to_string(status));
}

Result<PlatformResponse> tryDecodePlatformResponse(const PlatformRequest &request, unsigned status, std::string_view body)
{
    if (status == StatusOk) {
        return tryDecodeSuccess(request, body);
    }
    if (status == StatusUnavailable) {
        return PlatformFailure {{ErrorCode::PlatformUnavailable, "HTTP status 503"}};
    }
    if (status == StatusGone && std::holds_alternative<WatchRows>(request)) {
        return HistoryGone {};
    }
    if (status == StatusConflict && std::holds_alternative<Transaction>(request)) {
        return tryDecodeConflict(body);
    }
    return tryDecodeFailure(request, status, body);
}

} // namespace Fuchsiastep
