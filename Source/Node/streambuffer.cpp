#include "Node/streambuffer.h"

#include <utility>

namespace sesame {

namespace {
constexpr std::size_t maxUnreadBytes = 65'536;
} // namespace

bool StreamBuffer::write(std::string_view text)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] {
        return m_closed || m_text.size() < maxUnreadBytes;
    });
    if (m_closed)
        return false;
    const bool wasEmpty = m_text.empty();
    m_text.append(text);
    lock.unlock();
    // Notifies after unlocking, so that the reader does not wake up and wait for the mutex. A
    // reader only waits while the buffer is empty.
    if (wasEmpty)
        m_changed.notify_all();
    return true;
}

void StreamBuffer::finish()
{
    const std::lock_guard lock(m_mutex);
    m_finished = true;
    m_changed.notify_all();
}

std::optional<std::string> StreamBuffer::read(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [this] {
        return m_finished || m_closed || !m_text.empty();
    });
    if (m_text.empty() && (m_finished || m_closed))
        return std::nullopt;
    std::string text = std::exchange(m_text, {});
    lock.unlock();
    // A writer only waits while the unread data has reached the limit.
    if (text.size() >= maxUnreadBytes)
        m_changed.notify_all();
    return text;
}

void StreamBuffer::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

bool StreamBuffer::isClosed() const
{
    const std::lock_guard lock(m_mutex);
    return m_closed;
}

} // namespace sesame
