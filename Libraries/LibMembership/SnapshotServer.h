#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibMembership/DistributorMessages.h>
#include <LibMembership/DistributorSettings.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep {

/// Sends whole configurations to peers, a bounded number at once, and defers the others. A snapshot is in progress until
/// its receiver acknowledges it or its time is over.
class SnapshotServer
{
public:
    SnapshotServer(const DistributorSettings &settings, const Clock &clock, Random &random);

    /// Starts a snapshot for \a peer or defers it. A request that is repeated while parts are still sent gets nothing new.
    std::vector<DistributorOutput> request(const std::string &peer, const Configuration::Pointer &configuration);
    /// Ends the snapshot of \a peer where \a ack answers it.
    void acknowledged(const std::string &peer, const ConfigurationAckFrame &ack);
    /// \a peer is gone.
    void finished(const std::string &peer);
    std::vector<DistributorOutput> advance();
    std::optional<TimePoint> nextDeadline() const;

    std::size_t inProgress() const
    {
        return m_transfers.size();
    }

private:
    struct Transfer
    {
        ConfigurationVersion version = 0;
        Digest digest;
        std::shared_ptr<const std::string> content;
        std::size_t offset = 0;
        bool isEndSent = false;
        /// The next part, or the end of the wait for the acknowledgement.
        TimePoint due;
    };

    std::shared_ptr<const std::string> encoded(const Configuration &configuration);
    SendFrame nextPart(const std::string &peer, Transfer &transfer) const;

    const DistributorSettings &m_settings;
    const Clock &m_clock;
    Random &m_random;
    std::map<std::string, Transfer> m_transfers;
    /// The encoding is shared by the snapshots of one version and freed with the last of them.
    std::weak_ptr<const std::string> m_encoded;
    VersionStamp m_encodedVersion;
};

} // namespace Fuchsiastep
