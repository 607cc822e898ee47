#pragma once

#include "Adapter/peermessage.h"
#include "Core/nodesettings.h"

#include <chrono>
#include <optional>
#include <string>

namespace sesame {

//! Destination and timeout of a peer request.
struct PeerCall
{
    Endpoint address;
    std::string node; //!< Expected name of the receiving node; if empty, any node is accepted.
    std::chrono::milliseconds timeout {200};
};

//! Answer to a peer request.
struct PeerReply
{
    std::string sender; //!< Name of the node that answered.
    wire::PeerAnswer answer;
};

/*!
    Sends requests to peers, each on a new connection. May be used from several threads at once.
*/
class PeerClient
{
public:
    explicit PeerClient(PeerIdentity identity);

    /*!
        Sends \a request and waits for the answer. On failure, returns std::nullopt and sets the
        last reason: ResultCode::PeerUnreachable if no answer arrived in time or another node
        answered, and ResultCode::PeerUnauthenticated if one side rejected the other's
        authentication code.
    */
    std::optional<PeerReply> exchange(const PeerCall &call, const wire::PeerRequest &request) const;

private:
    PeerIdentity m_identity;
};

} // namespace sesame
