#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// What a member tells the coordinator of its data centre about one workspace.
struct AllowanceDemand
{
    std::string workspace;
    /// Requests of the workspace that reach the member, in thousandths of a request a second.
    std::uint64_t demandPerKilosecond = 0;
    /// Further tokens that the member could use.
    std::uint64_t wanted = 0;
    /// Tokens that ended unused since the last report.
    std::uint64_t returned = 0;

    bool operator==(const AllowanceDemand &) const = default;
};

/// What the coordinator answers.
struct AllowanceGrant
{
    std::string workspace;
    std::uint64_t tokens = 0;
    /// The workspace has used up its quota: no further tokens for this time. 0 where there are more.
    std::uint64_t exhaustedForMs = 0;
    /// How much more is asked for than there is, in thousandths: 1000 where there is enough.
    std::uint64_t pressurePermille = 1000;

    bool operator==(const AllowanceGrant &) const = default;
};

/// Tokens that one data centre asks of another, or lends to it.
struct AllowanceLoan
{
    std::string workspace;
    std::uint64_t tokens = 0;

    bool operator==(const AllowanceLoan &) const = default;
};

std::string encodeAllowances(const std::vector<AllowanceDemand> &demands);
std::string encodeAllowances(const std::vector<AllowanceGrant> &grants);
std::string encodeAllowances(const std::vector<AllowanceLoan> &loans);

/// All fail with FrameMalformed.
Result<std::vector<AllowanceDemand>> tryDecodeAllowanceDemands(std::string_view bytes);
Result<std::vector<AllowanceGrant>> tryDecodeAllowanceGrants(std::string_view bytes);
Result<std::vector<AllowanceLoan>> tryDecodeAllowanceLoans(std::string_view bytes);

} // namespace Fuchsiastep
