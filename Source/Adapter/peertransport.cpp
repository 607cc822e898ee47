#include "Adapter/peertransport.h"

#include <atomic>

namespace sesame {

namespace {
constexpr std::uint64_t frameHeaderBytes = 4;
std::atomic<std::uint64_t> bytesSent {0};
std::atomic<std::uint64_t> bytesReceived {0};
} // namespace

PeerTraffic peerTraffic()
{
    return {.bytesSent = bytesSent, .bytesReceived = bytesReceived};
}

void PeerTransport::flush()
{
    // The buffer starts with space for the frame header. If it holds nothing else, no frame is
    // sent.
    const auto bytes = static_cast<std::uint64_t>(wBase_ - wBuf_.get());
    if (bytes > frameHeaderBytes)
        bytesSent += bytes;
    TFramedTransport::flush();
}

bool PeerTransport::readFrame()
{
    if (!TFramedTransport::readFrame())
        return false;
    bytesReceived += static_cast<std::uint64_t>(rBound_ - rBase_) + frameHeaderBytes;
    return true;
}

} // namespace sesame
