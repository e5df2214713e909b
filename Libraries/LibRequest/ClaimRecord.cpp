#include <LibRequest/ClaimRecord.h>

#include <msgpack.hpp>

namespace Fuchsiastep {

// Raised when the fields change, so that a proxy of another version does not misread a row.
static constexpr std::uint32_t RecordFormat = 1;

using PackedRecord = std::tuple<std::uint32_t,
    std::uint8_t,
    std::string,
    std::uint64_t,
    std::uint64_t,
    std::string,
    std::uint16_t,
    std::map<std::string, std::string>,
    bool,
    std::string>;

bool ClaimRecord::isSameAttempt(const ClaimRecord &other) const
{
    return proxyId == other.proxyId && incarnation == other.incarnation && attempt == other.attempt;
}

std::string ClaimRecord::encode() const
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer,
        PackedRecord(RecordFormat,
            static_cast<std::uint8_t>(state),
            proxyId,
            incarnation,
            attempt,
            requestDigest.toHex(),
            status,
            headers,
            isBodyInObject,
            body));
    return {buffer.data(), buffer.size()};
}

Result<ClaimRecord> ClaimRecord::tryDecode(std::string_view value)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(value.data(), value.size());
        const auto packed = handle.get().as<PackedRecord>();
        const std::optional<Digest> digest = Digest::fromHex(std::get<5>(packed));
        if (std::get<0>(packed) != RecordFormat || std::get<1>(packed) > static_cast<std::uint8_t>(ClaimState::Released) || !digest) {
            return Error {ErrorCode::PlatformMalformedAnswer, "claim row: unknown format, state or digest"};
        }
        return ClaimRecord {static_cast<ClaimState>(std::get<1>(packed)),
            std::get<2>(packed),
            std::get<3>(packed),
            std::get<4>(packed),
            *digest,
            std::get<6>(packed),
            std::get<7>(packed),
            std::get<8>(packed),
            std::get<9>(packed)};
    } catch (const std::exception &exception) {
        return Error {ErrorCode::PlatformMalformedAnswer, std::string("claim row: ") + exception.what()};
    }
}

Digest claimDigest(std::string_view service, std::string_view method, std::string_view path, std::string_view body)
{
    // The lengths keep a character from moving between fields without changing the digest.
    std::string content;
    for (const std::string_view field : {service, method, path, body}) {
        content += std::to_string(field.size());
        content += ':';
        content += field;
    }
    return Digest::of(content);
}

} // namespace Fuchsiastep
