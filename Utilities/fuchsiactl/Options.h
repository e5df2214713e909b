#pragma once

#include <LibCore/Clock.h>
#include <LibCore/SocketAddress.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Fuchsiastep::ControlTool {

/// The values of all flags.
struct Options
{
    /// Control addresses, tried in turn.
    std::vector<SocketAddress> proxies;
    bool isJson = false;
    /// Longest time for the whole command.
    Duration timeout = std::chrono::seconds(30);
    std::string operatorName;
    std::string comment;
    /// Id of the change; chosen at random where it is empty.
    std::string operation;
    bool isPruning = false;
    bool isWaiting = false;
    bool isDryRun = false;
    std::uint64_t after = 0;
    std::uint32_t limit = 100;
};

} // namespace Fuchsiastep::ControlTool
