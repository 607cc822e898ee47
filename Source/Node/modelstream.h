#pragma once

#include "Core/admissioncontroller.h"
#include "Core/fleetconfig.h"
#include "Core/streamsession.h"
#include "Node/chatrequest.h"
#include "Node/guarded.h"
#include "Node/requestresult.h"
#include "Node/streambuffer.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

/*!
    What is known about an open model request when it starts on this node.
*/
struct ModelStreamOptions
{
    std::string account;
    std::string requestId;
    Rank rank = Rank::Standard;
    ChatRequest request;
    StreamStart start;
    Timestamp arrivedAt {};
};

/*!
    When the tokens of a request were delivered.
*/
struct StreamTiming
{
    Timestamp arrivedAt;
    Timestamp lastTokenAt;
    Duration timeToFirstToken {0}; //!< Time from the arrival to the first token.
    std::uint64_t tokens = 0;

    /*!
        Returns the mean time between two tokens, 0 before the second one.
    */
    Duration meanGap() const;
};

/*!
    An accepted model request: its session, and the bytes on their way to the caller.
    Shared by the worker that runs it and the thread that serves the caller.
*/
class ModelStream
{
public:
    explicit ModelStream(ModelStreamOptions options);

    const std::string &account() const { return m_options.account; }
    const std::string &requestId() const { return m_options.requestId; }
    const std::string &model() const { return m_options.request.model; }
    const ChatRequest &request() const { return m_options.request; }
    Rank rank() const { return m_options.rank; }
    std::uint64_t fingerprint() const { return m_fingerprint; }
    const std::vector<std::uint64_t> &promptBlocks() const { return m_blocks; }

    //! False if the request came by resume token only, so that it can only be re-attached.
    bool hasPrompt() const { return !m_options.request.body.empty(); }

    /*!
        Returns the engine-side id; it holds the account, because callers choose request ids.
    */
    std::string engineRequestId() const { return m_options.account + "~" + m_options.requestId; }

    Guarded<StreamSession> &session() { return m_session; }
    StreamBuffer &buffer() { return m_buffer; }

    /*!
        Returns true if an attempt on an engine has begun, here or on an earlier node.
    */
    bool hasStarted();

    /*!
        Counts an attempt that is about to be sent to an engine.
    */
    void countAttempt() { ++m_attempts; }

    /*!
        Returns true if at most one attempt was sent, and by this node. Only then does a cancel
        that the engine confirms mean that the request never ran.
    */
    bool hasSingleAttempt() const;

    /*!
        Ends the caller's side. With \a cancel the run on the engine is cancelled, too.
    */
    void detach(bool cancel);
    bool isDetached() const { return m_buffer.isClosed(); }
    bool isCancelled() const { return m_cancelled; }

    /*!
        Asks the worker to continue the request on another engine.
    */
    void requestMove() { m_moveRequested = true; }
    bool isMoveRequested() const { return m_moveRequested; }
    void clearMoveRequest() { m_moveRequested = false; }

    /*!
        Asks the worker to pass the request to the entry node \a peer. Events of the current
        attempt that arrive later are not delivered here.
    */
    void requestHandover(std::string peer);

    /*!
        Returns the peer of requestHandover() and forgets it, or returns an empty text.
    */
    std::string takeHandoverTarget();
    //! The caller was told to continue on a peer, which tells it the outcome.
    bool isHandedOver() const { return m_handedOver; }
    void markHandedOver() { m_handedOver = true; }
    bool isHandoverRequested() const { return m_handoverRequested; }

    /*!
        Notes that a token was delivered at \a now. Returns the time since the token before, or
        since the arrival for the first one. Only called by the thread that runs the request.
    */
    Duration recordToken(Timestamp now);
    const StreamTiming &timing() const { return m_timing; }

    void setTicket(Ticket ticket) { m_ticket = ticket; }
    Ticket ticket() const { return m_ticket; }

    /*!
        Ends the stream with \a result, which the caller is told in the last event.
    */
    void finish(const RequestResult &result);
    RequestResult result();

private:
    const ModelStreamOptions m_options;
    const std::uint64_t m_fingerprint;
    const std::vector<std::uint64_t> m_blocks;
    Guarded<StreamSession> m_session;
    StreamTiming m_timing;
    Guarded<RequestResult> m_result;
    Guarded<std::string> m_handoverTarget;
    StreamBuffer m_buffer;
    std::atomic<bool> m_cancelled {false};
    std::atomic<unsigned> m_attempts {0};
    std::atomic<bool> m_moveRequested {false};
    std::atomic<bool> m_handoverRequested {false};
    std::atomic<bool> m_handedOver {false};
    std::atomic<Ticket> m_ticket {0};
};

} // namespace sesame
