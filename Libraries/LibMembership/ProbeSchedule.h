#pragma once

#include <LibCore/Random.h>
#include <LibMembership/MembershipTable.h>

#include <string>
#include <vector>

namespace Fuchsiastep {

/// Chooses members to probe. Shuffled round-robin order bounds the time until a failed member is probed, which
/// independent random choices do not.
class ProbeSchedule
{
public:
    ProbeSchedule(const MembershipTable &table, Random &random) : m_table(table), m_random(random)
    { }

    /// The next live peer in the own data centre; nullptr where there is none.
    const MemberRecord *next();
    /// Up to \a count different live peers, without \a excludedId.
    std::vector<const MemberRecord *> sample(std::size_t count, const std::string &excludedId = {});

private:
    void refill();

    const MembershipTable &m_table;
    Random &m_random;
    std::vector<std::string> m_order;
};

} // namespace Fuchsiastep
