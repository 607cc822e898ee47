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
    Simulates a fleet of real MembershipTables on a virtual network in virtual time. Events are
    processed one after the other, so that a seed reproduces a run exactly.
*/
class VirtualFleet
{
public:
    //! A simulated node.
    struct Member
    {
        std::string name;
        std::unique_ptr<MembershipTable> table;
        bool running = true;
        bool leaving = false;
        Timestamp frozenUntil; //!< End of the time in which the node processes no events.
        Duration answerDelay {}; //!< Time that the node takes to answer.
        std::uint64_t sentBytes = 0; //!< Sealed requests and answers, without TCP headers.
        std::uint64_t sentMessages = 0;
    };

    explicit VirtualFleet(std::uint64_t seed, MembershipOptions options = {});

    /*!
        Starts a node that joins through up to three running nodes and returns its index.
    */
    std::size_t start(const std::string &name);

    /*!
        Starts \a count nodes and runs until they have converged.
    */
    void startAll(std::size_t count);

    void kill(std::size_t node) { m_members[node].running = false; }
    void leave(std::size_t node);
    void freeze(std::size_t node, Duration time) { m_members[node].frozenUntil = m_now + time; }
    /*!
        Discards all messages from the node \a from to the node \a to.
    */
    void blockLink(std::size_t from, std::size_t to) { m_blockedLinks.emplace(from, to); }
    /*!
        Blocks all links from and to \a node.
    */
    void isolate(std::size_t node);
    void unblockLinks() { m_blockedLinks.clear(); }

    void run(Duration time);

    /*!
        Runs until \a condition is true, which is checked every 50 ms. Returns the elapsed time, or
        std::nullopt if the condition is still false after \a limit.
    */
    std::optional<Duration> runUntil(const std::function<bool()> &condition, Duration limit);

    /*!
        Returns whether the list of live nodes of every running node that is not leaving consists of
        exactly these nodes. Nodes that are leaving are excluded, because they lose contact if all
        others are replaced in the meantime.
    */
    bool isConverged() const;

    Member &member(std::size_t node) { return m_members[node]; }
    std::size_t size() const { return m_members.size(); }
    Timestamp now() const { return m_now; }
    std::uint64_t eventCount() const { return m_eventCount; }

    double lossRate = 0.0; //!< Probability that a request or an answer is lost.
    bool spreadNonNodeRumours = true; //!< If false, only rumours about nodes are sent.
    //! Called when a node accepts rumours that are new to it.
    std::function<void(std::size_t node, const std::vector<Rumour> &accepted)> onRumoursAccepted;

private:
    struct Event
    {
        Timestamp time;
        std::uint64_t order = 0;
        std::size_t node = 0; //!< A frozen node processes its events after it resumes.
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
