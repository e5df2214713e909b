#include <LibCore/Digest.h>

#include <glib.h>

#include <charconv>
#include <cstdio>

namespace Fuchsiastep {

Digest Digest::of(std::string_view content)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(checksum, reinterpret_cast<const guchar *>(content.data()), static_cast<gssize>(content.size()));
    std::array<guint8, 32> bytes {};
    gsize length = bytes.size();
    g_checksum_get_digest(checksum, bytes.data(), &length);
    g_checksum_free(checksum);

    Digest digest;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        digest.lanes[i / 8] = (digest.lanes[i / 8] << 8) | bytes[i];
    }
    return digest;
}

Digest &Digest::operator+=(const Digest &other)
{
    for (std::size_t i = 0; i < lanes.size(); ++i) {
        lanes[i] += other.lanes[i];
    }
    return *this;
}

Digest &Digest::operator-=(const Digest &other)
{
    for (std::size_t i = 0; i < lanes.size(); ++i) {
        lanes[i] -= other.lanes[i];
    }
    return *this;
}

std::string Digest::toHex() const
{
    std::string hex;
    for (const std::uint64_t lane : lanes) {
        std::array<char, 17> buffer {};
        std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(lane));
        hex += buffer.data();
    }
    return hex;
}

std::optional<Digest> Digest::fromHex(std::string_view hex)
{
    constexpr std::size_t LaneDigits = 16;
    Digest digest;
    if (hex.size() != LaneDigits * digest.lanes.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.lanes.size(); ++i) {
        const char *begin = hex.data() + i * LaneDigits;
        const auto parsed = std::from_chars(begin, begin + LaneDigits, digest.lanes[i], 16);
        if (parsed.ec != std::errc() || parsed.ptr != begin + LaneDigits) {
            return std::nullopt;
        }
    }
    return digest;
}

std::uint64_t stableHash(std::string_view content, std::uint64_t seed)
{
    // FNV-1a with the MurmurHash3 finaliser; FNV alone spreads short, similar names poorly over a ring.
    std::uint64_t hash = 14695981039346656037ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
    for (const char character : content) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 1099511628211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace Fuchsiastep
