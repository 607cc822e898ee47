#pragma once

#include "Serving/objectstoreclient.h"
#include "Serving/servingstate.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    Keeps the record of this node's streams in the store, and looks streams of other nodes up there
    and at these nodes.
*/
class StreamOriginStore
{
public:
    //! Receives the version that began the stream, or std::nullopt if that is not known.
    using Completion = std::function<void(std::optional<std::string>)>;
    //! Sends a question to a node. Questions and replies may be lost.
    using AskNode = std::function<void(const std::string &node, const wire::StreamQuestion &)>;

    StreamOriginStore(ServingState &state, std::unique_ptr<ObjectStoreClient> writer,
                      std::unique_ptr<ObjectStoreClient> reader, AskNode askNode);

    /*!
        Writes the record if it has changed. Must be called regularly.
    */
    void tick();

    /*!
        Records the version of \a engine.
    */
    void noteEngine(const EngineEntry &engine);

    /*!
        Finds the version at which the stream of \a service that \a attempt began goes on. Calls
        \a completion at once if this node knows it and the versions of the engines, otherwise after
        it has read what the nodes have stored since the call and, if that does not tell, has asked
        them. \a attempt is empty if the caller names none.
    */
    void find(const std::string &service, const std::string &attempt, Completion completion);

    /*!
        Calls \a completion with true once the stored record is as the state of the streams is now,
        or with false if it cannot be written in time.
    */
    void whenStored(std::function<void(bool)> completion);

    /*!
        Returns the reply to the \a question of another node.
    */
    wire::StreamReply answer(const wire::StreamQuestion &question) const;

    /*!
        Takes over the \a reply of \a node to a question of this node.
    */
    void handleReply(const std::string &node, const wire::StreamReply &reply);

private:
    struct StoredWait
    {
        std::uint64_t write = 0; //!< Number of the first write that began after the call.
        std::function<void(bool)> completion;
    };
    struct Lookup
    {
        std::string service;
        std::string attempt;
        Completion completion;
        std::uint64_t firstRead = 0; //!< Number of the first read that began after the call.
        Timestamp deadline; //!< The reads that begin later are not waited for.
        std::map<std::string, StreamOriginReply> replies; //!< By node.
    };

    void noteRestoration();
    void read();
    void scheduleRead();
    void onRead(const StoreReadResult &result, Timestamp start);
    void adoptOwnRecord(const StoreReadResult &result);
    void removeForgotten(const StoreReadResult &result);
    void takeRecords(const StoreReadResult &result);
    std::optional<std::string> decide(const Lookup &lookup,
                                      const std::set<std::string> &nodes) const;
    void completeLookups(std::optional<Timestamp> readStart = {});
    void askNodes();
    void write();
    void completeStoredWaits(bool isStored);
    Duration writeInterval() const;

    ServingState &m_state;
    std::unique_ptr<ObjectStoreClient> m_writer;
    std::unique_ptr<ObjectStoreClient> m_reader;
    AskNode m_askNode;
    asio::steady_timer m_readTimer;
    std::vector<Lookup> m_lookups;
    std::vector<StoredWait> m_storedWaits;
    std::uint64_t m_readCount = 0; //!< Reads that have begun.
    std::optional<StreamOriginRecords> m_records; //!< Result of the latest usable read for lookups.
    std::uint64_t m_recordsRead = 0; //!< Number of that read.
    std::uint64_t m_writeCount = 0; //!< Writes that have begun.
    std::uint64_t m_era = 0; //!< Latest era of the store that this node knows; 0 if none.
    bool m_isReading = false;
    bool m_isReadScheduled = false;
    bool m_isAdopted = false; //!< The record of an earlier process was taken over.
    std::uint64_t m_revision = 0; //!< Revision of this node's record in the store; 0 if none.
    bool m_isWriting = false;
    Timestamp m_nextWriteTime {}; //!< Time from which changed attempts are written.
    Timestamp m_retryTime {}; //!< Time before which nothing is written after a failure.
};

} // namespace sesame
