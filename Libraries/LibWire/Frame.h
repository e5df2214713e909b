#pragma once

#include <LibWire/AnswerFrame.h>
#include <LibWire/AnswerPartAckFrame.h>
#include <LibWire/AnswerPartFrame.h>
#include <LibWire/CancelFrame.h>
#include <LibWire/ConfigurationAckFrame.h>
#include <LibWire/ConfigurationPullFrame.h>
#include <LibWire/ConfigurationPushFrame.h>
#include <LibWire/ConfigurationSnapshotFrame.h>
#include <LibWire/CrashSuspectsAckFrame.h>
#include <LibWire/CrashSuspectsFrame.h>
#include <LibWire/CrashSuspectsQueryFrame.h>
#include <LibWire/FleetReplyFrame.h>
#include <LibWire/FleetReportFrame.h>
#include <LibWire/HelloFrame.h>
#include <LibWire/MembershipSyncFrame.h>
#include <LibWire/RequestFrame.h>
#include <LibWire/SnapshotDeferredFrame.h>
#include <LibWire/VersionNudgeFrame.h>

#include <variant>

namespace Fuchsiastep {

/// Any frame on a connection between two proxies.
using Frame = std::variant<HelloFrame,
    RequestFrame,
    AnswerFrame,
    AnswerPartFrame,
    CancelFrame,
    AnswerPartAckFrame,
    ConfigurationPushFrame,
    ConfigurationAckFrame,
    ConfigurationPullFrame,
    ConfigurationSnapshotFrame,
    SnapshotDeferredFrame,
    VersionNudgeFrame,
    MembershipSyncFrame,
    CrashSuspectsFrame,
    CrashSuspectsAckFrame,
    CrashSuspectsQueryFrame,
    FleetReportFrame,
    FleetReplyFrame>;

} // namespace Fuchsiastep
