#include "Serving/nodeexchange.h"

#include "Adapter/log.h"
#include "Core/wireformat.h"
#include "Serving/clocks.h"
#include "Serving/streamoriginstore.h"

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Number of usage windows in each report: the current one, and earlier ones whose final counts may
//! have been in a lost datagram.
constexpr std::int64_t repeatedWindows = 3;
//! Shortest interval at which the sums over the peers are computed.
constexpr Duration peerStateInterval = 30ms;

} // namespace

NodeExchange::NodeExchange(ServingState &state, asio::io_context &context,
                           VersionHandler versionHandler)
    : m_state(state), m_socket(context), m_timer(context),
      m_versionHandler(std::move(versionHandler)),
      m_reports(state.peers, state.tally, state.incarnation)
{
}

boost::system::error_code NodeExchange::open()
{
    boost::system::error_code ec;
    const Udp::endpoint address(m_state.settings.entryAddress.address(),
                                m_state.settings.exchangePort);
    m_socket.open(address.protocol(), ec);
    if (!ec)
        m_socket.bind(address, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (!ec) {
        m_state.recordRun();
        receive();
        scheduleReport();
    }
    return ec;
}

void NodeExchange::scheduleReport()
{
    m_timer.expires_after(m_reports.interval(steadyNow()));
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        m_state.recordRun();
        sendReports();
        scheduleReport();
    });
}

void NodeExchange::sendReports()
{
    const ReportInputs inputs {
            .sender = makeSender(), .own = makeTally(), .zoneBegan = makeZoneBegan()};
    const std::string primary = m_reports.primary();
    for (const OutgoingDatagram &outgoing : m_reports.makeDatagrams(inputs, steadyNow()))
        send(outgoing.datagram, outgoing.receiver);
    if (primary != m_reports.primary())
        logEvent(LogLevel::Info, "aggregator.chosen",
                 {{"peer", m_reports.primary()}, {"previous", primary}});
}

wire::Sender NodeExchange::makeSender() const
{
    wire::Sender sender;
    sender.member = m_state.peers.selfMember();
    sender.member.ready = m_ready;
    sender.member.leaving = m_state.stop.has_value();
    sender.zone = m_state.settings.zone;
    sender.incarnation = m_state.incarnation;
    sender.trueMillis = m_state.trueTime.ownEstimate(bootMillis());
    sender.configuration = m_state.configReplica.version(bootNow());
    sender.engines = m_state.engineReplica.version(bootNow());
    if (m_state.settings.rollout)
        sender.__set_rollouts(m_state.rollouts.orderReplica.version(bootNow()));
    return sender;
}

wire::Tally NodeExchange::makeTally() const
{
    wire::Tally tally;
    for (const auto &[account, quota] : m_state.quotas)
        tally.consumed[account] = quota.consumed();
    const std::int64_t current = m_state.currentWindow();
    const std::string self = m_state.reporterName();
    for (std::int64_t window = current - repeatedWindows + 1; window <= current; ++window) {
        const AccountCounts counts = m_state.usage.nodeCounts(window, self);
        if (!counts.empty())
            tally.began[window] = counts;
    }
    for (const auto &[id, engine] : m_state.engines.engines()) {
        if (engine.ownLoad.requests == 0)
            continue;
        wire::EngineShare share;
        share.requests = engine.ownLoad.requests;
        share.tokens = engine.ownLoad.tokens;
        if (m_state.settings.hasUnevenEngines) {
            const DelaySums delay = engine.delay.ownSums(steadyNow());
            share.__set_unreadTokens(engine.ownLoad.unreadTokens);
            share.__set_delayWeight(delay.weight);
            share.__set_weightedLogDelay(delay.weightedLog);
        }
        tally.engines[id] = share;
    }
    m_state.crashes.visitOwn([&](std::uint64_t fingerprint, const CrashCount &count) {
        wire::CrashShare share;
        share.crashes = count.crashes;
        share.successes = count.successes;
        tally.crashes[static_cast<std::int64_t>(fingerprint)] = share;
    });
    tally.prompts = m_state.promptCrashes.ownEvidence(m_state.commonMillis());
    tally.refused = m_state.refusals.ownCounters();
    if (m_state.settings.hasUnevenEngines)
        tally.__set_promptTokens(m_state.promptTokens.ownCounters());
    m_state.rollouts.report(tally);
    return tally;
}

std::map<std::int64_t, AccountCounts> NodeExchange::makeZoneBegan() const
{
    std::map<std::int64_t, AccountCounts> began;
    const std::int64_t current = m_state.currentWindow();
    for (std::int64_t window = current - repeatedWindows + 1; window <= current; ++window) {
        AccountCounts counts = m_state.usage.ownZoneTotal(window);
        if (!counts.empty())
            began[window] = std::move(counts);
    }
    return began;
}

void NodeExchange::send(const wire::Datagram &datagram, const std::string &node)
{
    const PeerNode *peer = m_state.peers.find(node);
    const auto entry = peer ? parseTcpEndpoint(peer->member.entryAddress) : std::nullopt;
    if (!entry)
        return;
    const Udp::endpoint target(entry->address(), m_state.settings.exchangePort);
    // A send error is ignored because the next datagram replaces this one.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(encodeWire(datagram)), target, 0, ignored);
}

void NodeExchange::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](const boost::system::error_code &ec, std::size_t n) {
                                    if (ec == asio::error::operation_aborted)
                                        return;
                                    if (!ec)
                                        handleDatagram({m_buffer.data(), n});
                                    receive();
                                });
}

void NodeExchange::handleDatagram(std::string_view bytes)
{
    m_state.recordRun();
    if (m_state.suspension.mustDiscard(bootNow()))
        return;
    const auto datagram = decodeWire<wire::Datagram>(bytes);
    if (!datagram) {
        logEvent(LogLevel::Warning, "exchange.unreadable",
                 {{"bytes", static_cast<std::int64_t>(bytes.size())}});
        return;
    }
    if (!m_reports.isAcceptable(*datagram))
        return;
    try {
        if (!applyStreamMessage(*datagram))
            applyDatagram(*datagram);
    } catch (const std::exception &error) {
        // The next datagram replaces this one.
        logEvent(LogLevel::Error, "exchange.datagram_failed",
                 {{"peer", datagram->sender.member.node}, {"reason", error.what()}});
    }
}

void NodeExchange::applyDatagram(const wire::Datagram &datagram)
{
    const Timestamp now = steadyNow();
    const wire::Sender &sender = datagram.sender;
    const std::string &node = sender.member.node;
    m_lastHeardAt = now;
    if (!m_state.peers.find(node))
        logEvent(LogLevel::Info, "peer.found",
                 {{"peer", node}, {"incarnation", sender.incarnation}});
    m_state.trueTime.recordPeerEstimate(node, sender.trueMillis, bootMillis());
    mergeUsage(datagram);
    mergeRolloutSteps(datagram);
    charge(m_reports.apply(datagram, now));
    if (now - m_peerStateRefreshedAt >= peerStateInterval) {
        m_peerStateRefreshedAt = now;
        m_state.refreshPeerState();
    }
    m_versionHandler(sender);
}

/*!
    Returns a datagram of this node without a report.
*/
wire::Datagram NodeExchange::makeStreamMessage() const
{
    wire::Datagram datagram;
    datagram.version = ReportExchange::formatVersion;
    datagram.sender = makeSender();
    return datagram;
}

void NodeExchange::ask(const std::string &node, const wire::StreamQuestion &question)
{
    wire::Datagram datagram = makeStreamMessage();
    datagram.__set_streamQuestion(question);
    send(datagram, node);
}

/*!
    Handles a question for the origin of streams, or the reply to one. Returns false if \a datagram
    contains neither.
*/
bool NodeExchange::applyStreamMessage(const wire::Datagram &datagram)
{
    const std::string &node = datagram.sender.member.node;
    if (datagram.__isset.streamQuestion) {
        wire::Datagram answer = makeStreamMessage();
        answer.__set_streamReply(m_state.streamOriginStore->answer(datagram.streamQuestion));
        send(answer, node);
    } else if (datagram.__isset.streamReply) {
        m_state.streamOriginStore->handleReply(node, datagram.streamReply);
    }
    return datagram.__isset.streamQuestion || datagram.__isset.streamReply;
}

void NodeExchange::charge(const TallyGrowth &growth)
{
    for (const auto &[account, n] : growth.consumed) {
        const auto quota = m_state.quotas.find(account);
        if (quota != m_state.quotas.end())
            quota->second.chargePeerUsage(n, steadyNow());
    }
    for (const auto &[account, n] : growth.late) {
        const auto quota = m_state.quotas.find(account);
        if (quota != m_state.quotas.end())
            quota->second.chargeLateUsage(n);
    }
    for (const auto &[service, n] : growth.refused)
        m_state.refusals.recordPeers(service, n, steadyNow());
    for (const auto &[service, n] : growth.promptTokens)
        m_state.promptTokens.recordPeers(service, n, steadyNow());
}

/*!
    Takes over the steps of roll-outs that another node knows.
*/
void NodeExchange::mergeRolloutSteps(const wire::Datagram &datagram)
{
    if (!m_state.settings.rollout)
        return;
    for (const auto *steps : {&datagram.member.tally.rolloutSteps,
                              &datagram.zone.tally.rolloutSteps, &datagram.digest.rolloutSteps}) {
        for (const wire::RolloutStep &step : *steps)
            m_state.rollouts.adoptStep(step, datagram.sender.member.node);
    }
}

void NodeExchange::mergeUsage(const wire::Datagram &datagram)
{
    const wire::Sender &sender = datagram.sender;
    if (datagram.__isset.member) {
        const std::string reporter = sender.member.node + "#" + std::to_string(sender.incarnation);
        for (const auto &[window, counts] : datagram.member.tally.began)
            m_state.usage.mergeNode(window, reporter, counts);
    }
    if (datagram.__isset.zone) {
        for (const auto &[window, counts] : datagram.zone.tally.began)
            m_state.usage.mergeZone(window, sender.zone, counts);
    }
}

} // namespace sesame
