#pragma once

#include <thrift/transport/TBufferTransports.h>

#include <cstdint>

namespace sesame {

/*!
    Number of bytes that this process has exchanged with peers, without TCP and IP headers.
*/
struct PeerTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/*!
    Returns the totals of all peer connections since the process started. This function is
    thread-safe.
*/
PeerTraffic peerTraffic();

/*!
    Framed transport to a peer that adds the size of its frames to the totals of peerTraffic().
*/
class PeerTransport : public apache::thrift::transport::TFramedTransport
{
public:
    using TFramedTransport::TFramedTransport;

    void flush() override;

protected:
    bool readFrame() override;
};

} // namespace sesame
