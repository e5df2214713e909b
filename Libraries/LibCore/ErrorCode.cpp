#include <LibCore/ErrorCode.h>

#include <algorithm>
#include <array>

namespace Fuchsiastep {

static constexpr std::array ErrorCodes {
    ErrorCodeInfo {ErrorCode::None, "None", 200, "Success."},
    ErrorCodeInfo {ErrorCode::SettingsUnreadable, "SettingsUnreadable", 500, "The settings file cannot be read."},
    ErrorCodeInfo {ErrorCode::SettingsMalformed, "SettingsMalformed", 500, "The settings file is not valid JSON."},
    ErrorCodeInfo {ErrorCode::SettingsUnknownKey, "SettingsUnknownKey", 400, "A key is not known at its path."},
    ErrorCodeInfo {ErrorCode::SettingsMissingKey, "SettingsMissingKey", 400, "A required key is missing at its path."},
    ErrorCodeInfo {ErrorCode::SettingsWrongType, "SettingsWrongType", 400, "A value has the wrong JSON type."},
    ErrorCodeInfo {ErrorCode::SettingsOutOfRange, "SettingsOutOfRange", 400, "A value is outside its range."},
    ErrorCodeInfo {ErrorCode::CommandLineInvalid, "CommandLineInvalid", 400, "The command line is not valid."},
    ErrorCodeInfo {ErrorCode::JsonMalformed, "JsonMalformed", 400, "A text is not valid JSON."},
    ErrorCodeInfo {ErrorCode::ListenFailed, "ListenFailed", 500, "A listening socket cannot be opened."},
    ErrorCodeInfo {ErrorCode::FrameTooLong, "FrameTooLong", 502, "A frame is longer than the limit."},
    ErrorCodeInfo {ErrorCode::FrameTruncated, "FrameTruncated", 502, "A connection closed in the middle of a frame."},
    ErrorCodeInfo {ErrorCode::FrameMalformed, "FrameMalformed", 502, "A frame body is not the msgpack value that its type requires."},
    ErrorCodeInfo {ErrorCode::FrameUnknownType, "FrameUnknownType", 502, "A frame has an unknown type."},
    ErrorCodeInfo {ErrorCode::ConnectionClosed, "ConnectionClosed", 502, "A connection to a peer closed."},
    ErrorCodeInfo {ErrorCode::ConnectionRefused, "ConnectionRefused", 503, "A connection to a peer cannot be opened."},
    ErrorCodeInfo {ErrorCode::ProtocolViolation, "ProtocolViolation", 502, "A peer sent a frame that is not allowed in this state."},
    ErrorCodeInfo {ErrorCode::DatagramTooLong, "DatagramTooLong", 500, "A datagram is longer than the limit."},
    ErrorCodeInfo {ErrorCode::PlatformUnavailable, "PlatformUnavailable", 503, "The platform cannot be reached; the call had no effect."},
    ErrorCodeInfo {
        ErrorCode::PlatformOutcomeUnknown, "PlatformOutcomeUnknown", 503, "The platform did not answer; the write may have taken effect."},
    ErrorCodeInfo {ErrorCode::PlatformConflict, "PlatformConflict", 409, "A condition of the transaction does not hold."},
    ErrorCodeInfo {ErrorCode::PlatformMalformedAnswer, "PlatformMalformedAnswer", 502, "The platform's answer cannot be read."},
    ErrorCodeInfo {ErrorCode::PlatformObjectMissing, "PlatformObjectMissing", 404, "The object store has no such object."},
    ErrorCodeInfo {ErrorCode::PlatformMalformedRequest, "PlatformMalformedRequest", 400, "A request to the platform cannot be read."},
    ErrorCodeInfo {ErrorCode::DeclarationMalformed, "DeclarationMalformed", 400, "A declaration is not valid; the path names the field."},
    ErrorCodeInfo {ErrorCode::DanglingReference, "DanglingReference", 422, "A selector or upstream names a service that is not declared."},
    ErrorCodeInfo {ErrorCode::DuplicateObject, "DuplicateObject", 422, "An object is declared twice."},
    ErrorCodeInfo {ErrorCode::VersionTooLow, "VersionTooLow", 409, "A configuration version is not newer than the one held."},
    ErrorCodeInfo {ErrorCode::BaseMismatch, "BaseMismatch", 409, "A delta does not start from the configuration held."},
    ErrorCodeInfo {ErrorCode::DigestMismatch, "DigestMismatch", 409, "A configuration does not have the digest that was announced."},
    ErrorCodeInfo {ErrorCode::ChangeConflict, "ChangeConflict", 409, "Another operator changed the same object first."},
    ErrorCodeInfo {ErrorCode::ChangeOutcomeUnknown,
        "ChangeOutcomeUnknown",
        503,
        "It is not known whether the change was accepted; ask again with the same operation id."},
    ErrorCodeInfo {ErrorCode::ConfigurationUnknown, "ConfigurationUnknown", 503, "The proxy does not hold a configuration yet."},
    ErrorCodeInfo {ErrorCode::ObjectMissing, "ObjectMissing", 404, "The configuration has no such object."},
    ErrorCodeInfo {ErrorCode::ChangeEmpty, "ChangeEmpty", 400, "The change contains nothing to do."},
    ErrorCodeInfo {ErrorCode::VersionRefused, "VersionRefused", 422, "A version was refused because its content is not valid."},
    ErrorCodeInfo {ErrorCode::ServiceUnknown, "ServiceUnknown", 404, "The configuration has no such service."},
    ErrorCodeInfo {ErrorCode::NoRoute, "NoRoute", 403, "No selector allows this caller to reach this service with this request."},
    ErrorCodeInfo {ErrorCode::NoUpstream, "NoUpstream", 503, "The service has no upstream that can take the request."},
    ErrorCodeInfo {ErrorCode::UpstreamBusy, "UpstreamBusy", 503, "Every slot and queue place is taken; the request was not run."},
    ErrorCodeInfo {ErrorCode::QueueTimeout, "QueueTimeout", 503, "The request waited too long for a slot; it was not run."},
    ErrorCodeInfo {ErrorCode::DeadlineExceeded, "DeadlineExceeded", 504, "The deadline passed before an answer arrived."},
    ErrorCodeInfo {ErrorCode::Draining, "Draining", 503, "The upstream is draining; the request was not run."},
    ErrorCodeInfo {ErrorCode::NotReady, "NotReady", 503, "The proxy does not know the newest configuration yet; the request was not run."},
    ErrorCodeInfo {ErrorCode::ClaimUnavailable, "ClaimUnavailable", 503, "The key cannot be claimed; the request was not run."},
    ErrorCodeInfo {ErrorCode::KeyRequired, "KeyRequired", 400, "A request that may not be repeated needs a key."},
    ErrorCodeInfo {ErrorCode::OutcomeUnknown, "OutcomeUnknown", 502, "It is not known whether the request ran."},
    ErrorCodeInfo {
        ErrorCode::UpstreamCrashed, "UpstreamCrashed", 502, "The upstream failed while it ran the request; the outcome is unknown."},
    ErrorCodeInfo {ErrorCode::RequestHeldOff,
        "RequestHeldOff",
        503,
        "Requests like this one crashed upstreams and are held off; the request was not run."},
    ErrorCodeInfo {ErrorCode::BodyTooLarge, "BodyTooLarge", 413, "The body is larger than the limit."},
    ErrorCodeInfo {ErrorCode::RequestMalformed, "RequestMalformed", 400, "The request is not valid; the detail names the part."},
    ErrorCodeInfo {ErrorCode::Cancelled, "Cancelled", 499, "The caller cancelled the request."},
    ErrorCodeInfo {ErrorCode::RetryBudgetExhausted, "RetryBudgetExhausted", 503, "The retry budget is used up; the request was not run."},
    ErrorCodeInfo {ErrorCode::UpstreamRefused, "UpstreamRefused", 503, "The upstream refused the request before running it."},
    ErrorCodeInfo {ErrorCode::AnswerTruncated, "AnswerTruncated", 502, "The answer was cut off; the outcome is unknown."},
    ErrorCodeInfo {ErrorCode::ClaimReleased, "ClaimReleased", 503, "The request that held the key was not run, and neither was this one."},
    ErrorCodeInfo {ErrorCode::CallerNotAllowed, "CallerNotAllowed", 403, "The caller name is missing or not valid."},
    ErrorCodeInfo {ErrorCode::HeadTooLarge, "HeadTooLarge", 431, "The header fields of the request are larger than the limit."},
    ErrorCodeInfo {ErrorCode::HeadTimeout, "HeadTimeout", 408, "The request did not arrive whole in time; it was not run."},
    ErrorCodeInfo {ErrorCode::PlacementDeclined,
        "PlacementDeclined",
        503,
        "The request would wait longer than the caller side allows, which knows a faster upstream; it was not run."},
    ErrorCodeInfo {ErrorCode::AnswerTooLarge,
        "AnswerTooLarge",
        502,
        "The upstream's answer is larger than this proxy can hold; the outcome is unknown."},
    ErrorCodeInfo {
        ErrorCode::WorkspaceKeyMissing, "WorkspaceKeyMissing", 401, "The route needs a key of a workspace; the request was not run."},
    ErrorCodeInfo {ErrorCode::WorkspaceKeyUnknown, "WorkspaceKeyUnknown", 401, "No workspace holds the key; the request was not run."},
    ErrorCodeInfo {
        ErrorCode::KeyUnconfirmed, "KeyUnconfirmed", 503, "It is not known whether the key is still valid; the request was not run."},
    ErrorCodeInfo {ErrorCode::QuotaExceeded, "QuotaExceeded", 429, "The workspace has used up its quota; the request was not run."},
    ErrorCodeInfo {ErrorCode::QuotaUnavailable,
        "QuotaUnavailable",
        503,
        "It is not known whether the workspace has room in its quota; the request was not run."},
    ErrorCodeInfo {ErrorCode::OperatorRequestMalformed, "OperatorRequestMalformed", 400, "An operator request is not valid."},
    ErrorCodeInfo {ErrorCode::WaitTimeout, "WaitTimeout", 504, "The version was not in force everywhere before the deadline."},
    ErrorCodeInfo {ErrorCode::ProxyUnreachable, "ProxyUnreachable", 503, "The proxy cannot be reached."},
    ErrorCodeInfo {ErrorCode::FileUnreadable, "FileUnreadable", 400, "A file cannot be read."},
};

std::span<const ErrorCodeInfo> errorCodeTable()
{
    return ErrorCodes;
}

const ErrorCodeInfo &errorCodeInfo(ErrorCode code)
{
    const auto row = std::lower_bound(
        ErrorCodes.begin(), ErrorCodes.end(), code, [](const ErrorCodeInfo &info, ErrorCode wanted) { return info.code < wanted; });
    if (row == ErrorCodes.end() || row->code != code) {
        return ErrorCodes.front();
    }
    return *row;
}

} // namespace Fuchsiastep
