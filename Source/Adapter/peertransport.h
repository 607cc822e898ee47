#pragma once

#include <thrift/transport/TBufferTransports.h>

#include <cstdint>

namespace sesame {

/*!
    Bytes that this process exchanged with peers, without TCP and IP headers.
*/
struct PeerTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/*!
    Returns the totals of all peer connections since the process started. Thread-safe.
*/
PeerTraffic peerTraffic();

/*!
    A framed connection to a peer whose frames count towards peerTraffic().
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
