#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Fuchsiastep {

/// Numbers of the frame types on a connection between two proxies.
enum class FrameType : std::uint8_t {
    Hello = 1,
    Request = 2,
    Answer = 3,
    AnswerPart = 4,
    Cancel = 5,
    AnswerPartAck = 6,
    ConfigurationPush = 10,
    ConfigurationAck = 11,
    ConfigurationPull = 12,
    ConfigurationSnapshot = 13,
    SnapshotDeferred = 14,
    VersionNudge = 15,
    MembershipSync = 20,
    CrashSuspects = 21,
    CrashSuspectsAck = 22,
    CrashSuspectsQuery = 23,
    FleetReport = 30,
    FleetReply = 31,
};

struct FrameTypeInfo
{
    FrameType type;
    std::string_view name;
    /// Number of msgpack array items of the frame, its type included.
    std::uint32_t fieldCount;
};

std::span<const FrameTypeInfo> frameTypeTable();

} // namespace Fuchsiastep
