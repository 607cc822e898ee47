#include "Serving/nodeexchange.h"

#include "Adapter/log.h"
#include "Core/wireformat.h"
#include "Serving/clocks.h"

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Peers choose engines and grant quotas based on the last report that they received. A shorter
//! interval costs more processor time because each datagram has to be processed.
constexpr auto reportInterval = 120ms;
//! Number of usage windows in each report: the current one, and earlier ones whose final counts may
//! have been in a lost datagram.
constexpr std::int64_t repeatedWindows = 3;

} // namespace

NodeExchange::NodeExchange(ServingState &state, asio::io_context &context)
    : m_state(state), m_socket(context), m_timer(context)
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
        receive();
        scheduleReport();
    }
    return ec;
}

void NodeExchange::scheduleReport()
{
    m_timer.expires_after(reportInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        sendReports();
        scheduleReport();
    });
}

void NodeExchange::sendReports()
{
    const std::string bytes = encodeWire(makeReport());
    for (const auto &[name, peer] : m_state.peers.peers()) {
        const auto entry = parseTcpEndpoint(peer.report.entryAddress);
        if (!entry)
            continue;
        const Udp::endpoint target(entry->address(), m_state.settings.exchangePort);
        // A send error is ignored because the next report replaces this one.
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(bytes), target, 0, ignored);
    }
}

wire::NodeReport NodeExchange::makeReport()
{
    wire::NodeReport report;
    report.node = m_state.settings.node;
    report.incarnation = m_state.incarnation;
    report.sequence = ++m_sequence;
    report.entryAddress = m_state.settings.entryAddressText;
    report.zone = m_state.settings.zone;
    report.ready = m_ready;
    report.leaving = m_state.leaving;
    report.trueMillis = m_state.trueTime.ownEstimate(bootMillis());
    for (const auto &[account, quota] : m_state.quotas)
        report.consumed[account] = quota.consumed();
    const std::int64_t oldest = m_state.currentWindow() - repeatedWindows;
    const std::string self = m_state.reporterName();
    for (const auto &[window, reporters] : m_state.usage.windows()) {
        const auto own = reporters.find(self);
        if (window > oldest && own != reporters.end())
            report.began[window] = own->second;
    }
    for (const auto &[id, engine] : m_state.engines.engines()) {
        if (engine.ownLoad.requests == 0)
            continue;
        wire::EngineShare share;
        share.requests = engine.ownLoad.requests;
        share.tokens = engine.ownLoad.tokens;
        report.engines[id] = share;
    }
    m_state.crashes.visitOwn([&](std::uint64_t fingerprint, const CrashCount &count) {
        wire::CrashShare share;
        share.crashes = count.crashes;
        share.successes = count.successes;
        report.crashes[static_cast<std::int64_t>(fingerprint)] = share;
    });
    report.refused = m_state.refusals.ownCounters();
    report.configVersion = m_state.config ? m_state.config->version : 0;
    report.engineRevision = static_cast<std::int64_t>(m_engineRevision);
    return report;
}

void NodeExchange::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](const boost::system::error_code &ec, std::size_t n) {
                                    if (ec == asio::error::operation_aborted)
                                        return;
                                    if (!ec)
                                        handleReport({m_buffer.data(), n});
                                    receive();
                                });
}

void NodeExchange::handleReport(std::string_view bytes)
{
    const auto report = decodeWire<wire::NodeReport>(bytes);
    if (!report) {
        logEvent(LogLevel::Warning, "exchange.unreadable",
                 {{"bytes", static_cast<std::int64_t>(bytes.size())}});
        return;
    }
    if (report->node.empty() || report->node == m_state.settings.node)
        return;
    const Timestamp now = steadyNow();
    const bool isNew = !m_state.peers.peers().contains(report->node);
    for (const auto &[account, growth] : m_state.peers.recordReport(*report, now)) {
        const auto quota = m_state.quotas.find(account);
        if (quota != m_state.quotas.end())
            quota->second.chargePeerUsage(growth);
    }
    m_state.refusals.mergePeerCounters(report->node, report->incarnation, report->refused, now);
    m_state.trueTime.recordPeerEstimate(report->node, report->trueMillis, bootMillis());
    const std::string reporter = report->node + "#" + std::to_string(report->incarnation);
    for (const auto &[window, counts] : report->began)
        m_state.usage.merge(window, reporter, {counts.begin(), counts.end()});
    m_state.engines.setPeerLoads(m_state.peers.engineLoads(now));
    for (const auto &[fingerprint, count] : m_state.peers.crashCounts())
        m_state.crashes.setPeerCount(fingerprint, count, now);
    if (isNew)
        logEvent(LogLevel::Info, "peer.found",
                 {{"peer", report->node}, {"incarnation", report->incarnation}});
}

} // namespace sesame
