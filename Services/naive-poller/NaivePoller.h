#pragma once

#include <LibPlatform/LibPlatform.h>

#include <string>

namespace Fuchsiastep {

/// Keeps a view current in the naive way: polls the platform and takes the whole each time. It is the baseline
/// that the distribution of fuchsiastep is compared with.
class NaivePoller
{
public:
    NaivePoller(const std::string &platformUrl, Duration interval);
    ~NaivePoller();
    NaivePoller(const NaivePoller &) = delete;
    NaivePoller &operator=(const NaivePoller &) = delete;

    void poll();

private:
    static gboolean onTimer(gpointer data);
    void scan(const std::string &startAfter);
    void receiveHead(const PlatformResponse &response);
    void receiveObjects(const PlatformResponse &response);
    void adopt();

    PlatformClient m_client;
    guint m_timer;
    bool m_isPolling = false;
    /// The poll that is in progress.
    std::string m_headRead;
    std::vector<Row> m_objectsRead;
    /// The view that is in force.
    std::string m_version;
    std::vector<Row> m_objects;
};

} // namespace Fuchsiastep
