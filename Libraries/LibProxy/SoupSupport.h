#pragma once

#include <LibCore/LibCore.h>
#include <LibWire/HeaderList.h>

#include <libsoup/soup.h>

#include <string>

namespace Fuchsiastep {

/// Listens on one IP number and port. Returns the address with the port in use. Fails with ListenFailed.
Result<SocketAddress> tryListenHttp(SoupServer *server, const SocketAddress &address);

/// Header fields by lower-case name, without those that belong to one connection only (RFC 9110, 7.6.1).
HeaderList readHeaders(SoupMessageHeaders *headers);
/// Adds the fields, without those that belong to one connection only.
void writeHeaders(SoupMessageHeaders *headers, const HeaderList &fields);
/// The whole body of a request that the server has read.
std::string requestBody(SoupServerMessage *message);
/// {"code":..,"name":..,"detail":..} of an error, as callers and operators see it.
JsonValue::Object describeAsJson(const Error &error);

} // namespace Fuchsiastep
