#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Fuchsiastep {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Numbered log events. The number is stable: alarms may be built on it.
enum class LogEvent : std::uint16_t {
    ProgramStarted = 1000,
    ProgramStopped = 1001,
    SettingsReloaded = 1002,
    SettingsRejected = 1003,
    FreezeDetected = 1004,
    MetricsUnavailable = 1005,

    PeerConnected = 2000,
    PeerDisconnected = 2001,
    FrameRejected = 2002,
    DatagramRejected = 2003,

    PlatformCallFailed = 3000,
    PlatformCallSlow = 3001,
    PlatformFaultChanged = 3002,
    PlatformRowRejected = 3003,
    PlatformRestored = 3004,

    ConfigurationAdopted = 4000,
    ConfigurationRejected = 4001,
    SnapshotRequested = 4002,
    SnapshotServed = 4003,
    ChangeAccepted = 4004,
    ChangeRefused = 4005,
    ProxyReady = 4006,
    SnapshotWritten = 4007,
    DocumentMissing = 4008,
    ConfigurationFieldLimited = 4009,
    ConfigurationBehind = 4010,
    ConfigurationDiverged = 4011,
    PullTimedOut = 4012,

    MemberJoined = 5000,
    MemberSuspected = 5001,
    MemberRemoved = 5002,
    MemberLeft = 5003,
    IsolationSuspected = 5004,
    ReaderRoleChanged = 5005,
    RangeReassigned = 5006,
    CrashSuspectsRejected = 5007,
    ContactRejected = 5008,
    FleetFrameRejected = 5009,

    RequestRefused = 6000,
    RequestUnknown = 6001,
    UpstreamAnnounced = 6002,
    UpstreamLost = 6003,
    UpstreamCrashed = 6004,
    FingerprintBlamed = 6006,
    DrainStarted = 6007,
    DrainFinished = 6008,
    HttpRequestRejected = 6011,
    TryFailed = 6012,
    AnnouncementIgnored = 6013,
    RequestAnswered = 6014,
    RequestPlaced = 6015,
    RunStarted = 6016,
    RunEnded = 6017,
    SuspectChanged = 6018,
    UpstreamAnswerTooLarge = 6019,
    CallerDoesNotRead = 6020,
    AnnouncementHeld = 6021,
    DepartureLearned = 6022,
    StoredDepartureRejected = 6023,
    DepartureAccepted = 6024,
    RolloutPhaseChanged = 6420,
    RolloutOrderRejected = 6421,
    RequestGivenUp = 6430,
    ConnectionRefused = 6431,

    OperatorRequestRejected = 7000,
};

/// One row of the catalogue of log events.
struct LogEventInfo
{
    LogEvent event;
    std::string_view name;
    LogLevel level;
    std::string_view description;
};

/// The whole catalogue, in ascending order of the numbers.
std::span<const LogEventInfo> logEventTable();

/// The row of \a event.
const LogEventInfo &logEventInfo(LogEvent event);

} // namespace Fuchsiastep
