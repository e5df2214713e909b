#pragma once

#include <LibMembership/MembershipTable.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fuchsiastep {

/// Role of the members that poll the platform for changes.
constexpr std::string_view ReaderRoleName = "reader";
/// Role of the members that exchange records with other data centres.
constexpr std::string_view BridgeRoleName = "bridge";
/// Readers and bridges in each data centre.
constexpr std::size_t RoleHolders = 3;
/// Readers that a data centre has in any case, so that one may fail.
constexpr std::size_t MinimumReaders = 2;

/// The score of a member for a role. Equal on every proxy.
std::uint64_t rendezvousScore(std::string_view role, std::string_view proxyId);

/// The \a count members of a data centre with the highest scores for \a role, highest first. Members that serve or
/// drain go before all others, so that a suspect or a joining member holds a role only where nobody else can. Of these,
/// members with fast links go first: a role costs bandwidth that a slow instance needs for its callers.
std::vector<const MemberRecord *> rendezvousMembers(
    const MembershipTable &table, std::string_view dataCentre, std::string_view role, std::size_t count);

/// The readers of a data centre: the \a count best members for the role. A member with a slow link is one only as long as
/// there are fewer than MinimumReaders others.
std::vector<const MemberRecord *> readersOf(const MembershipTable &table, std::string_view dataCentre, std::size_t count = RoleHolders);

/// True where \a left goes before \a right for \a role in the own data centre. Equal on every proxy with the same table.
bool goesBefore(const MembershipTable &table, std::string_view role, std::string_view left, std::string_view right);

/// True where the proxy of \a table is one of the RoleHolders of \a role in its data centre.
bool holdsRole(const MembershipTable &table, std::string_view role, std::size_t count = RoleHolders);

} // namespace Fuchsiastep
