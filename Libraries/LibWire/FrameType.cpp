#include <LibWire/FrameType.h>

#include <array>

namespace Fuchsiastep {

static constexpr std::array FrameTypes {
    FrameTypeInfo {FrameType::Hello, "Hello", 5},
    FrameTypeInfo {FrameType::Request, "Request", 20},
    FrameTypeInfo {FrameType::Answer, "Answer", 11},
    FrameTypeInfo {FrameType::AnswerPart, "AnswerPart", 5},
    FrameTypeInfo {FrameType::Cancel, "Cancel", 2},
    FrameTypeInfo {FrameType::AnswerPartAck, "AnswerPartAck", 3},
    FrameTypeInfo {FrameType::ConfigurationPush, "ConfigurationPush", 8},
    FrameTypeInfo {FrameType::ConfigurationAck, "ConfigurationAck", 3},
    FrameTypeInfo {FrameType::ConfigurationPull, "ConfigurationPull", 3},
    FrameTypeInfo {FrameType::ConfigurationSnapshot, "ConfigurationSnapshot", 4},
    FrameTypeInfo {FrameType::SnapshotDeferred, "SnapshotDeferred", 2},
    FrameTypeInfo {FrameType::VersionNudge, "VersionNudge", 2},
    FrameTypeInfo {FrameType::MembershipSync, "MembershipSync", 3},
    FrameTypeInfo {FrameType::CrashSuspects, "CrashSuspects", 3},
    FrameTypeInfo {FrameType::CrashSuspectsAck, "CrashSuspectsAck", 2},
    FrameTypeInfo {FrameType::CrashSuspectsQuery, "CrashSuspectsQuery", 1},
    FrameTypeInfo {FrameType::FleetReport, "FleetReport", 4},
    FrameTypeInfo {FrameType::FleetReply, "FleetReply", 3},
};

std::span<const FrameTypeInfo> frameTypeTable()
{
    return FrameTypes;
}

} // namespace Fuchsiastep
