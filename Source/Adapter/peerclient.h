#pragma once

#include "Adapter/peermessage.h"
#include "Core/nodesettings.h"

#include <chrono>
#include <optional>
#include <string>

namespace sesame {

struct PeerCall
{
    Endpoint address;
    std::string node; //!< Expected name of the receiver; empty accepts any.
    std::chrono::milliseconds timeout {200};
};

struct PeerReply
{
    std::string sender;
    wire::PeerAnswer answer;
};

/*!
    Sends peer requests, each on a connection of its own. Safe to use from several threads.
*/
class PeerClient
{
public:
    explicit PeerClient(PeerIdentity identity);

    /*!
        Sends \a request and waits for the answer. Returns std::nullopt with
        ResultCode::PeerUnreachable if none arrived in time or another node answered, and with
        ResultCode::PeerUnauthenticated if either side refused the other's seal.
    */
    std::optional<PeerReply> exchange(const PeerCall &call, const wire::PeerRequest &request) const;

private:
    PeerIdentity m_identity;
};

} // namespace sesame
