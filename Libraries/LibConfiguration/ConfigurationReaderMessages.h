#pragma once

#include <LibConfiguration/ConfigurationDelta.h>
#include <LibPlatform/PlatformCall.h>
#include <LibPlatform/PlatformEra.h>

#include <cstdint>
#include <variant>

namespace Fuchsiastep {

/// Input: whether this proxy is one of the readers of its data centre, and its place among them.
struct ReaderRole
{
    bool isReader = false;
    /// 0 for the reader that also writes snapshots.
    std::uint32_t rank = 0;
};

/// Input: a version was just committed. Polls at once where it is newer than what was read.
struct VersionNudge
{
    ConfigurationVersion version = 0;
};

/// Input: the proxy holds this configuration, wherever it came from.
struct ConfigurationHeld
{
    Configuration::Pointer configuration;
};

using ConfigurationReaderInput = std::variant<ReaderRole, VersionNudge, ConfigurationHeld, PlatformRestored, PlatformReply>;

/// Output: what leads to a newer version. A delta starts from the newest version that was found or held before.
struct ConfigurationFound
{
    std::variant<ConfigurationDelta, Configuration::Pointer> content;
    /// The configuration that the content leads to.
    Configuration::Pointer configuration;
};

/// Output: the platform has this content under the number of the version held.
struct ContentReplaced
{
    Configuration::Pointer configuration;
};

/// Output: the platform cannot be read; the next try is made after \a retryAfter. Given with each failure.
struct ReaderFailure
{
    Error error;
    Duration retryAfter {0};
};

/// Output: a version cannot be used. Given once for each: DanglingReference where the version is invalid by itself and is
/// stepped over once a later one is valid, other codes where the reader rebuilds the configuration.
struct VersionReported
{
    ConfigurationVersion version = 0;
    Error error;
};

/// Output: the head is older than what was found or held before. Given once for each such head.
struct HeadBehind
{
    ConfigurationVersion head = 0;
    ConfigurationVersion known = 0;
};

/// Output: the object snapshot/<version> was written.
struct SnapshotStored
{
    ConfigurationVersion version = 0;
};

using ConfigurationReaderOutput =
    std::variant<PlatformCall, ConfigurationFound, ContentReplaced, ReaderFailure, VersionReported, HeadBehind, SnapshotStored>;

/// What a reader has done since it was made.
struct ConfigurationReaderCounters
{
    /// Calls that read from the platform, and the rows and objects that they asked for. A scan asks for its limit.
    std::uint64_t platformReads = 0;
    std::uint64_t rowsAskedFor = 0;
    std::uint64_t staleHeads = 0;
    std::uint64_t versionsReported = 0;
    std::uint64_t rebuilds = 0;
    std::uint64_t snapshotsStored = 0;
};

} // namespace Fuchsiastep
