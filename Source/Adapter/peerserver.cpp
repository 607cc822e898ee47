#include "Adapter/peerserver.h"

#include "Adapter/log.h"
#include "Adapter/peertransport.h"
#include "Adapter/systemclock.h"
#include "Core/lastreason.h"

#include <Peer.h>
#include <thrift/TConfiguration.h>
#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadPoolServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <future>
#include <thread>

namespace sesame {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::TException;
using apache::thrift::concurrency::ThreadFactory;
using apache::thrift::concurrency::ThreadManager;
using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TThreadPoolServer;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TTransport;
using apache::thrift::transport::TTransportFactory;

constexpr int connectionLimit = 1024;
constexpr int acceptBacklog = 512;

class PeerTransportFactory : public TTransportFactory
{
public:
    std::shared_ptr<TTransport> getTransport(std::shared_ptr<TTransport> transport) override
    {
        const auto config = std::make_shared<TConfiguration>(peerFrameLimitBytes,
                                                             peerFrameLimitBytes);
        return std::make_shared<PeerTransport>(transport, config);
    }
};

class ExchangeService : public wire::PeerIf
{
public:
    ExchangeService(PeerIdentity identity, PeerServer::Handler handler)
        : m_identity(std::move(identity)), m_handler(std::move(handler))
    {
    }

    void exchange(wire::SealedMessage &answer, const wire::SealedMessage &message) override
    {
        const SystemClock clock;
        const auto request = openRequest(m_identity.key, message, clock.wallMillis());
        if (!request) {
            wire::PeerRefused refused;
            refused.code = static_cast<std::int32_t>(lastReason().code);
            refused.reason = lastReason().text;
            logEvent(LogLevel::Warning, "peer_message_refused", {{"reason", lastReason().text}});
            throw refused;
        }
        answer = sealAnswer(m_identity, m_handler(*request, message.sender),
                            message.authenticationCode, clock.wallMillis());
    }

private:
    PeerIdentity m_identity;
    PeerServer::Handler m_handler;
};

class ListenNotifier : public TServerEventHandler
{
public:
    void preServe() override
    {
        m_signalled = true;
        m_listening.set_value();
    }

    // Passes the current exception to wait(). An error after the server has started to listen only
    // ends the server's thread.
    void fail()
    {
        if (!m_signalled)
            m_listening.set_exception(std::current_exception());
    }

    void wait() { m_listening.get_future().get(); }

private:
    std::promise<void> m_listening;
    bool m_signalled = false; //!< Accessed only by the server's thread.
};

} // namespace

struct PeerServer::State
{
    std::shared_ptr<ListenNotifier> signal = std::make_shared<ListenNotifier>();
    std::unique_ptr<TThreadPoolServer> server;
    std::thread thread;
};

std::optional<PeerServer> PeerServer::start(const PeerServerOptions &options, Handler handler)
{
    redirectThriftOutput();
    auto socket = std::make_shared<TServerSocket>(options.address.host, options.address.port);
    socket->setRecvTimeout(static_cast<int>(options.idleTimeout.count()));
    socket->setSendTimeout(static_cast<int>(options.idleTimeout.count()));
    socket->setAcceptBacklog(acceptBacklog);
    auto workers = ThreadManager::newSimpleThreadManager(options.workers);
    workers->threadFactory(std::make_shared<ThreadFactory>(false));
    workers->start();
    auto service = std::make_shared<ExchangeService>(options.identity, std::move(handler));
    auto state = std::make_unique<State>();
    state->server = std::make_unique<TThreadPoolServer>(
            std::make_shared<wire::PeerProcessor>(service), socket,
            std::make_shared<PeerTransportFactory>(),
            std::make_shared<TCompactProtocolFactory>(peerFrameLimitBytes, peerListLimit), workers);
    state->server->setConcurrentClientLimit(connectionLimit);
    state->server->setServerEventHandler(state->signal);
    state->thread = std::thread([server = state->server.get(), signal = state->signal] {
        try {
            server->serve();
        } catch (const TException &e) {
            logEvent(LogLevel::Error, "peer_server_ended",
                     {{"reason", std::string_view(e.what())}});
            signal->fail();
        }
    });
    try {
        state->signal->wait();
    } catch (const TException &e) {
        state->thread.join();
        return fail(ResultCode::InvalidSettings,
                    "cannot listen on " + options.address.host + ":"
                            + std::to_string(options.address.port) + ": " + e.what());
    }
    return PeerServer(std::move(state));
}

PeerServer::PeerServer(std::unique_ptr<State> state) : m_state(std::move(state)) { }

PeerServer::PeerServer(PeerServer &&other) noexcept = default;

PeerServer &PeerServer::operator=(PeerServer &&other) noexcept
{
    if (this != &other) {
        stop();
        m_state = std::move(other.m_state);
    }
    return *this;
}

PeerServer::~PeerServer()
{
    stop();
}

void PeerServer::stop()
{
    if (!m_state || !m_state->thread.joinable())
        return;
    m_state->server->stop();
    m_state->thread.join();
}

} // namespace sesame
