#include "support/streamsimulation.h"

#include <algorithm>

namespace sesame {

namespace {

constexpr std::size_t requestCount = 6; // Three requests for each of two accounts.
constexpr std::size_t connectionLimit = 24;
constexpr std::uint64_t maxAnswerTokens = 60;
const std::string tokenKey = "simulation-key";

} // namespace

StreamSimulation::StreamSimulation(std::uint64_t seed) : m_random(seed), m_requests(requestCount)
{
    for (std::size_t slot = 0; slot < requestCount; ++slot)
        startRequest(slot);
}

std::string StreamSimulation::step()
{
    ++m_clock;
    const std::size_t action = pick(100);
    if (action < 45)
        produceTokens();
    else if (action < 70)
        deliverTokens();
    else if (action < 90)
        return readAsCaller();
    else if (action < 95)
        reattachOrRecompute();
    else if (action < 98)
        return moveCaller();
    else if (action < 99)
        return checkTokenMisuse();
    else
        resendRequest(pick(requestCount));
    return {};
}

std::size_t StreamSimulation::pick(std::size_t n)
{
    return m_random() % n;
}

std::string StreamSimulation::makeToken(const Run &run, std::uint64_t offset) const
{
    return m_requests[run.request].account + std::to_string(run.request) + "."
            + std::to_string(run.serial) + "." + std::to_string(offset) + " ";
}

void StreamSimulation::startRequest(std::size_t slot)
{
    Request request;
    request.id = "request-" + std::to_string(m_clock) + "-" + std::to_string(slot);
    request.account = slot % 2 == 0 ? "loft" : "jury";
    request.tokenCount = 5 + pick(maxAnswerTokens);
    m_requests[slot] = std::move(request);
    resendRequest(slot);
}

std::size_t StreamSimulation::addSession(std::size_t slot, StreamStart start)
{
    m_sessions.push_back({.request = slot,
                          .stream = std::make_unique<StreamSession>(std::move(start)),
                          .run = {}});
    m_requests[slot].session = m_sessions.size() - 1;
    m_requests[slot].inTransit.clear();
    return m_sessions.size() - 1;
}

void StreamSimulation::beginRun(std::size_t session)
{
    Session &owner = m_sessions[session];
    AttemptEngine engine {.id = "engine-" + std::to_string(pick(4)),
                          .incarnation = 1 + pick(2),
                          .address = {.host = "127.0.0.1", .port = 19000}};
    // Attempts are counted per request, so that different requests use the same attempt numbers.
    const std::uint64_t lowest = ++m_requests[owner.request].attemptCount;
    const StreamAttempt attempt = owner.stream->beginAttempt(engine, lowest);
    owner.run = {.request = owner.request,
                 .serial = m_nextSerial++,
                 .engine = std::move(engine),
                 .attempt = attempt.number,
                 .startOffset = owner.stream->nextOffset()};
    connect(session, attempt, owner.run.startOffset);
    issueToken(session);
}

void StreamSimulation::connect(std::size_t session, const StreamAttempt &attempt,
                               std::uint64_t from)
{
    if (m_connections.size() == connectionLimit)
        m_connections.pop_front();
    m_connections.push_back({.session = session,
                             .source = attempt,
                             .run = m_sessions[session].run,
                             .nextOffset = from,
                             .offsets = {}});
}

void StreamSimulation::issueToken(std::size_t session)
{
    const Session &owner = m_sessions[session];
    Request &request = m_requests[owner.request];
    if (request.session != session)
        return;
    const ResumeToken token {.engineAddress = owner.run.engine.address,
                             .engineId = owner.run.engine.id,
                             .engineIncarnation = owner.run.engine.incarnation,
                             .attempt = owner.run.attempt,
                             .requestId = request.id,
                             .account = request.account,
                             .model = "assess",
                             .rank = Rank::Urgent,
                             .expiry = static_cast<WallMillis>(m_clock + 100'000),
                             .promptTokens = 100};
    request.token = token.sign(tokenKey);
}

void StreamSimulation::produceTokens()
{
    // Old connections are chosen as often as current ones, because engines of old attempts keep
    // sending.
    Connection &connection = m_connections[pick(m_connections.size())];
    for (std::size_t n = 1 + pick(8); n > 0; --n) {
        if (connection.nextOffset < m_requests[connection.run.request].tokenCount)
            connection.offsets.push_back(connection.nextOffset++);
    }
}

void StreamSimulation::injectFault(Connection *connection)
{
    std::deque<std::uint64_t> &offsets = connection->offsets;
    const std::size_t kind = pick(60);
    if (kind == 0)
        offsets.push_front(offsets.front());
    else if (kind == 1)
        std::swap(offsets.front(), offsets.back());
    else if (kind == 2)
        offsets.pop_front();
    else if (kind == 3)
        offsets.front() = pick(m_requests[connection->run.request].tokenCount);
}

void StreamSimulation::deliverTokens()
{
    Connection &connection = m_connections[pick(m_connections.size())];
    for (std::size_t n = 1 + pick(8); n > 0 && !connection.offsets.empty(); --n) {
        injectFault(&connection);
        deliverNextToken(&connection);
    }
}

void StreamSimulation::deliverNextToken(Connection *from)
{
    if (from->offsets.empty())
        return;
    Connection &connection = *from;
    std::uint64_t offset = connection.offsets.front();
    connection.offsets.pop_front();
    std::size_t target = connection.session;
    // A misrouted event reaches the session of another request, account or node. It gets the offset
    // that this session expects, because concurrent streams are often at the same offset.
    if (pick(20) == 0) {
        target = m_requests[pick(requestCount)].session;
        const std::uint64_t awaited = m_sessions[target].stream->nextOffset();
        if (awaited < m_requests[connection.run.request].tokenCount)
            offset = awaited;
    }
    Session &session = m_sessions[target];
    const std::string token = makeToken(connection.run, offset);
    const StreamVerdict verdict = session.stream->accept(connection.source, offset, token);
    ++m_verdicts[verdict];
    Request &request = m_requests[session.request];
    if (verdict == StreamVerdict::Delivered && request.session == target)
        request.inTransit.push_back(token);
}

std::string StreamSimulation::readAsCaller()
{
    const std::size_t slot = pick(requestCount);
    Request &request = m_requests[slot];
    const Run &run = m_sessions[request.session].run;
    while (!request.inTransit.empty()) {
        // All tokens in transit belong to the current run, because they are read or discarded
        // before the run changes.
        request.received.append(request.inTransit.front());
        request.inTransit.pop_front();
        request.expected.append(makeToken(run, request.receivedTokens++));
    }
    std::string fault = checkReceivedText(&request);
    if (fault.empty() && request.receivedTokens == request.tokenCount) {
        ++m_completed;
        startRequest(slot);
    }
    return fault;
}

std::string StreamSimulation::checkReceivedText(Request *request)
{
    if (request->receivedTokens > request->tokenCount)
        return request->id + ": received more tokens than the answer has";
    if (request->received == request->expected)
        return {};
    return request->id + ": received \"" + request->received + "\" expected \"" + request->expected
            + "\"";
}

void StreamSimulation::reattachOrRecompute()
{
    const std::size_t slot = pick(requestCount);
    Request &request = m_requests[slot];
    Session &session = m_sessions[request.session];
    if (!request.inTransit.empty())
        return;
    if (!session.stream->needsAttempt() && pick(2) == 0) {
        const StreamAttempt attempt = session.stream->continueAttempt(session.run.engine,
                                                                      session.run.attempt);
        connect(request.session, attempt, session.stream->nextOffset());
        return;
    }
    if (session.stream->hasText())
        beginRun(request.session);
    else
        resendRequest(slot);
}

std::string StreamSimulation::moveCaller()
{
    const std::size_t slot = pick(requestCount);
    Request &request = m_requests[slot];
    const Run run = m_sessions[request.session].run;
    const auto now = static_cast<WallMillis>(m_clock);
    const auto token = ResumeToken::verify(request.token, tokenKey, request.account, now);
    if (!token)
        return request.id + ": its own token was refused: " + lastReason().text;
    if (token->requestId != request.id || token->attempt != run.attempt)
        return request.id + ": its own token is for another request or attempt";
    ++m_handovers;
    // Tokens in transit are lost with the connection. The caller continues from the number of
    // tokens that it has received.
    const bool handedOver = pick(2) == 0;
    const std::size_t session = addSession(slot,
                                           {.requestId = token->requestId,
                                            .account = token->account,
                                            .lastAttempt = token->attempt,
                                            .offset = request.receivedTokens,
                                            .text = handedOver ? request.received : std::string()});
    m_sessions[session].run = run;
    const StreamAttempt attempt = m_sessions[session].stream->continueAttempt(run.engine,
                                                                              token->attempt);
    connect(session, attempt, request.receivedTokens);
    return {};
}

std::string StreamSimulation::checkTokenMisuse()
{
    const Request &request = m_requests[pick(requestCount)];
    const Request &other = m_requests[pick(requestCount)];
    const auto now = static_cast<WallMillis>(m_clock);
    const auto token = ResumeToken::verify(other.token, tokenKey, request.account, now);
    if (token.has_value() != (request.account == other.account))
        return request.id + ": verify returned the wrong result for the token of " + other.id;
    if (token && token->requestId != other.id)
        return request.id + ": the token of " + other.id + " names " + token->requestId;
    if (ResumeToken::verify(other.token, tokenKey, other.account, now + 200'000))
        return other.id + ": an expired token was accepted";
    std::string changed = other.token;
    char &c = changed[pick(changed.size())];
    c = c == 'x' ? 'y' : 'x';
    if (ResumeToken::verify(changed, tokenKey, other.account, now))
        return other.id + ": a changed token was accepted";
    return {};
}

void StreamSimulation::resendRequest(std::size_t slot)
{
    const Request &request = m_requests[slot];
    beginRun(addSession(slot,
                        {.requestId = request.id,
                         .account = request.account,
                         .lastAttempt = 0,
                         .offset = request.receivedTokens,
                         .text = request.received}));
}

} // namespace sesame
