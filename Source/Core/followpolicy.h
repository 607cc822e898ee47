#pragma once

#include "Core/ports.h"

#include <optional>

namespace sesame {

struct FollowPolicyOptions
{
    //! An aggregator follows the store itself when its knowledge is older than this. The knowledge
    //! of one follower is up to two watches old, that of several is younger.
    Duration aggregatorAgeLimit {std::chrono::milliseconds(1500)};
    //! The same for a node that is no aggregator.
    Duration memberAgeLimit {std::chrono::milliseconds(2600)};
    //! Largest random addition to the limits, so that not all nodes turn to the store at once.
    Duration ageLimitSpread {std::chrono::milliseconds(300)};
    //! A node that hears no other node for this time follows the store itself.
    Duration isolationLimit {std::chrono::milliseconds(1000)};
    //! A node stops to follow when the others' knowledge has been fresh for this time.
    Duration calmTime {std::chrono::seconds(2)};
    //! A node that has to follow again this soon after it stopped was probably the one from which
    //! the others had their knowledge. It follows twice as long before it stops the next time.
    Duration quickReturnLimit {std::chrono::seconds(10)};
    //! Knowledge of the others that is younger than this counts as fresh.
    Duration freshAge {std::chrono::milliseconds(1500)};
};

/*!
    Inputs to the decision whether a node follows the store itself.
*/
struct FollowInputs
{
    bool isFollower = false; //!< The node is one of those that follow the store for the others.
    bool isAggregator = false;
    bool hearsPeers = false; //!< Another node sent something within the isolation limit.
    //! Age of the node's knowledge of the store, from any source; unset if it has none.
    std::optional<Duration> age;
    //! Age of the knowledge that the other nodes told; unset if they have none.
    std::optional<Duration> peerAge;
};

/*!
    Decides whether a node follows the store itself or gets the state from other nodes.

    A few nodes always follow the store, see PeerDirectory::storeFollowers(). The others turn to it
   when what they hear grows too old, and leave it when it is fresh again.
*/
class FollowPolicy
{
public:
    /*!
        \a spread, 0 to 1, is this node's part of the random addition to the limits.
    */
    explicit FollowPolicy(double spread, FollowPolicyOptions options = {})
        : m_options(options), m_spread(spread)
    {
    }

    /*!
        Returns whether the node is to follow the store from \a now on.
    */
    bool update(const FollowInputs &inputs, Timestamp now);

    Duration isolationLimit() const { return m_options.isolationLimit; }

private:
    bool mustFollow(const FollowInputs &inputs) const;

    FollowPolicyOptions m_options;
    double m_spread;
    bool m_isFollowing = false;
    Timestamp m_stoppedAt {};
    int m_quickReturns = 0; //!< Times that the node had to follow again soon after it stopped.
    std::optional<Timestamp> m_calmSince; //!< Time since which the others' knowledge is fresh.
};

} // namespace sesame
