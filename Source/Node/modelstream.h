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
    Parameters of an open model request when it starts on this node.
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
    Delivery times of the tokens of a request.
*/
struct StreamTiming
{
    Timestamp arrivedAt;
    Timestamp lastTokenAt;
    Duration timeToFirstToken {0}; //!< Time from the arrival to the first token.
    std::uint64_t tokens = 0;

    /*!
        Returns the mean time between two tokens, or 0 for fewer than two tokens.
    */
    Duration meanTokenGap() const;
};

/*!
    An accepted model request with its stream session and the buffered response to the caller.
    Shared by the worker that runs the request and the thread that serves the caller.
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

    //! Returns false if the request was resumed by token only. Its run can be read, but not started
    //! on another engine.
    bool hasPrompt() const { return !m_options.request.body.empty(); }

    /*!
        Returns the request id that engines receive. It contains the account, because callers of
        different accounts may choose the same request id.
    */
    std::string engineRequestId() const { return m_options.account + "~" + m_options.requestId; }

    Guarded<StreamSession> &session() { return m_session; }
    StreamBuffer &buffer() { return m_buffer; }

    /*!
        Returns true if an attempt on an engine has begun, on this or an earlier node.
    */
    bool hasStarted();

    /*!
        Counts an attempt. Must be called before the attempt is sent to an engine.
    */
    void countAttempt() { ++m_attempts; }

    /*!
        Returns true if at most one attempt was sent, and no earlier one by another node. Only then
        does a cancellation confirmed by the engine prove that the request never ran.
    */
    bool hasSingleAttempt() const;

    /*!
        Stops the delivery to the caller. If \a cancel is true, the run on the engine is cancelled,
        too.
    */
    void detach(bool cancel);
    bool isDetached() const { return m_buffer.isClosed(); }
    bool isCancelled() const { return m_cancelled; }

    /*!
        Requests that the worker continues the request on another engine.
    */
    void requestMove() { m_moveRequested = true; }
    bool isMoveRequested() const { return m_moveRequested; }
    void clearMoveRequest() { m_moveRequested = false; }

    /*!
        Requests that the worker hands the request over to the entry node \a peer. Later events of
        the current attempt are not delivered by this node.
    */
    void requestHandover(std::string peer);

    /*!
        Returns the peer of requestHandover() and clears the handover request, or returns an empty
        string.
    */
    std::string takeHandoverTarget();

    //! Returns true if the caller was directed to a peer, which reports the outcome to it.
    bool isHandedOver() const { return m_handedOver; }
    void markHandedOver() { m_handedOver = true; }
    bool isHandoverRequested() const { return m_handoverRequested; }

    /*!
        Records that a token was delivered at \a now. Returns the time since the previous token, or
        since the arrival of the request for the first token. Must only be called by the thread that
        runs the request.
    */
    Duration recordToken(Timestamp now);
    const StreamTiming &timing() const { return m_timing; }

    void setTicket(Ticket ticket) { m_ticket = ticket; }
    Ticket ticket() const { return m_ticket; }

    /*!
        Ends the stream. The last event reports \a result to the caller, unless the request was
        handed over.
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
