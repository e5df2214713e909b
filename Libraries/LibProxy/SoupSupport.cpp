#include <LibProxy/SoupSupport.h>

#include <LibCore/ListeningSocket.h>
#include <LibHttp/LibHttp.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace Fuchsiastep {

Result<SocketAddress> tryListenHttp(SoupServer *server, const SocketAddress &address)
{
    SocketAddress listening = address;
    const Result<GSocket *> socket = tryOpenListeningSocket(listening);
    if (isError(socket)) {
        return errorOf(socket);
    }
    GError *error = nullptr;
    const bool isListening = soup_server_listen_socket(server, valueOf(socket), static_cast<SoupServerListenOptions>(0), &error) != FALSE;
    g_object_unref(valueOf(socket));
    if (!isListening) {
        Error failed {ErrorCode::ListenFailed, address.toString() + ": " + error->message};
        g_error_free(error);
        return failed;
    }
    return listening;
}

/// libsoup sets the host itself.
static bool isLeftToLibrary(std::string_view name)
{
    return name == "host" || isConnectionField(name);
}

HeaderList readHeaders(SoupMessageHeaders *headers)
{
    HeaderList fields;
    SoupMessageHeadersIter iterator;
    soup_message_headers_iter_init(&iterator, headers);
    const char *name = nullptr;
    const char *value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value)) {
        const std::string lower = toLowerAscii(name);
        if (isLeftToLibrary(lower)) {
            continue;
        }
        std::string &field = fields[lower];
        // Repeated fields are one field with a comma-separated list (RFC 9110, 5.3), but for Set-Cookie, whose
        // values hold commas themselves.
        const std::string separator = lower == SetCookieName ? std::string(1, SetCookieSeparator) : ", ";
        field += field.empty() ? value : separator + value;
    }
    return fields;
}

void writeHeaders(SoupMessageHeaders *headers, const HeaderList &fields)
{
    for (const auto &[name, value] : fields) {
        if (isLeftToLibrary(name)) {
            continue;
        }
        if (name != SetCookieName) {
            soup_message_headers_replace(headers, name.c_str(), value.c_str());
            continue;
        }
        std::istringstream cookies(value);
        for (std::string cookie; std::getline(cookies, cookie);) {
            soup_message_headers_append(headers, name.c_str(), cookie.c_str());
        }
    }
}

std::string requestBody(SoupServerMessage *message)
{
    GBytes *bytes = soup_message_body_flatten(soup_server_message_get_request_body(message));
    gsize size = 0;
    const auto *data = static_cast<const char *>(g_bytes_get_data(bytes, &size));
    std::string body(data != nullptr ? data : "", size);
    g_bytes_unref(bytes);
    return body;
}

JsonValue::Object describeAsJson(const Error &error)
{
    return {
        {"code", static_cast<std::int64_t>(error.code)},
        {"name", errorCodeInfo(error.code).name},
        {"detail", error.detail},
    };
}

} // namespace Fuchsiastep
