#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/PlatformEra.h>
#include <LibPlatform/PlatformLimits.h>
#include <LibPlatform/PlatformRequest.h>
#include <LibPlatform/PlatformResponse.h>
#include <LibPlatform/RevisionedRows.h>

namespace Fuchsiastep {

/// The platform's table and object store in memory. Every committed request receives a revision that is higher than all
/// before in its era, and within the era a revision is never used again, not even after a row was deleted.
class PlatformStore
{
public:
    explicit PlatformStore(const Clock &clock, PlatformLimits limits = {});

    /// Answers \a request from the current state.
    PlatformResponse handle(const PlatformRequest &request);
    /// Answers a read as of revision \a asOf. Writes are answered as by handle().
    PlatformResponse handleStale(const PlatformRequest &request, std::uint64_t asOf);

    /// Comes back from a copy that holds nothing after \a revision, in a new era. Later revisions are given out again.
    void restore(std::uint64_t revision);
    PlatformEra era() const
    {
        return m_era;
    }

    std::uint64_t lastRevision() const
    {
        return m_lastRevision;
    }
    /// The last revision that was committed more than \a age ago, as far as the history reaches.
    std::uint64_t revisionBefore(Duration age) const;

private:
    PlatformResponse read(const ReadRows &request, std::uint64_t asOf) const;
    PlatformResponse scan(const ScanRows &request, std::uint64_t asOf) const;
    PlatformResponse watch(const WatchRows &request) const;
    PlatformResponse commit(const Transaction &request);
    PlatformResponse readObject(const GetObject &request, std::uint64_t asOf) const;
    PlatformResponse writeObject(const PutObject &request);

    bool isKeyValid(const std::string &key) const;
    /// The reason why \a request is refused; empty where it is valid.
    std::string_view problemOf(const Transaction &request) const;

    const Clock &m_clock;
    PlatformLimits m_limits;
    RevisionedRows m_table;
    RevisionedRows m_objects;
    std::uint64_t m_lastRevision = 0;
    PlatformEra m_era = 1;
};

} // namespace Fuchsiastep
