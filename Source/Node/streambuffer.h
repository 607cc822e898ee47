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
    Bounded buffer between the worker that reads from a backend server and the thread that writes to
    the caller. The writer ends it with finish(), the reader with close().
*/
class StreamBuffer
{
public:
    /*!
        Appends \a text. Blocks while 64 KiB or more are unread. Returns false if the reader closed
        the buffer.
    */
    bool write(std::string_view text);

    /*!
        Marks the end of the data. The reader receives the remaining data and then std::nullopt.
    */
    void finish();

    /*!
        Returns the data that was written since the last call, or std::nullopt after the end. Waits
        for data for at most \a timeout, and returns an empty string if there is none.
    */
    std::optional<std::string> read(std::chrono::milliseconds timeout);

    /*!
        Closes the buffer on the reading side. Later writes fail.
    */
    void close();

    /*!
        Returns true if the reader closed the buffer.
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
