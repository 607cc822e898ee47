#pragma once

#include "Core/ports.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace sesame {

/*!
    Largest of the numbers that were added within a window of time.
*/
class SlidingMaximum
{
public:
    /*!
        Adds \a n, and forgets what was added more than \a window before \a now.
    */
    void add(int n, Duration window, Timestamp now)
    {
        while (!m_numbers.empty() && m_numbers.back().second <= n)
            m_numbers.pop_back();
        m_numbers.emplace_back(now, n);
        while (now - m_numbers.front().first > window)
            m_numbers.pop_front();
    }

    /*!
        Returns the largest number within \a window, which must not be longer than that of add(),
        or 0 if there is none.
    */
    int largest(Duration window, Timestamp now) const
    {
        const auto found = std::find_if(m_numbers.begin(), m_numbers.end(), [&](const auto &item) {
            return now - item.first <= window;
        });
        return found == m_numbers.end() ? 0 : found->second;
    }

private:
    //! In decreasing order, each with the time at which it was added.
    std::deque<std::pair<Timestamp, int>> m_numbers;
};

} // namespace sesame
