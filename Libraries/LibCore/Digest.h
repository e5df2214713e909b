#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Fuchsiastep {

/// A 256-bit digest in four lanes. Digests of a set add and subtract lane by lane modulo 2^64,
/// so that the digest of a configuration follows a change without reading all of it.
struct Digest
{
    std::array<std::uint64_t, 4> lanes {};

    /// SHA-256 of \a content.
    static Digest of(std::string_view content);

    Digest &operator+=(const Digest &other);
    Digest &operator-=(const Digest &other);
    bool operator==(const Digest &) const = default;

    /// 64 hexadecimal digits.
    std::string toHex() const;
    /// Nothing when \a hex is not 64 hexadecimal digits.
    static std::optional<Digest> fromHex(std::string_view hex);
};

/// A 64-bit hash that is equal on every proxy, for rendezvous hashing and hash rings. Not cryptographic.
std::uint64_t stableHash(std::string_view content, std::uint64_t seed = 0);

} // namespace Fuchsiastep
