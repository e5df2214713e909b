#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Fuchsiastep {

/// Numbered result codes. The number is stable: callers, operators and scripts may rely on it.
enum class ErrorCode : std::uint16_t {
    None = 0,

    SettingsUnreadable = 100,
    SettingsMalformed = 101,
    SettingsUnknownKey = 102,
    SettingsMissingKey = 103,
    SettingsWrongType = 104,
    SettingsOutOfRange = 105,
    CommandLineInvalid = 106,
    JsonMalformed = 107,
    ListenFailed = 108,

    FrameTooLong = 200,
    FrameTruncated = 201,
    FrameMalformed = 202,
    FrameUnknownType = 203,
    ConnectionClosed = 204,
    ConnectionRefused = 205,
    ProtocolViolation = 206,
    DatagramTooLong = 207,

    PlatformUnavailable = 300,
    PlatformOutcomeUnknown = 301,
    PlatformConflict = 302,
    PlatformMalformedAnswer = 303,
    PlatformObjectMissing = 304,
    PlatformMalformedRequest = 305,

    DeclarationMalformed = 400,
    DanglingReference = 401,
    DuplicateObject = 402,
    VersionTooLow = 403,
    BaseMismatch = 404,
    DigestMismatch = 405,
    ChangeConflict = 406,
    ChangeOutcomeUnknown = 407,
    ConfigurationUnknown = 408,
    ObjectMissing = 409,
    ChangeEmpty = 410,
    VersionRefused = 411,

    ServiceUnknown = 600,
    NoRoute = 601,
    NoUpstream = 602,
    UpstreamBusy = 603,
    QueueTimeout = 604,
    DeadlineExceeded = 605,
    Draining = 606,
    NotReady = 607,
    ClaimUnavailable = 608,
    KeyRequired = 609,
    OutcomeUnknown = 610,
    UpstreamCrashed = 611,
    RequestHeldOff = 612,
    BodyTooLarge = 613,
    RequestMalformed = 614,
    Cancelled = 615,
    RetryBudgetExhausted = 616,
    UpstreamRefused = 617,
    AnswerTruncated = 618,
    ClaimReleased = 619,
    CallerNotAllowed = 620,
    HeadTooLarge = 621,
    HeadTimeout = 622,
    PlacementDeclined = 623,
    AnswerTooLarge = 624,
    WorkspaceKeyMissing = 640,
    WorkspaceKeyUnknown = 641,
    KeyUnconfirmed = 642,
    QuotaExceeded = 645,
    QuotaUnavailable = 646,

    OperatorRequestMalformed = 700,
    WaitTimeout = 701,
    ProxyUnreachable = 702,
    FileUnreadable = 703,
};

/// One row of the table of result codes.
struct ErrorCodeInfo
{
    ErrorCode code;
    std::string_view name;
    /// HTTP status with which the code is told to callers and operators.
    std::uint16_t httpStatus;
    std::string_view description;
};

/// The whole table, in ascending order of the numbers.
std::span<const ErrorCodeInfo> errorCodeTable();

/// The row of \a code. A number that is in no row yields the row of ErrorCode::None.
const ErrorCodeInfo &errorCodeInfo(ErrorCode code);

} // namespace Fuchsiastep
