#pragma once

#include "Core/membershiptable.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace sesame {

/*!
    Runs real MembershipTables on a virtual network in virtual time, with one event after the
    other, so that a seed repeats a run exactly.
*/
class VirtualFleet
{
public:
    struct Member
    {
        std::string name;
        std::unique_ptr<MembershipTable> table;
        bool running = true;
        bool leaving = false;
        Timestamp frozenUntil;
        Duration answerDelay {};
        std::uint64_t sentBytes = 0; //!< Sealed requests and answers, without TCP headers.
        std::uint64_t sentMessages = 0;
    };

    explicit VirtualFleet(std::uint64_t seed, MembershipOptions options = {});

    /*!
        Starts a node that joins through up to three running nodes and returns its index.
    */
    std::size_t start(const std::string &name);

    /*!
        Starts \a count nodes and runs until all agree.
    */
    void startAll(std::size_t count);

    void kill(std::size_t node) { m_members[node].running = false; }
    void leave(std::size_t node);
    void freeze(std::size_t node, Duration time) { m_members[node].frozenUntil = m_now + time; }
    void blockLink(std::size_t from, std::size_t to) { m_blockedLinks.emplace(from, to); }
    void isolate(std::size_t node);
    void unblockLinks() { m_blockedLinks.clear(); }

    void run(Duration time);

    /*!
        Runs until \a condition, which is checked every 50 ms. Returns the time it took, or
       std::nullopt after \a limit.
    */
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration limit);

    /*!
        Returns whether every running node that is not leaving lists exactly these nodes. Nodes that
        are leaving stay cut off if all others are replaced in the meantime.
    */
    bool isConverged() const;

    Member &member(std::size_t node) { return m_members[node]; }
    std::size_t size() const { return m_members.size(); }
    Timestamp now() const { return m_now; }
    std::uint64_t eventCount() const { return m_eventCount; }

    double lossRate = 0.0; //!< Probability that a request or an answer is lost.
    bool spreadNonNodeRumours = true; //!< False leaves out all rumours that are not about nodes.
    std::function<void(std::size_t node, const std::vector<Rumour> &accepted)> onRumoursAccepted;

private:
    struct Event
    {
        Timestamp time;
        std::uint64_t order = 0;
        std::size_t node = 0; //!< A frozen node handles its events after it resumes.
        std::function<void()> handle;
        bool operator<(const Event &other) const
        {
            return std::pair(other.time, other.order) < std::pair(time, order);
        }
    };
    using AckHandler = std::function<void()>;

    void schedule(Timestamp time, std::size_t node, std::function<void()> handle);
    void handleNextEvent();
    void tickNode(std::size_t node);
    void send(std::size_t from, std::size_t to, bool wantsState, Duration timeout,
              const AckHandler &onAck);
    void answer(std::size_t from, std::size_t to, bool wantsState, Timestamp deadline,
                const AckHandler &onAck);
    void deliver(std::size_t node, const std::vector<Rumour> &rumours);
    std::vector<Rumour> takeRumoursFor(std::size_t from, std::size_t to, bool wantsState);
    bool drawLoss(std::size_t from, std::size_t to);
    Duration drawLatency();

    MembershipOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Member> m_members;
    std::set<std::pair<std::size_t, std::size_t>> m_blockedLinks;
    std::priority_queue<Event> m_events;
    Timestamp m_now {std::chrono::hours(1)};
    std::uint64_t m_eventCount = 0;
};

} // namespace sesame
