#pragma once

#include <LibCore/LibCore.h>
#include <LibRequest/ClaimMessages.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Fuchsiastep {

enum class ClaimState : std::uint8_t {
    /// Its attempt may run the request at any time, or may have died.
    Claimed = 0,
    /// The request ran and this is its outcome.
    Ran = 1,
    /// The request may have run and nothing more will be known.
    Unknown = 2,
    /// The request certainly did not run. The row stays, so that a delayed insert cannot take effect later.
    Released = 3,
};

/// The value of the row claim/<service>/<key>.
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    /// Who claimed: proxy, its incarnation, and a number that it never uses twice.
    std::string proxyId;
    std::uint64_t incarnation = 0;
    std::uint64_t attempt = 0;
    Digest requestDigest;
    std::uint16_t status = 0;
    HeaderList headers;
    /// The body is the object outcome/<service>/<key>.
    bool isBodyInObject = false;
    std::string body;

    bool operator==(const ClaimRecord &) const = default;

    bool isSameAttempt(const ClaimRecord &other) const;
    std::string encode() const;
    /// Fails with PlatformMalformedAnswer.
    static Result<ClaimRecord> tryDecode(std::string_view value);
};

/// Digest of what a key belongs to.
Digest claimDigest(std::string_view service, std::string_view method, std::string_view path, std::string_view body);

} // namespace Fuchsiastep
