#pragma once

#include <LibHttp/HttpMessage.h>

#include <string>

namespace Fuchsiastep {

/// The bytes of a request, framed by Content-Length.
std::string serializeRequest(const HttpMessage &request);
/// The bytes of a response, framed by Content-Length. \a isBodyForbidden: it answers a HEAD request. Adds
/// "Connection: close" where HttpMessage::isLast is set.
std::string serializeResponse(const HttpMessage &response, bool isBodyForbidden);

} // namespace Fuchsiastep
