#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Bytes on their way from the worker that reads a backend server to the thread that writes
    to the caller. Both sides may end it.
*/
class StreamBuffer
{
public:
    /*!
        Appends \a text; waits while a slow caller has more than the limit unread.
        Returns false if the reading side closed the buffer.
    */
    bool write(std::string_view text);

    /*!
        Marks the end; the reader gets what is left and then std::nullopt.
    */
    void finish();

    /*!
        Returns what was written since the last call, or std::nullopt after the end.
        Waits for at most \a timeout and then returns an empty string.
    */
    std::optional<std::string> read(std::chrono::milliseconds timeout);

    /*!
        Ends the reading side: later writes fail.
    */
    void close();

    /*!
        Returns true if the reading side was closed.
    */
    bool isClosed() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_text;
    bool m_finished = false;
    bool m_closed = false;
};

} // namespace sesame
