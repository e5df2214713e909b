#pragma once

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// A row of the platform's table. Revision 0 means that the row does not exist; each write sets a higher one.
struct Row
{
    std::string key;
    std::uint64_t revision = 0;
    std::string value;

    bool operator==(const Row &) const = default;
};

} // namespace Fuchsiastep
