#include <LibCore/LogEvent.h>

#include <algorithm>
#include <array>

namespace Fuchsiastep {

static constexpr std::array LogEvents {
    LogEventInfo {LogEvent::ProgramStarted, "ProgramStarted", LogLevel::Info, "A program started; fields give its version and addresses."},
    LogEventInfo {LogEvent::ProgramStopped, "ProgramStopped", LogLevel::Info, "A program stops in an orderly way."},
    LogEventInfo {LogEvent::SettingsReloaded, "SettingsReloaded", LogLevel::Info, "The settings file was read again."},
    LogEventInfo {LogEvent::SettingsRejected,
        "SettingsRejected",
        LogLevel::Error,
        "The settings file was read again and is not valid; the old settings stay in force."},
    LogEventInfo {LogEvent::FreezeDetected,
        "FreezeDetected",
        LogLevel::Warning,
        "The process did not run for longer than its timers allow; it checks the newest version before it takes new work."},
    LogEventInfo {LogEvent::MetricsUnavailable,
        "MetricsUnavailable",
        LogLevel::Error,
        "The metrics address cannot be listened on; the metrics are at the control address only."},
    LogEventInfo {LogEvent::PeerConnected, "PeerConnected", LogLevel::Debug, "A connection to or from a peer was opened."},
    LogEventInfo {LogEvent::PeerDisconnected, "PeerDisconnected", LogLevel::Debug, "A connection to or from a peer was closed."},
    LogEventInfo {LogEvent::FrameRejected, "FrameRejected", LogLevel::Warning, "A frame is not valid; its connection was closed."},
    LogEventInfo {LogEvent::DatagramRejected, "DatagramRejected", LogLevel::Warning, "A datagram is not valid and was dropped."},
    LogEventInfo {LogEvent::PlatformCallFailed, "PlatformCallFailed", LogLevel::Warning, "A call to the platform failed."},
    LogEventInfo {LogEvent::PlatformCallSlow, "PlatformCallSlow", LogLevel::Info, "A call to the platform took longer than a second."},
    LogEventInfo {
        LogEvent::PlatformFaultChanged, "PlatformFaultChanged", LogLevel::Info, "The platform stand-in was told to inject other faults."},
    LogEventInfo {LogEvent::PlatformRowRejected,
        "PlatformRowRejected",
        LogLevel::Warning,
        "A row in an answer of the platform cannot be read and is ignored."},
    LogEventInfo {LogEvent::PlatformRestored,
        "PlatformRestored",
        LogLevel::Warning,
        "The platform came back from an older copy; what was written after the copy is lost until it is written again."},
    LogEventInfo {
        LogEvent::ConfigurationAdopted, "ConfigurationAdopted", LogLevel::Info, "A configuration version came into force on this proxy."},
    LogEventInfo {LogEvent::ConfigurationRejected, "ConfigurationRejected", LogLevel::Warning, "A delta or snapshot was not applied."},
    LogEventInfo {LogEvent::SnapshotRequested, "SnapshotRequested", LogLevel::Info, "A configuration snapshot was requested from a peer."},
    LogEventInfo {LogEvent::SnapshotServed, "SnapshotServed", LogLevel::Info, "A configuration snapshot was sent to a peer."},
    LogEventInfo {LogEvent::ChangeAccepted, "ChangeAccepted", LogLevel::Info, "An operator's change was committed."},
    LogEventInfo {LogEvent::ChangeRefused, "ChangeRefused", LogLevel::Warning, "An operator's change was not committed."},
    LogEventInfo {LogEvent::ProxyReady, "ProxyReady", LogLevel::Info, "The proxy knows the newest version around it and serves."},
    LogEventInfo {
        LogEvent::SnapshotWritten, "SnapshotWritten", LogLevel::Info, "A configuration snapshot was written to the object store."},
    LogEventInfo {LogEvent::DocumentMissing, "DocumentMissing", LogLevel::Warning, "The platform holds no configuration document."},
    LogEventInfo {LogEvent::ConfigurationFieldLimited,
        "ConfigurationFieldLimited",
        LogLevel::Warning,
        "A value of the configuration is beyond what this proxy can carry; fields give the value in force in its place."},
    LogEventInfo {LogEvent::ConfigurationBehind,
        "ConfigurationBehind",
        LogLevel::Warning,
        "The platform has an older version than this proxy holds, which stays in force."},
    LogEventInfo {LogEvent::ConfigurationDiverged,
        "ConfigurationDiverged",
        LogLevel::Error,
        "The version held has another content on the platform or on a peer."},
    LogEventInfo {LogEvent::PullTimedOut, "PullTimedOut", LogLevel::Info, "A peer that holds a later version did not answer a pull."},
    LogEventInfo {LogEvent::MemberJoined, "MemberJoined", LogLevel::Info, "A member was seen for the first time."},
    LogEventInfo {LogEvent::MemberSuspected, "MemberSuspected", LogLevel::Info, "A member did not answer direct and indirect probes."},
    LogEventInfo {LogEvent::MemberRemoved, "MemberRemoved", LogLevel::Warning, "A suspected member did not refute and was removed."},
    LogEventInfo {LogEvent::MemberLeft, "MemberLeft", LogLevel::Info, "A member announced that it leaves."},
    LogEventInfo {LogEvent::IsolationSuspected,
        "IsolationSuspected",
        LogLevel::Warning,
        "Most peers disappeared at once; this proxy treats itself as isolated and removes nobody."},
    LogEventInfo {
        LogEvent::ReaderRoleChanged, "ReaderRoleChanged", LogLevel::Info, "This proxy became or ceased to be a configuration reader."},
    LogEventInfo {
        LogEvent::RangeReassigned, "RangeReassigned", LogLevel::Info, "A delegate did not acknowledge; its range went to another member."},
    LogEventInfo {LogEvent::CrashSuspectsRejected,
        "CrashSuspectsRejected",
        LogLevel::Warning,
        "Crash suspects from a peer or the platform cannot be read and are ignored."},
    LogEventInfo {LogEvent::ContactRejected, "ContactRejected", LogLevel::Warning, "A contact row cannot be read and is ignored."},
    LogEventInfo {LogEvent::FleetFrameRejected,
        "FleetFrameRejected",
        LogLevel::Warning,
        "A report or reply of the fleet exchange cannot be read and is ignored."},
    LogEventInfo {LogEvent::RequestRefused, "RequestRefused", LogLevel::Info, "A request was refused as not run."},
    LogEventInfo {LogEvent::RequestUnknown, "RequestUnknown", LogLevel::Warning, "A request ended without knowledge of whether it ran."},
    LogEventInfo {LogEvent::UpstreamAnnounced, "UpstreamAnnounced", LogLevel::Info, "The upstream of this instance announced itself."},
    LogEventInfo {LogEvent::UpstreamLost, "UpstreamLost", LogLevel::Warning, "The upstream of this instance no longer announces itself."},
    LogEventInfo {
        LogEvent::UpstreamCrashed, "UpstreamCrashed", LogLevel::Warning, "The upstream broke its connections while it ran requests."},
    LogEventInfo {LogEvent::FingerprintBlamed,
        "FingerprintBlamed",
        LogLevel::Warning,
        "A request crashed an upstream while it ran alone; its like are held off."},
    LogEventInfo {LogEvent::DrainStarted, "DrainStarted", LogLevel::Info, "The proxy refuses new work and finishes what is in flight."},
    LogEventInfo {LogEvent::DrainFinished, "DrainFinished", LogLevel::Info, "No request is in flight; the proxy may stop."},
    LogEventInfo {LogEvent::HttpRequestRejected, "HttpRequestRejected", LogLevel::Info, "An HTTP request is not valid or too large."},
    LogEventInfo {
        LogEvent::TryFailed, "TryFailed", LogLevel::Info, "A proxy beside an upstream did not answer a request; it may be tried again."},
    LogEventInfo {LogEvent::AnnouncementIgnored,
        "AnnouncementIgnored",
        LogLevel::Info,
        "An announcement of the upstream is older than what is known, or of an earlier start."},
    LogEventInfo {LogEvent::RequestAnswered, "RequestAnswered", LogLevel::Info, "A caller received its upstream's answer."},
    LogEventInfo {LogEvent::RequestPlaced, "RequestPlaced", LogLevel::Info, "A request was sent to the proxy beside an upstream."},
    LogEventInfo {LogEvent::RunStarted, "RunStarted", LogLevel::Info, "A request was sent to the upstream beside this proxy."},
    LogEventInfo {LogEvent::RunEnded, "RunEnded", LogLevel::Info, "The upstream beside this proxy answered a request, or did not."},
    LogEventInfo {LogEvent::SuspectChanged,
        "SuspectChanged",
        LogLevel::Info,
        "This proxy knows of another crash with a request in flight, or that the request has run alone to its end."},
    LogEventInfo {LogEvent::UpstreamAnswerTooLarge,
        "UpstreamAnswerTooLarge",
        LogLevel::Warning,
        "The upstream wrote more than this proxy can hold, or no end; its connection was closed."},
    LogEventInfo {LogEvent::CallerDoesNotRead,
        "CallerDoesNotRead",
        LogLevel::Warning,
        "Callers leave more answers unread than this proxy can hold; the connection with the most was closed."},
    LogEventInfo {LogEvent::AnnouncementHeld,
        "AnnouncementHeld",
        LogLevel::Info,
        "An announcement waits until this proxy knows which departures its earlier processes acknowledged."},
    LogEventInfo {LogEvent::DepartureLearned,
        "DepartureLearned",
        LogLevel::Info,
        "An earlier process of this proxy acknowledged that the upstream leaves."},
    LogEventInfo {LogEvent::RolloutPhaseChanged, "RolloutPhaseChanged", LogLevel::Info, "A roll-out entered another phase."},
    LogEventInfo {LogEvent::RolloutOrderRejected,
        "RolloutOrderRejected",
        LogLevel::Warning,
        "The order of a roll-out cannot be read and is ignored."},
    LogEventInfo {LogEvent::RequestGivenUp,
        "RequestGivenUp",
        LogLevel::Warning,
        "Requests that have not arrived whole take too much memory; the largest one was closed."},
    LogEventInfo {LogEvent::ConnectionRefused, "ConnectionRefused", LogLevel::Warning, "Every connection that clients may open is in use."},
    LogEventInfo {LogEvent::OperatorRequestRejected, "OperatorRequestRejected", LogLevel::Info, "An operator request is not valid."},
};

std::span<const LogEventInfo> logEventTable()
{
    return LogEvents;
}

const LogEventInfo &logEventInfo(LogEvent event)
{
    const auto row = std::lower_bound(
        LogEvents.begin(), LogEvents.end(), event, [](const LogEventInfo &info, LogEvent wanted) { return info.event < wanted; });
    return row == LogEvents.end() ? LogEvents.back() : *row;
}

} // namespace Fuchsiastep
