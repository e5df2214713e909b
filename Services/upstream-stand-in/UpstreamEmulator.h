#pragma once

#include "EmulatedAnswer.h"
#include "EmulatedRequest.h"
#include "EmulatedRun.h"
#include "EmulatorSettings.h"
#include "RunCounter.h"

#include <LibCore/LibCore.h>

#include <fstream>
#include <variant>

namespace Fuchsiastep {

/// Decides how an emulated upstream treats each request. Sockets and timers belong to UpstreamHttpServer.
class UpstreamEmulator
{
public:
    UpstreamEmulator(EmulatorSettings settings, const Clock &clock, std::uint64_t seed);

    /// Names the upstream after its service and port where the settings give no id.
    void setDefaultId(const SocketAddress &address);

    /// Starts a run, or refuses the request without running it.
    std::variant<EmulatedRun, EmulatedAnswer> begin(const EmulatedRequest &request);
    /// The answer to a run that lasted its duration.
    EmulatedAnswer finish(const EmulatedRequest &request, const EmulatedRun &run);
    /// The run was given up because its client is gone.
    void abandon();

    void startDraining();
    bool isDraining() const
    {
        return m_isDraining;
    }

    EmulatedAnswer health() const;
    EmulatedAnswer load() const;
    EmulatedAnswer runs() const;
    /// Body of POST /v1/upstream/announce.
    JsonValue announcement(const SocketAddress &address) const;

    const EmulatorSettings &settings() const
    {
        return m_settings;
    }

private:
    std::uint32_t loadWith(std::uint32_t running) const;
    /// Load as it is reported, which may be misleading.
    std::uint32_t reportedLoad() const;
    /// Factor by which requests take longer now, from the cold start and from more runs than slots.
    double slowness() const;
    Duration drawDuration(const EmulatedRequest &request);
    EmulatedAnswer refuse(std::string_view reason);
    void logRun(const std::string &key);
    EmulatedAnswer echo(const EmulatedRequest &request, const EmulatedRun &run) const;

    EmulatorSettings m_settings;
    const Clock &m_clock;
    Random m_random;
    TimePoint m_startedAt;
    RunCounter m_counter;
    bool m_isDraining = false;
    std::ofstream m_runLog;
};

} // namespace Fuchsiastep
