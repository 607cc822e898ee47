#pragma once

#include "Core/ports.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sesame {

/*!
    One process of an engine. A restarted engine may keep its id.
*/
struct EngineBoot
{
    std::string_view id;
    std::int64_t incarnation = 0;
};

struct EngineNoticesOptions
{
    Duration maxPause {std::chrono::minutes(5)}; //!< Longer pauses are cut to this time.
    //! Greatest delay of the return after a pause, as a share of the pause, so that nodes which
    //! were told the same time return one after the other.
    double returnSpread = 0.2;
    Duration minReturnSpread {std::chrono::milliseconds(50)};
    Duration maxReturnSpread {std::chrono::seconds(1)};
    //! Requests at a time with which a node returns after a pause. Each answer doubles them.
    int firstRequests = 1;
    int fullRequests = 64; //!< Requests at a time from which an engine is no longer limited.
    std::size_t maxEngines = 4096;
};

/*!
    What engines have said of themselves to this node in their answers: that they are leaving, and
    for how long they want no requests from this node.

    An engine that leaves does so until it is replaced by another process, whatever the store lists.
    Both statements are for this node only: the engine tells every node itself, so that a false one
    costs one node an engine, not the deployment. Times must come from a clock that counts
    suspension of the machine.
*/
class EngineNotices
{
public:
    //! Statement that keeps requests from an engine.
    struct Withholding
    {
        bool isLeaving = false;
        Duration asked {}; //!< Pause that the engine asked for.
        Timestamp askedAt {};
        Timestamp until {}; //!< End of the pause.
    };

    explicit EngineNotices(EngineNoticesOptions options = {}) : m_options(options) { }

    /*!
        Records that \a engine said that it is leaving. Returns whether that was not known.
    */
    bool recordLeaving(const EngineBoot &engine, Timestamp now);

    /*!
        Records that \a engine turned a request away and wants none for \a wait. \a random between
        0 and 1 determines the delay of the return. Returns the time for which nothing is sent.
    */
    Duration recordPause(const EngineBoot &engine, Duration wait, double random, Timestamp now);

    /*!
        Records that \a engine answered a request without turning it away.
    */
    void recordAnswer(const EngineBoot &engine, Timestamp now);

    /*!
        Returns how many requests of this node \a engine may have at a time; 0 if none may be sent
        to it.
    */
    int requestLimit(const EngineBoot &engine, Timestamp now) const;

    /*!
        Returns why no request may be sent to \a engine, or std::nullopt if requests may be sent.
    */
    std::optional<Withholding> withholding(const EngineBoot &engine, Timestamp now) const;

    std::size_t size() const { return m_notices.size(); }

private:
    struct Notice
    {
        std::int64_t incarnation = 0;
        bool isLeaving = false;
        Duration asked {};
        Timestamp recordedAt {};
        Timestamp until {};
        int requests = 0; //!< Requests at a time after the pause; 0 if there was no pause.
    };

    Notice &noticeOf(const EngineBoot &engine, Timestamp now);
    const Notice *find(const EngineBoot &engine) const;

    EngineNoticesOptions m_options;
    std::map<std::string, Notice, std::less<>> m_notices; //!< The key is the id of the engine.
};

} // namespace sesame
