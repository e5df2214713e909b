#include <LibHttp/HttpSerializer.h>

#include <LibHttp/HttpFields.h>

#include <boost/beast/http/status.hpp>

#include <string_view>

namespace Fuchsiastep {

/// Room for the start line and the fields that the serializer adds.
static constexpr std::size_t HeadReserveBytes = 256;

static void appendField(std::string &bytes, std::string_view name, std::string_view value)
{
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
}

static void appendFields(std::string &bytes, const HeaderList &headers)
{
    for (const auto &[name, value] : headers) {
        if (isConnectionField(name)) {
            continue;
        }
        if (name != SetCookieName) {
            appendField(bytes, name, value);
            continue;
        }
        std::string_view cookies = value;
        while (!cookies.empty()) {
            const std::size_t end = std::min(cookies.find(SetCookieSeparator), cookies.size());
            appendField(bytes, name, cookies.substr(0, end));
            cookies.remove_prefix(std::min(end + 1, cookies.size()));
        }
    }
}

static std::size_t sizeOf(const HttpMessage &message)
{
    std::size_t size = HeadReserveBytes + message.target.size() + message.body.size();
    for (const auto &[name, value] : message.headers) {
        size += name.size() + value.size() + std::string_view(": \r\n").size();
    }
    return size;
}

std::string serializeRequest(const HttpMessage &request)
{
    std::string bytes;
    bytes.reserve(sizeOf(request));
    bytes += request.method + ' ' + request.target + " HTTP/1.1\r\n";
    appendFields(bytes, request.headers);
    // A request without a length has no body; methods that usually have one say so (RFC 9110, 8.6).
    const bool expectsBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (!request.body.empty() || expectsBody) {
        appendField(bytes, "content-length", std::to_string(request.body.size()));
    }
    bytes += "\r\n";
    bytes += request.body;
    return bytes;
}

std::string serializeResponse(const HttpMessage &response, bool isBodyForbidden)
{
    constexpr std::uint16_t NoContent = 204;
    constexpr std::uint16_t NotModified = 304;
    std::string bytes;
    bytes.reserve(sizeOf(response));
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.status));
    bytes += "HTTP/1.1 " + std::to_string(response.status) + ' ';
    bytes.append(reason.data(), reason.size());
    bytes += "\r\n";
    appendFields(bytes, response.headers);
    const auto declaredLength = response.headers.find("content-length");
    if (isBodyForbidden && declaredLength != response.headers.end()) {
        appendField(bytes, "content-length", declaredLength->second);
    } else if (response.status != NoContent && response.status != NotModified) {
        appendField(bytes, "content-length", std::to_string(response.body.size()));
    }
    if (response.isLast) {
        appendField(bytes, "connection", "close");
    }
    bytes += "\r\n";
    if (!isBodyForbidden) {
        bytes += response.body;
    }
    return bytes;
}

} // namespace Fuchsiastep
