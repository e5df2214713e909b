#pragma once

#include <fuchsiactl/Member.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// State and version of every proxy.
class FleetStatus
{
public:
    struct Row
    {
        Member member;
        /// Nothing where the proxy did not answer for itself.
        std::optional<MemberStatus> status;

        /// The proxy's own word, or else what the asked proxy knew.
        std::uint64_t version() const;
    };

    explicit FleetStatus(std::vector<Row> rows);

    std::uint64_t newestVersion() const;
    /// Every serving proxy answered for itself and holds the newest version. A silent proxy is not taken as current.
    bool isCurrent() const;
    /// A table and a summary line that names proxies that lag or are silent.
    std::string toText() const;
    JsonValue toJson() const;

private:
    bool isLagging(const Row &row) const;
    std::string summary() const;

    std::vector<Row> m_rows;
    std::uint64_t m_newestVersion = 0;
};

} // namespace Fuchsiastep::ControlTool
