#pragma once

#include "Core/transitmeter.h"
#include "Http/httpcaller.h"
#include "Http/listener.h"
#include "Serving/servingstate.h"

#include <functional>
#include <map>

namespace sesame {

/*!
    Passes the state of stored objects between nodes, so that only a few nodes have to read the
    store. Nodes tell each other the version that they have; one that is behind fetches the changes
    over HTTP.
*/
class StateExchange
{
public:
    //! Receives the objects that a fetched update has changed.
    using ChangeHandler = std::function<void(std::span<const ReplicaObject>)>;

    StateExchange(asio::io_context &context, ServingState &state);

    /*!
        Adds \a replica under \a name. \a versionOf is the version of that state that other nodes
        tell. The store is asked for changes of this kind less often than for others; \a
       ageAllowance is how much older its state may be for that reason.
    */
    void addReplica(const std::string &name, ObjectReplica &replica,
                    wire::StateVersion wire::Sender::*versionOf, Duration ageAllowance,
                    ChangeHandler handler);

    /*!
        Starts to answer the other nodes. Returns the error if the address cannot be opened.
    */
    boost::system::error_code open();

    /*!
        Compares the state of \a sender with the own one and fetches it if that is behind.
    */
    void compare(const wire::Sender &sender);

    /*!
        Forgets the clock of \a node.
    */
    void forget(const std::string &node) { m_transitMeter.forget(node); }

    /*!
        Returns the age of the oldest of this node's states, less the allowance of its kind, or
        std::nullopt if one of them is not known.
    */
    std::optional<Duration> age() const;

    /*!
        Returns the same for the freshest states that other nodes have told.
    */
    std::optional<Duration> peerAge() const;

private:
    struct Kind
    {
        ObjectReplica *replica = nullptr;
        wire::StateVersion wire::Sender::*versionOf = nullptr;
        Duration ageAllowance;
        ChangeHandler handler;
        bool isFetching = false;
        std::optional<Timestamp> peerKnownAt; //!< Freshest state that another node has told.
    };

    void answer(const std::shared_ptr<ServerConnection> &connection, const RequestMessage &request);
    void fetch(const std::string &name, Kind &kind, const wire::Sender &source);

    asio::io_context &m_context;
    ServingState &m_state;
    Listener m_listener;
    std::map<std::string, Kind> m_kinds;
    TransitMeter m_transitMeter;
};

} // namespace sesame
