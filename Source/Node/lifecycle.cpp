#include "Node/lifecycle.h"

namespace sesame {

std::string_view toString(NodePhase phase)
{
    switch (phase) {
    case NodePhase::Starting:
        return "starting";
    case NodePhase::Serving:
        return "serving";
    case NodePhase::Withdrawn:
        return "withdrawn";
    case NodePhase::Draining:
        return "draining";
    case NodePhase::Stopped:
        return "stopped";
    }
    return "stopped";
}

NodePhase Lifecycle::phase() const
{
    const std::lock_guard lock(m_mutex);
    return m_phase;
}

void Lifecycle::advance(NodePhase phase)
{
    const std::lock_guard lock(m_mutex);
    if (phase > m_phase)
        m_phase = phase;
    m_changed.notify_all();
}

bool Lifecycle::acceptsRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_phase == NodePhase::Serving || m_phase == NodePhase::Withdrawn;
}

bool Lifecycle::waitForPhase(NodePhase phase, std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [this, phase] {
        return m_phase >= phase;
    });
}

} // namespace sesame
