#pragma once

// Blocking HTTP/1.1 over loopback sockets for the stand-ins: one thread per connection.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Fields = std::vector<std::pair<std::string, std::string>>;

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline std::string findField(const Fields &fields, std::string_view name)
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

/*!
    Returns whether TCP and UDP sockets can be bound to \a port on \a ip.
*/
inline bool isPortFree(const std::string &ip, int port)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int fd = ::socket(AF_INET, type, 0);
        const sockaddr_in address = socketAddress(ip, port);
        const int result = ::bind(fd, reinterpret_cast<const sockaddr *>(&address),
                                  sizeof(address));
        ::close(fd);
        if (result != 0)
            return false;
    }
    return true;
}

struct Request
{
    std::string method;
    std::string target;
    Fields fields;
    std::string body;
};

struct Answer
{
    enum class End { Complete, Closed, Reset, Timeout, NotSent };

    End end = End::NotSent;
    int status = 0; //!< 0 if no head arrived.
    Fields fields;
    std::string body;
    std::size_t receivedBytes = 0; //!< Bytes of any kind that arrived for the request.
};

inline const char *endName(Answer::End end)
{
    switch (end) {
    case Answer::End::Complete:
        return "complete";
    case Answer::End::Closed:
        return "closed";
    case Answer::End::Reset:
        return "reset";
    case Answer::End::Timeout:
        return "timeout";
    case Answer::End::NotSent:
        break;
    }
    return "not sent";
}

/*!
    One TCP connection, of a client or of a server.
*/
class Channel
{
public:
    Channel() = default;
    explicit Channel(int fd) : m_fd(fd) { setNoDelay(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;
    ~Channel() { close(); }

    bool isOpen() const { return m_fd >= 0; }

    bool connect(const std::string &ip, int port, Millis timeout = 1000ms)
    {
        close();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        const sockaddr_in address = socketAddress(ip, port);
        if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            pollfd item {.fd = m_fd, .events = POLLOUT, .revents = 0};
            int error = ETIMEDOUT;
            socklen_t length = sizeof(error);
            if (::poll(&item, 1, static_cast<int>(timeout.count())) == 1)
                ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &length);
            if (error != 0) {
                close();
                return false;
            }
        }
        ::fcntl(m_fd, F_SETFL, 0); // Blocking from here on.
        setNoDelay();
        return true;
    }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /*!
        Waits until \a deadline for bytes and appends them to the input. Returns the number of
       bytes, 0 at the end of the connection, -1 after a reset and -2 at the deadline.
    */
    ssize_t fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<Millis>(deadline - Clock::now());
        pollfd item {.fd = m_fd, .events = POLLIN, .revents = 0};
        if (left <= 0ms || ::poll(&item, 1, static_cast<int>(left.count())) != 1)
            return -2;
        char bytes[65536];
        const ssize_t n = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (n > 0)
            m_input.append(bytes, static_cast<std::size_t>(n));
        return n;
    }

    /*!
        Returns whether the peer has closed or reset the connection. Waits for \a wait at most.
    */
    bool hasPeerClosed(Millis wait = 0ms)
    {
        pollfd item {.fd = m_fd, .events = POLLIN, .revents = 0};
        if (::poll(&item, 1, static_cast<int>(wait.count())) != 1)
            return false;
        char byte = 0;
        return ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }

    bool readRequest(Request &request)
    {
        const auto forever = Clock::now() + 600s;
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (fill(forever) <= 0)
                return false;
        }
        std::string firstLine;
        request.fields = parseHead(end, firstLine);
        const std::size_t space = firstLine.find(' ');
        request.method = firstLine.substr(0, space);
        request.target = firstLine.substr(space + 1, firstLine.rfind(' ') - space - 1);
        const std::size_t length = std::strtoull(
                findField(request.fields, "Content-Length").c_str(), nullptr, 10);
        while (m_input.size() < length) {
            if (fill(forever) <= 0)
                return false;
        }
        request.body = m_input.substr(0, length);
        m_input.erase(0, length);
        return true;
    }

    /*!
        Reads the answer to a request that was written before. Stops at \a deadline.
    */
    Answer readAnswer(Clock::time_point deadline, const std::function<void()> &onBytes = {})
    {
        Answer answer;
        const auto more = [&] {
            const ssize_t n = fill(deadline);
            if (n > 0) {
                answer.receivedBytes += static_cast<std::size_t>(n);
                if (onBytes)
                    onBytes();
                return true;
            }
            answer.end = n == 0 ? Answer::End::Closed
                                : (n == -1 ? Answer::End::Reset : Answer::End::Timeout);
            return false;
        };
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return answer;
        }
        std::string firstLine;
        answer.fields = parseHead(end, firstLine);
        answer.status = std::atoi(firstLine.substr(firstLine.find(' ') + 1).c_str());
        if (findField(answer.fields, "Transfer-Encoding") == "chunked") {
            for (;;) {
                std::size_t eol = 0;
                while ((eol = m_input.find("\r\n")) == std::string::npos) {
                    if (!more())
                        return answer;
                }
                const std::size_t size = std::strtoull(m_input.c_str(), nullptr, 16);
                while (m_input.size() < eol + 2 + size + 2) {
                    if (!more())
                        return answer;
                }
                answer.body.append(m_input, eol + 2, size);
                m_input.erase(0, eol + 2 + size + 2);
                if (size == 0)
                    break;
            }
        } else {
            const std::size_t length = std::strtoull(
                    findField(answer.fields, "Content-Length").c_str(), nullptr, 10);
            while (m_input.size() < length) {
                if (!more()) {
                    answer.body = m_input;
                    return answer;
                }
            }
            answer.body = m_input.substr(0, length);
            m_input.erase(0, length);
        }
        answer.end = Answer::End::Complete;
        return answer;
    }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_input.clear();
    }

    void reset()
    {
        const linger now {.l_onoff = 1, .l_linger = 0};
        if (m_fd >= 0)
            ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }

private:
    void setNoDelay()
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    Fields parseHead(std::size_t end, std::string &firstLine)
    {
        Fields fields;
        std::string head = m_input.substr(0, end + 2);
        m_input.erase(0, end + 4);
        std::size_t start = head.find("\r\n") + 2;
        firstLine = head.substr(0, start - 2);
        while (start < head.size()) {
            const std::size_t eol = head.find("\r\n", start);
            const std::size_t colon = head.find(':', start);
            if (colon < eol) {
                std::size_t value = colon + 1;
                while (value < eol && head[value] == ' ')
                    ++value;
                fields.emplace_back(head.substr(start, colon - start),
                                    head.substr(value, eol - value));
            }
            start = eol + 2;
        }
        return fields;
    }

    int m_fd = -1;
    std::string m_input;
};

/*!
    Listens on one address and serves each connection on a thread of its own.
*/
class Listener
{
public:
    using Handler = std::function<void(Channel &)>;

    Listener(const std::string &ip, int port, Handler handler) : m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = socketAddress(ip, port);
        m_ok = ::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
                && ::listen(m_fd, 1024) == 0;
        if (m_ok)
            std::thread([this] {
                accept();
            }).detach();
    }

    bool isOk() const { return m_ok; }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept(m_fd, nullptr, nullptr);
            if (fd < 0)
                continue;
            std::thread([this, fd] {
                Channel channel(fd);
                m_handler(channel);
            }).detach();
        }
    }

    int m_fd = -1;
    bool m_ok = false;
    Handler m_handler;
};

inline std::string formatAnswer(int status, std::string_view reason, const Fields &fields,
                                std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
    for (const auto &[key, value] : fields)
        text += key + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

} // namespace review
