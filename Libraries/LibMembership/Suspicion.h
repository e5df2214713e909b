#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/FailureDetectorSettings.h>

#include <cstddef>
#include <set>
#include <string>

namespace Fuchsiastep {

/// One member that does not answer: who found that out, and until when it may refute.
class Suspicion
{
public:
    /// \a members is the number of live members of the data centre.
    Suspicion(const FailureDetectorSettings &settings, TimePoint now, std::size_t members);

    /// True where \a accuser is new, so that the accusation is worth passing on.
    bool addAccuser(const std::string &accuser);
    std::size_t accuserCount() const
    {
        return m_accusers.size();
    }
    TimePoint startedAt() const
    {
        return m_startedAt;
    }

    /// When the member is removed, or probed again where the evidence is not enough.
    TimePoint deadline() const;
    void postpone(TimePoint until);
    /// Starts again without accusers, because those heard so far may be wrong.
    void restart(TimePoint now);

private:
    Duration m_shortest;
    Duration m_longest;
    std::size_t m_confirmationsForShortest;
    TimePoint m_startedAt;
    TimePoint m_notBefore;
    std::set<std::string> m_accusers;
};

} // namespace Fuchsiastep
