#include <LibMembership/ContactRow.h>

namespace Fuchsiastep {

std::string contactKey(std::string_view dataCentre, std::size_t slot)
{
    return std::string(ContactPrefix) + std::string(dataCentre) + "/" + std::to_string(slot);
}

std::optional<Contact> contactOfRow(const Row &row)
{
    const std::size_t slash = row.key.rfind('/');
    if (row.revision == 0 || !row.key.starts_with(ContactPrefix) || slash == std::string::npos || slash < ContactPrefix.size()) {
        return std::nullopt;
    }
    Result<SocketAddress> address = SocketAddress::tryParse(row.value);
    if (isError(address) || valueOf(address).port == 0) {
        return std::nullopt;
    }
    return Contact {row.key.substr(ContactPrefix.size(), slash - ContactPrefix.size()), valueOf(std::move(address))};
}

} // namespace Fuchsiastep
