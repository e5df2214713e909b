#pragma once

#include <LibCore/SocketAddress.h>
#include <LibPlatform/Row.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

constexpr std::string_view ContactPrefix = "contact/";
/// Rows contact/<data centre>/<slot> of each data centre.
constexpr std::size_t ContactSlots = 8;

/// A member that a joining proxy may ask.
struct Contact
{
    std::string dataCentre;
    SocketAddress address;

    bool operator==(const Contact &) const = default;
};

/// Key of the row that holds the crash suspects of the fleet; see CrashSuspectStore.
constexpr std::string_view CrashSuspectsKey = "contact/crash-suspects";

std::string contactKey(std::string_view dataCentre, std::size_t slot);
/// Nothing where the row is absent or no contact.
std::optional<Contact> contactOfRow(const Row &row);

} // namespace Fuchsiastep
