#include "emulatedengine.h"

#include <cstdlib>
#include <stdexcept>

namespace sesame {

namespace {

constexpr std::size_t maxConnections = 256;
constexpr int eventsBeforeBreak = 2;
constexpr std::size_t endlessPieceBytes = 16384;

} // namespace

EmulatedEngine::EmulatedEngine(asio::io_context &context, std::string id,
                               const Tcp::endpoint &address)
    : m_context(context), m_id(std::move(id)), m_address(address)
{
    open();
}

void EmulatedEngine::open()
{
    m_listener = std::make_unique<Listener>(
            m_context,
            [this](const ConnectionPtr &connection, RequestMessage &&request) {
                serve(connection, std::move(request));
            },
            maxConnections);
    if (const auto ec = m_listener->open(m_address))
        throw std::runtime_error("engine address: " + ec.message());
}

void EmulatedEngine::crash()
{
    ++m_crashCount;
    m_listener.reset();
    for (const auto &weak : std::exchange(m_connections, {})) {
        if (const ConnectionPtr connection = weak.lock())
            connection->abort();
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, m_downtime);
    timer->async_wait([this, timer](const auto &ec) {
        if (!ec)
            open();
    });
}

void EmulatedEngine::stop()
{
    m_listener.reset();
    for (const auto &weak : std::exchange(m_connections, {})) {
        if (const ConnectionPtr connection = weak.lock())
            connection->abort();
    }
}

int EmulatedEngine::runningCount() const
{
    return m_runningCount;
}

bool EmulatedEngine::isBadAnswer(const RequestMessage &request)
{
    const bool isBad = toStd(request.target()).starts_with(m_badVersion.pathPrefix)
            && m_totalRunCount > m_badVersion.afterRequests
            && m_runningCount >= m_badVersion.minRunning
            && (m_badVersion.failureShare > 0.0
                || m_badVersion.extraTime > std::chrono::milliseconds::zero());
    if (!isBad)
        return false;
    m_failureSum += m_badVersion.failureShare;
    const bool fails = m_failureSum >= 1.0;
    m_failureSum -= fails ? 1.0 : 0.0;
    m_badAnswerCount += fails || m_badVersion.failureShare == 0.0 ? 1 : 0;
    return fails || m_badVersion.failureShare == 0.0;
}

void EmulatedEngine::crashLater()
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, m_timeToAnswer);
    timer->async_wait([this, timer](const auto &ec) {
        if (!ec && m_listener)
            crash();
    });
}

void EmulatedEngine::setDeadlyPart(const std::string &part, std::chrono::milliseconds downtime)
{
    m_deadlyPart = part;
    m_downtime = downtime;
}

void EmulatedEngine::setLeaving(bool isLeaving)
{
    m_isLeaving = isLeaving;
    m_arrivalsSinceLeaving = 0;
}

void EmulatedEngine::pushBack(std::chrono::milliseconds time, const std::string &retryAfter,
                              bool claimsNotExecuted)
{
    m_pushBackEnd = Clock::now() + time;
    m_retryAfter = retryAfter;
    m_claimsNotExecuted = claimsNotExecuted;
    m_turnedAwayAt = {};
    m_arrivalsDuringPushBack = 0;
}

/*!
    Answers a request with a refusal if the engine pushes back. Returns whether it does.
*/
bool EmulatedEngine::turnAway(const ConnectionPtr &connection, HttpFields &fields)
{
    constexpr std::chrono::milliseconds reactionTime {500};
    const Clock::time_point now = Clock::now();
    if (now >= m_pushBackEnd)
        return false;
    if (m_turnedAwayAt == Clock::time_point {})
        m_turnedAwayAt = now;
    m_arrivalsDuringPushBack += now - m_turnedAwayAt > reactionTime ? 1 : 0;
    if (!m_retryAfter.empty())
        fields.set("Retry-After", m_retryAfter);
    if (m_claimsNotExecuted)
        fields.set("Sesameproxy-Not-Executed", "1");
    connection->sendResponse(503, fields, "not now\n");
    return true;
}

bool EmulatedEngine::isDeadly(const RequestMessage &request) const
{
    const std::string parts = "," + std::string(fieldValue(request, "Sesameproxy-Prefix-Hash"));
    return !m_deadlyPart.empty() && parts.find("," + m_deadlyPart + ":") != std::string::npos;
}

void EmulatedEngine::setFault(Fault fault, int requests)
{
    m_fault = fault;
    m_faultyRequests = requests;
}

int EmulatedEngine::runCount(const std::string &attempt) const
{
    const auto found = m_runCounts.find(attempt);
    return found == m_runCounts.end() ? 0 : found->second;
}

HttpFields EmulatedEngine::answerFields(const std::string &attempt) const
{
    HttpFields fields;
    fields.set("Sesameproxy-Attempt-Id", attempt);
    fields.set("Sesameproxy-Response-Seal", "seal-" + m_id);
    fields.set("Keep-Alive", "timeout=5");
    if (m_isLeaving)
        fields.set("Server-Leaving", "1");
    return fields;
}

/*!
    Applies \a fault to the answer with \a fields, after the request has run. Returns whether that
    answered the request or left it unanswered.
*/
bool EmulatedEngine::applyFault(const ConnectionPtr &connection, Fault fault, HttpFields &fields)
{
    if (fault == Fault::NoAnswer) {
        m_unanswered.push_back(connection);
        return true;
    }
    if (fault == Fault::ResetBeforeAnswer) {
        connection->abort();
        return true;
    }
    if (fault == Fault::UnidentifiedRefusal) {
        fields.erase("Sesameproxy-Attempt-Id");
        fields.set("Sesameproxy-Not-Executed", "1");
        connection->sendResponse(503, fields, "full\n");
        return true;
    }
    if (fault == Fault::Unsigned)
        fields.erase("Sesameproxy-Response-Seal");
    if (fault == Fault::Encoded)
        fields.set("Content-Encoding", "gzip");
    if (fault == Fault::EndlessBody || fault == Fault::Trickle) {
        fields.set("Content-Type", "text/event-stream");
        connection->beginStream(200, fields);
        if (fault == Fault::EndlessBody)
            sendEndless(connection);
        else
            sendTrickle(connection);
        return true;
    }
    return false;
}

void EmulatedEngine::serve(const ConnectionPtr &connection, RequestMessage &&request)
{
    m_lastRequestFields = request;
    m_connections.push_back(connection);
    const std::string attempt(fieldValue(request, "Sesameproxy-Attempt-Id"));
    const std::string_view expected = fieldValue(request, "Sesameproxy-Expect-Instance");
    HttpFields fields = answerFields(attempt);
    if (!expected.empty() && expected != m_id) {
        fields.set("Sesameproxy-Instance-Id", m_id);
        connection->sendResponse(421, fields, "another instance\n");
        return;
    }
    m_arrivalsSinceLeaving += m_isLeaving ? 1 : 0;
    if (turnAway(connection, fields))
        return;
    const Fault fault = m_faultyRequests > 0 ? m_fault : Fault::None;
    m_faultyRequests -= m_faultyRequests > 0 ? 1 : 0;
    if (fault == Fault::NoCapacity) {
        fields.set("Sesameproxy-Not-Executed", "1");
        connection->sendResponse(503, fields, "full\n");
        return;
    }
    ++m_runCounts[attempt];
    ++m_totalRunCount;
    m_lastArrival = Clock::now();
    const bool isBad = isBadAnswer(request);
    if (isBad && m_badVersion.extraTime == std::chrono::milliseconds::zero()) {
        connection->sendResponse(500, fields, "bad version\n");
        return;
    }
    const std::chrono::milliseconds extraTime = isBad ? m_badVersion.extraTime
                                                      : std::chrono::milliseconds::zero();
    connection->setClosedHandler([this] {
        ++m_cancelledCount;
    });
    if (applyFault(connection, fault, fields))
        return;
    const bool isStream = toStd(request.target()).find("/stream/") != std::string_view::npos;
    if (!isStream || fault == Fault::Error || fault == Fault::PlainAnswer) {
        sendPlainAnswer(connection, fault == Fault::Error ? 500 : 200, extraTime, fields,
                        std::string(toStd(request.method_string())) + " "
                                + std::string(toStd(request.target())) + " " + request.body());
        return;
    }
    if (isDeadly(request)) {
        crashLater();
        return;
    }
    fields.set("Content-Type", "text/event-stream");
    const std::string resumeAfter(fieldValue(request, "Last-Event-Id"));
    const int first = resumeAfter.empty() ? 1 : std::atoi(resumeAfter.c_str()) + 1;
    ++m_runningCount;
    if (extraTime == std::chrono::milliseconds::zero()) {
        connection->beginStream(200, fields);
        sendEvents(connection, attempt, first, fault);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, extraTime);
    timer->async_wait([this, timer, connection, fields, attempt, first, fault](const auto &ec) {
        if (ec)
            return;
        connection->beginStream(200, fields);
        sendEvents(connection, attempt, first, fault);
    });
}

void EmulatedEngine::sendPlainAnswer(const ConnectionPtr &connection, unsigned status,
                                     std::chrono::milliseconds extraTime, const HttpFields &fields,
                                     std::string body)
{
    const std::chrono::milliseconds time = m_workTime + extraTime;
    if (time == std::chrono::milliseconds::zero()) {
        connection->sendResponse(status, fields, body);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, time);
    ++m_runningCount;
    timer->async_wait(
            [this, timer, connection, status, fields, body = std::move(body)](const auto &ec) {
                --m_runningCount;
                if (!ec)
                    connection->sendResponse(status, fields, body);
            });
}

void EmulatedEngine::sendEndless(const ConnectionPtr &connection)
{
    connection->setDrainedHandler([weak = std::weak_ptr(connection)] {
        if (const ConnectionPtr open = weak.lock())
            open->sendChunk(std::string(endlessPieceBytes, 'x'));
    });
    connection->sendChunk(std::string(endlessPieceBytes, 'x'));
}

void EmulatedEngine::sendTrickle(const ConnectionPtr &connection)
{
    connection->sendChunk(":");
    const auto timer = std::make_shared<asio::steady_timer>(m_context, m_trickleInterval);
    timer->async_wait([this, timer, weak = std::weak_ptr(connection)](const auto &ec) {
        const ConnectionPtr open = weak.lock();
        if (!ec && open)
            sendTrickle(open);
    });
}

void EmulatedEngine::sendEvents(const ConnectionPtr &connection, const std::string &attempt,
                                int next, Fault fault)
{
    const std::string number = std::to_string(next);
    const bool breaksOff = fault == Fault::BrokenStream || fault == Fault::EndsInsideEvent;
    if (breaksOff && next > eventsBeforeBreak) {
        --m_runningCount;
        connection->sendChunk("id: " + number + "\nda");
        if (fault == Fault::EndsInsideEvent) {
            connection->endStream();
            return;
        }
        connection->setDrainedHandler([weak = std::weak_ptr(connection)] {
            if (const ConnectionPtr open = weak.lock())
                open->abort();
        });
        return;
    }
    // A stream that is resumed after its last event has no further one.
    if (next <= m_eventCount)
        connection->sendChunk("id: " + number + "\ndata: piece " + number + "\n\n");
    if (next >= m_eventCount) {
        --m_runningCount;
        connection->endStream();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, m_eventInterval);
    timer->async_wait([this, timer, connection, attempt, next, fault](const auto &ec) {
        if (!ec)
            sendEvents(connection, attempt, next + 1, fault);
    });
}

} // namespace sesame
