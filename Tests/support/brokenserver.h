#pragma once

#include "support/rawengine.h"

#include <future>
#include <thread>
#include <vector>

namespace sesame::test {

/*!
    An answer that is broken.
*/
struct BrokenAnswer
{
    std::string name;
    std::string bytes;
    RawEngine::End end = RawEngine::End::Close;
};

/*!
    Returns answers with status 200, the header lines \a fields and the body \a body, each broken in
    one way. The last one ends with a reset and has no length, so it is broken only if the request
    is too long for the buffers of the sockets.
*/
inline std::vector<BrokenAnswer> makeBrokenAnswers(const std::string &fields,
                                                   const std::string &body)
{
    const std::string sized = fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    return {{.name = "status-000", .bytes = "HTTP/1.1 000 None\r\n" + sized},
            {.name = "status-099", .bytes = "HTTP/1.1 099 None\r\n" + sized},
            {.name = "status-600", .bytes = "HTTP/1.1 600 None\r\n" + sized},
            {.name = "name-with-blank", .bytes = ok + "X Note: 1\r\n" + sized},
            {.name = "name-with-control", .bytes = ok + "X-\x01Note: 1\r\n" + sized},
            {.name = "line-after-blank", .bytes = ok + "X-Note: 1\r\n X-Other: 2\r\n" + sized},
            {.name = "reset", .bytes = ok + fields + "\r\n" + body, .end = RawEngine::End::Reset}};
}

/*!
    Returns an entry of the cloud API's list for the instance \a id of the service "orders" at the
    URL \a address.
*/
inline std::string formatServiceInstance(const std::string &id, const std::string &address)
{
    return R"({"id":")" + id + R"(","incarnation":1,"kind":"service","class":"order-system",)"
            + R"("service":"orders","address":")" + address
            + R"(","zone":"pathum-a","market":"reclaimable","price_per_hour":1,"state":"running"})";
}

/*!
    A RawEngine that runs in a thread of its own.
*/
class BrokenServer
{
public:
    BrokenServer()
        : m_engine(m_context, Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)),
          m_thread([this] {
              m_context.run();
          })
    {
        m_engine.limitSegments();
    }

    ~BrokenServer()
    {
        m_context.stop();
        m_thread.join();
    }
    BrokenServer(const BrokenServer &) = delete;
    BrokenServer &operator=(const BrokenServer &) = delete;

    Tcp::endpoint address() const { return m_engine.address(); }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(address().port()); }

    void setAnswer(const std::string &answer, RawEngine::End end)
    {
        runInLoop([&] {
            m_engine.setAnswer(answer, end);
        });
    }

    int requestCount()
    {
        int n = 0;
        runInLoop([&] {
            n = m_engine.requestCount();
        });
        return n;
    }

    std::string lastRequest()
    {
        std::string request;
        runInLoop([&] {
            request = m_engine.lastRequest();
        });
        return request;
    }

    int usedConnectionCount()
    {
        int n = 0;
        runInLoop([&] {
            n = m_engine.usedConnectionCount();
        });
        return n;
    }

private:
    template <typename Action>
    void runInLoop(Action action)
    {
        std::promise<void> done;
        asio::post(m_context, [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    asio::io_context m_context {1};
    RawEngine m_engine;
    std::thread m_thread;
};

} // namespace sesame::test
