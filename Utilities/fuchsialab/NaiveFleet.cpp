#include "NaiveFleet.h"

#include <algorithm>
#include <fstream>

namespace Fuchsiastep {

static constexpr Duration WaitLimit = std::chrono::seconds(60);
static constexpr Duration CommitTimeout = std::chrono::seconds(10);
/// About the size of a declared selector with its rules.
static constexpr std::size_t ObjectBytes = 300;

NaiveFleet::NaiveFleet(std::string programFolder, std::size_t pollers) : m_programFolder(std::move(programFolder)), m_pollers(pollers)
{ }

std::string NaiveFleet::logOf(std::size_t poller) const
{
    return m_folder.pathOf("poller-" + std::to_string(poller) + '-' + std::to_string(m_generation) + ".log");
}

Result<Done> NaiveFleet::tryStart()
{
    Result<std::unique_ptr<LabProcess>> process =
        LabProcess::tryStart({m_programFolder + "/platform-stand-in", {"--log-level=warning"}, {}});
    if (isError(process)) {
        return errorOf(process);
    }
    m_platform = valueOf(std::move(process));
    runLoopUntil([this] { return m_platform->isStarted(); }, WaitLimit);
    const std::optional<SocketAddress> address = m_platform->addressOf("http");
    if (!address) {
        return Error {ErrorCode::ListenFailed, "platform-stand-in"};
    }
    m_address = *address;
    m_client = std::make_unique<PlatformClient>(PlatformClientSettings {"http://" + m_address.toString(), CommitTimeout});
    return tryRestartPollers();
}

Result<Done> NaiveFleet::tryRestartPollers()
{
    for (std::unique_ptr<LabProcess> &poller : m_pollers) {
        poller.reset();
    }
    ++m_generation;
    for (std::size_t index = 0; index < m_pollers.size(); ++index) {
        Result<std::unique_ptr<LabProcess>> process =
            LabProcess::tryStart({m_programFolder + "/naive-poller", {"--platform=http://" + m_address.toString()}, logOf(index)});
        if (isError(process)) {
            return errorOf(process);
        }
        m_pollers[index] = valueOf(std::move(process));
    }
    const auto isStarted = [](const auto &poller) {
        return poller->isStarted();
    };
    if (!runLoopUntil([&] { return std::all_of(m_pollers.begin(), m_pollers.end(), isStarted); }, WaitLimit)) {
        return Error {ErrorCode::WaitTimeout, "naive-poller did not start"};
    }
    return Done {};
}

Result<std::int64_t> NaiveFleet::tryCommit(const std::string &object)
{
    Transaction transaction;
    transaction.writes.push_back({"head", std::to_string(m_version + 1)});
    transaction.writes.push_back({"object/" + object, std::string(ObjectBytes, 'x')});
    std::optional<PlatformResponse> answer;
    m_client->send(std::move(transaction), [&answer](PlatformResponse response) { answer = std::move(response); });
    runLoopUntil([&answer] { return answer.has_value(); }, CommitTimeout + WaitLimit);
    if (!answer || !std::holds_alternative<Committed>(*answer)) {
        return Error {ErrorCode::PlatformUnavailable, "object/" + object};
    }
    ++m_version;
    return Clock::system().unixMilliseconds();
}

/// When the log says that \a version was adopted, or nothing.
static std::optional<std::int64_t> adoptionIn(const std::string &path, std::uint64_t version)
{
    std::ifstream log(path);
    std::uint64_t adopted = 0;
    std::int64_t unixMs = 0;
    while (log >> adopted >> unixMs) {
        if (adopted >= version) {
            return unixMs;
        }
    }
    return std::nullopt;
}

Result<std::int64_t> NaiveFleet::tryAwaitAdoption()
{
    std::int64_t last = 0;
    const auto isAdopted = [this, &last] {
        for (std::size_t index = 0; index < m_pollers.size(); ++index) {
            const std::optional<std::int64_t> unixMs = adoptionIn(logOf(index), m_version);
            if (!unixMs) {
                return false;
            }
            last = std::max(last, *unixMs);
        }
        return true;
    };
    if (!runLoopUntil(isAdopted, WaitLimit)) {
        return Error {ErrorCode::WaitTimeout, "not every poller adopted version " + std::to_string(m_version)};
    }
    return last;
}

std::map<std::string, std::uint64_t> NaiveFleet::counters()
{
    HttpCall call;
    call.url = "http://" + m_address.toString() + "/v1/counters";
    return numbersOf(m_http.fetch(std::move(call)).body);
}

} // namespace Fuchsiastep
