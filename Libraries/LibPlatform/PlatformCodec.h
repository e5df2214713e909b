#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/PlatformHttpAnswer.h>
#include <LibPlatform/PlatformHttpRequest.h>
#include <LibPlatform/PlatformRequest.h>
#include <LibPlatform/PlatformResponse.h>

namespace Fuchsiastep {

// The HTTP API of the platform. Bodies are msgpack, except that the content of an object is sent as
// it is. Keys, values and prefixes are msgpack bin; str is read as well.
//
//   POST /v1/table/read          [key, ...]                                        200 [[key, revision, value], ...]
//   POST /v1/table/scan          [prefix, startAfter, limit]                       200 [[key, revision, value], ...]
//   POST /v1/table/transaction   [[[key, revision], ...], [[key, value or nil], ...]]  200 [revision], 409 [[key, revision, value], ...]
//   POST /v1/table/watch         [prefix, afterRevision, waitMs]                   200 [[[key, revision, value], ...], revision]
//   GET  /v1/objects/<name>                                                        200 content, 404 failure
//   PUT  /v1/objects/<name>      content                                           200 [revision]
//
// <name> is percent-encoded as one path segment. A failure has the body [result code, detail].
// HTTP 503 means that the call had no effect, whatever its body; HTTP 400 that it is malformed or too large; HTTP 410 that
// the changes after the revision of a watch are not known, because they are too old or the platform is not there yet.
// Every answer has the era of the platform in the field Store-Era (see PlatformEra.h).

/// Media type of every body that is not the content of an object.
constexpr const char *PlatformMediaType = "application/msgpack";
/// Media type of the content of an object.
constexpr const char *PlatformObjectMediaType = "application/octet-stream";
/// Header field with the era.
constexpr const char *PlatformEraHeader = "Store-Era";

PlatformHttpRequest encodePlatformRequest(const PlatformRequest &request);
/// Fails with PlatformMalformedRequest.
Result<PlatformRequest> tryDecodePlatformRequest(const PlatformHttpRequest &request);

PlatformHttpAnswer encodePlatformResponse(const PlatformResponse &response);
/// Reads the answer to \a request. Fails with PlatformMalformedAnswer, also where the answer does not fit the request.
Result<PlatformResponse> tryDecodePlatformResponse(const PlatformRequest &request, unsigned status, std::string_view body);

} // namespace Fuchsiastep
