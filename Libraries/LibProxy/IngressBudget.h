#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace Fuchsiastep {

/// Names a connection of one of the HTTP servers of the process.
struct IngressKey
{
    std::uint32_t server = 0;
    std::uint64_t connection = 0;

    bool operator==(const IngressKey &) const = default;
    auto operator<=>(const IngressKey &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads the default.
};

/// Memory that requests take which have not arrived whole, on all ports of the process together. Clients that stop just short of
/// the end of their requests would fill the memory; beyond the limit the request that holds the most of it is given up, and
/// among equal ones the one without a byte for the longest time. So a client with a small request keeps its place.
class IngressBudget
{
public:
    explicit IngressBudget(std::uint64_t limitBytes);

    std::uint64_t limitBytes() const
    {
        return m_limitBytes;
    }
    std::uint64_t heldBytes() const
    {
        return m_heldBytes;
    }

    /// The connection holds this much for a request that is not whole; 0 where there is none.
    void update(IngressKey key, std::uint64_t bytes, TimePoint lastByteAt);
    void remove(IngressKey key);

    /// The connection to give up; nothing within the limit.
    std::optional<IngressKey> excess() const;

private:
    struct Held
    {
        std::uint64_t bytes = 0;
        TimePoint lastByteAt;
    };
    /// The largest first, then the one that has waited longest.
    using Order = std::tuple<std::int64_t, TimePoint, IngressKey>;

    static Order orderOf(IngressKey key, const Held &held);

    std::uint64_t m_limitBytes;
    std::uint64_t m_heldBytes = 0;
    std::map<IngressKey, Held> m_held;
    std::set<Order> m_order;
};

} // namespace Fuchsiastep
