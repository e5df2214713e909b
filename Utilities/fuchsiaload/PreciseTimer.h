#pragma once

#include <LibCore/Clock.h>

#include <functional>

namespace Fuchsiastep {

/// A one-shot timer of the default main context with microseconds. GLib's own timeouts round up to
/// milliseconds, which is as long as the latencies that are measured.
class PreciseTimer
{
public:
    explicit PreciseTimer(std::function<void()> callback);
    ~PreciseTimer();
    PreciseTimer(const PreciseTimer &) = delete;
    PreciseTimer &operator=(const PreciseTimer &) = delete;

    /// Calls back once after \a delay, instead of what was set before.
    void start(Duration delay);

    /// Called by the main context.
    void onReady();

private:
    std::function<void()> m_callback;
    int m_descriptor = -1;
    unsigned m_source = 0;
};

} // namespace Fuchsiastep
