#pragma once

#include <LibCore/LibCore.h>

#include <cstdint>
#include <functional>
#include <string>

namespace Fuchsiastep {

/// The answer to an operator's request.
struct OperatorReply
{
    std::uint16_t status = 200;
    JsonValue body;
};

using OperatorReplyHandler = std::function<void(OperatorReply reply)>;

/// The answer that tells an error.
OperatorReply operatorFailure(const Error &error);

/// POST /v1/operator/changes; \a body is the JSON text.
struct ChangeSubmitted
{
    std::string body;
    /// The operation was submitted before and its answer is not known.
    bool isRepeated = false;
    OperatorReplyHandler reply;
};

/// GET /v1/operator/objects.
struct ObjectsWanted
{
    OperatorReplyHandler reply;
};

/// GET /v1/operator/audit.
struct AuditWanted
{
    std::uint64_t afterVersion = 0;
    std::uint32_t limit = 100;
    OperatorReplyHandler reply;
};

/// GET /v1/operator/routes.
struct RoutesWanted
{
    std::string service;
    OperatorReplyHandler reply;
};

} // namespace Fuchsiastep
