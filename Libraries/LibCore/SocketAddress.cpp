#include <LibCore/SocketAddress.h>

#include <gio/gio.h>

#include <charconv>

namespace Fuchsiastep {

std::string SocketAddress::toString() const
{
    const bool isVersion6 = ip.find(':') != std::string::npos;
    return (isVersion6 ? '[' + ip + ']' : ip) + ':' + std::to_string(port);
}

Result<SocketAddress> SocketAddress::tryParse(std::string_view text)
{
    const Error malformed {ErrorCode::RequestMalformed, "not an address of the form IP:PORT: " + std::string(text)};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformed;
    }
    SocketAddress address;
    const std::string_view port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()) {
        return malformed;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    address.ip = std::string(host);
    if (!g_hostname_is_ip_address(address.ip.c_str())) {
        return malformed;
    }
    return address;
}

} // namespace Fuchsiastep
