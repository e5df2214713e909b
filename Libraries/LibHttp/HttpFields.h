#pragma once

#include <LibWire/HeaderList.h>

#include <string>
#include <string_view>

namespace Fuchsiastep {

/// Whether the field, by its lower-case name, belongs to one connection and is not passed on (RFC 9110, 7.6.1).
/// Content-Length counts as such, since each message is framed anew.
bool isConnectionField(std::string_view lowerName);

std::string toLowerAscii(std::string_view text);

/// The value of a field by its lower-case name; empty where there is none.
std::string fieldOf(const HeaderList &headers, const char *name);

constexpr std::string_view SetCookieName = "set-cookie";
/// Joins the values of Set-Cookie, which hold commas themselves. Cannot be part of a field value.
constexpr char SetCookieSeparator = '\n';

} // namespace Fuchsiastep
