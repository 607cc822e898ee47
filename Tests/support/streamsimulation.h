#pragma once

#include "Core/sesamecore.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sesame {

/*!
    Simulates the callers, nodes and engines of several requests, using the real StreamSession and
    ResumeToken. A seed determines the run. Every run of a request produces a different text, as an
    engine with random sampling does after a restart, so that a token of the wrong attempt, request,
    account or offset changes the text that a caller receives.
*/
class StreamSimulation
{
public:
    explicit StreamSimulation(std::uint64_t seed);

    /*!
        Performs one random action. Returns a description of the fault found, or an empty text.
    */
    std::string step();

    std::uint64_t completed() const { return m_completed; }
    const std::map<StreamVerdict, std::uint64_t> &verdicts() const { return m_verdicts; }
    std::uint64_t handovers() const { return m_handovers; }

private:
    //! Execution of a request on one engine, which continues until its answer ends.
    struct Run
    {
        std::size_t request = 0;
        std::uint64_t serial = 0;
        AttemptEngine engine;
        std::uint64_t attempt = 0;
        std::uint64_t startOffset = 0;
    };

    //! A node's session for a request. Sessions that the caller has left are kept and still receive
    //! late events.
    struct Session
    {
        std::size_t request = 0;
        std::unique_ptr<StreamSession> stream;
        Run run;
    };

    //! A connection from a node to an engine.
    struct Connection
    {
        std::size_t session = 0;
        StreamAttempt source;
        Run run;
        std::uint64_t nextOffset = 0;
        std::deque<std::uint64_t> offsets; //!< Sent by the engine but not yet read by the node.
    };

    //! A caller's request and the text that the caller has received.
    struct Request
    {
        std::string id;
        std::string account;
        std::uint64_t attemptCount = 0;
        std::uint64_t tokenCount = 0;
        std::size_t session = 0; //!< The session to which the caller is connected.
        std::string token;
        std::deque<std::string> inTransit; //!< Tokens from the node not yet read by the caller.
        std::string received;
        std::string expected; //!< Expected text, computed independently of the session.
        std::uint64_t receivedTokens = 0;
    };

    std::size_t pick(std::size_t n);
    std::string makeToken(const Run &run, std::uint64_t offset) const;
    void startRequest(std::size_t slot);
    std::size_t addSession(std::size_t slot, StreamStart start);
    void beginRun(std::size_t session);
    void connect(std::size_t session, const StreamAttempt &attempt, std::uint64_t from);
    void issueToken(std::size_t session);
    void produceTokens();
    void injectFault(Connection *connection);
    void deliverTokens();
    void deliverNextToken(Connection *from);
    std::string readAsCaller();
    std::string checkReceivedText(Request *request);
    void reattachOrRecompute();
    std::string moveCaller();
    std::string checkTokenMisuse();
    void resendRequest(std::size_t slot);

    std::mt19937_64 m_random;
    std::uint64_t m_clock = 1'000'000;
    std::uint64_t m_nextSerial = 1;
    std::vector<Request> m_requests;
    std::deque<Session> m_sessions;
    std::deque<Connection> m_connections;
    std::map<StreamVerdict, std::uint64_t> m_verdicts;
    std::uint64_t m_completed = 0;
    std::uint64_t m_handovers = 0;
};

} // namespace sesame
