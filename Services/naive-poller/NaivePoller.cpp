#include "NaivePoller.h"

#include <iostream>

namespace Fuchsiastep {

static constexpr std::uint32_t RowsPerScan = 100;

NaivePoller::NaivePoller(const std::string &platformUrl, Duration interval)
    : m_client(PlatformClientSettings {platformUrl})
    , m_timer(g_timeout_add(static_cast<guint>(std::chrono::duration_cast<std::chrono::milliseconds>(interval).count()), onTimer, this))
{ }

NaivePoller::~NaivePoller()
{
    g_source_remove(m_timer);
}

gboolean NaivePoller::onTimer(gpointer data)
{
    static_cast<NaivePoller *>(data)->poll();
    return G_SOURCE_CONTINUE;
}

void NaivePoller::poll()
{
    if (m_isPolling) {
        return;
    }
    m_isPolling = true;
    m_client.send(ReadRows {{"head"}}, [this](const PlatformResponse &response) { receiveHead(response); });
}

void NaivePoller::receiveHead(const PlatformResponse &response)
{
    const auto *rows = std::get_if<Rows>(&response);
    if (rows == nullptr || rows->rows.empty() || rows->rows.front().revision == 0) {
        m_isPolling = false;
        return;
    }
    m_headRead = rows->rows.front().value;
    m_objectsRead.clear();
    scan({});
}

void NaivePoller::scan(const std::string &startAfter)
{
    m_client.send(ScanRows {"object/", startAfter, RowsPerScan}, [this](const PlatformResponse &response) { receiveObjects(response); });
}

void NaivePoller::receiveObjects(const PlatformResponse &response)
{
    const auto *rows = std::get_if<Rows>(&response);
    if (rows == nullptr) {
        m_isPolling = false;
        return;
    }
    m_objectsRead.insert(m_objectsRead.end(), rows->rows.begin(), rows->rows.end());
    if (rows->rows.size() == RowsPerScan) {
        scan(m_objectsRead.back().key);
        return;
    }
    m_isPolling = false;
    adopt();
}

void NaivePoller::adopt()
{
    m_objects = std::move(m_objectsRead);
    m_objectsRead = {};
    if (m_headRead == m_version) {
        return;
    }
    m_version = m_headRead;
    std::cerr << m_version << ' ' << Clock::system().unixMilliseconds() << std::endl;
}

} // namespace Fuchsiastep
