#pragma once

#include "Core/ports.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>
#include <vector>

/*!
    A fake object service with one object. A restore also resets the object version, which is the
    worst case for conditional writes.
*/
class FakeFleetStore
{
public:
    enum class NextWrite { Normal, LoseAnswer, LoseRequest, Delay };

    bool isUp = true;
    NextWrite nextWrite = NextWrite::Normal;
    std::function<void()> beforeWrite; //!< Called once, between an operator's read and write.
    std::function<void()> afterWrite; //!< Called once, before the answer to a write.
    std::string value;
    std::uint64_t version = 0;

    sesame::StoreResult read(std::string_view /*key*/)
    {
        using enum sesame::StoreStatus;
        if (!isUp)
            return {};
        return {.status = version == 0 ? NotFound : Ok, .version = version, .value = value};
    }

    sesame::StoreResult writeIf(std::string_view /*key*/, std::string_view text,
                                std::uint64_t expected)
    {
        if (const auto hook = std::exchange(beforeWrite, nullptr))
            hook();
        if (!isUp)
            return {};
        sesame::StoreResult result = executeWrite(text, expected);
        if (const auto hook = std::exchange(afterWrite, nullptr))
            hook();
        return result;
    }

    /*!
        Executes the delayed writes, even while the store does not answer.
    */
    void deliverDelayed()
    {
        for (const Write &write : std::exchange(m_delayed, {}))
            applyWrite(write.text, write.expected);
    }

    /*!
        Reverts the last \a count writes and discards the delayed writes. With a reverted object
        version, the conditions of delayed writes could become true again, and they would replace
        a newer document.
    */
    void restoreEarlierCopy(std::size_t count)
    {
        const std::size_t index = m_history.size() - std::min(count, m_history.size());
        if (index >= m_history.size())
            return;
        value = m_history[index].text;
        version = m_history[index].expected;
        m_history.resize(index);
        m_delayed.clear();
    }

private:
    struct Write
    {
        std::uint64_t expected = 0;
        std::string text;
    };

    sesame::StoreResult executeWrite(std::string_view text, std::uint64_t expected)
    {
        using enum sesame::StoreStatus;
        switch (std::exchange(nextWrite, NextWrite::Normal)) {
        case NextWrite::LoseAnswer:
            applyWrite(text, expected);
            return {.status = AnswerLost, .version = 0, .value = {}};
        case NextWrite::LoseRequest:
            return {.status = AnswerLost, .version = 0, .value = {}};
        case NextWrite::Delay:
            m_delayed.push_back({.expected = expected, .text = std::string(text)});
            return {.status = AnswerLost, .version = 0, .value = {}};
        case NextWrite::Normal:
            break;
        }
        const bool done = applyWrite(text, expected);
        return {.status = done ? Ok : Conflict, .version = version, .value = {}};
    }

    bool applyWrite(std::string_view text, std::uint64_t expected)
    {
        if (expected != version)
            return false;
        m_history.push_back({.expected = version, .text = value});
        value = text;
        ++version;
        return true;
    }

    std::vector<Write> m_history; //!< Earlier states, with their object version in \c expected.
    std::vector<Write> m_delayed;
};
