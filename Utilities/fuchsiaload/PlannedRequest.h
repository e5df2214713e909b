#pragma once

#include "RequestKind.h"

#include <cstdint>
#include <string>

namespace Fuchsiastep {

/// One request before it is sent.
struct PlannedRequest
{
    RequestKind kind = RequestKind::Lookup;
    /// Counts the requests of the run from 0; the two of a repeated order have the same number.
    std::uint64_t number = 0;
    std::string method;
    std::size_t target = 0;
    /// Path that the upstream sees. It contains an id that no other request has.
    std::string path;
    /// Idempotency key; empty where the request has none.
    std::string key;
    std::string body;
    /// Bytes of the document that is asked for.
    std::uint32_t documentBytes = 0;
};

} // namespace Fuchsiastep
