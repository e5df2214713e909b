#pragma once

#include <LibCore/JsonValue.h>
#include <LibCore/Result.h>
#include <LibCore/SocketAddress.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// A member as one proxy knows it.
struct Member
{
    std::string proxy;
    std::string dataCentre;
    std::string state;
    /// Nothing where the proxy does not know it.
    std::optional<SocketAddress> control;
    /// The newest version that the asked proxy knows the member to hold.
    std::uint64_t version = 0;

    /// The member takes part in the mesh: it has neither left nor failed.
    bool isLive() const;
    bool isServing() const;
};

/// Reads the answer of GET /v1/operator/members. Fails with JsonMalformed.
Result<std::vector<Member>> tryReadMembers(const JsonValue &answer);

/// What a proxy says about itself.
struct MemberStatus
{
    std::string proxy;
    bool isReady = false;
    bool isDraining = false;
    std::uint64_t version = 0;
    /// The newest version that the proxy knows of.
    std::uint64_t knownVersion = 0;
};

/// Reads the answer of GET /v1/operator/status. Fails with JsonMalformed.
Result<MemberStatus> tryReadMemberStatus(const JsonValue &answer);

} // namespace Fuchsiastep::ControlTool
