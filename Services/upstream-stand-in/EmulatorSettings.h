#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace Fuchsiastep {

/// How an emulated upstream behaves.
struct EmulatorSettings
{
    std::string upstreamId;
    std::string service;
    std::map<std::string, std::string> labels;
    /// Requests that run at full speed at once. More than these is a violation by whoever sent them.
    std::uint32_t slots = 6;
    std::uint32_t connections = 130;
    Duration serviceTime = std::chrono::milliseconds(2);
    /// Time after the start during which requests take longer.
    Duration coldStart {0};
    /// Load in thousandths of the slots above which a request is shed; 0 sheds nothing.
    std::uint32_t shedAtPermille = 0;
    /// Health says the opposite of the truth.
    bool healthLies = false;
    /// Load is reported as its complement: idle as full and full as idle.
    bool loadLies = false;
    Duration healthDelay = std::chrono::milliseconds(6);
    /// Each run is appended to this file as it begins, "<unix ms> <key>", so that runs of a killed process stay known.
    std::string runLogPath;
};

} // namespace Fuchsiastep
