#include "Node/operatorapi.h"

#include "Adapter/burnjson.h"
#include "Adapter/json.h"
#include "Adapter/peertransport.h"
#include "Node/requestresult.h"

#include <string>

namespace sesame {

namespace {

const char *toStateName(PeerState state)
{
    switch (state) {
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspect:
        return "suspect";
    case PeerState::Dead:
        return "dead";
    case PeerState::Leaving:
        return "leaving";
    }
    return "dead";
}

void setString(json_t *object, const char *key, std::string_view text)
{
    json_object_set_new(object, key, json_stringn(text.data(), text.size()));
}

} // namespace

HttpResponse OperatorApi::handle(const HttpRequest &request)
{
    if (request.method == "GET" && request.path == "/v1/status")
        return reportStatus();
    if (request.method == "POST" && request.path == "/v1/drain") {
        m_onDrain();
        return reportStatus();
    }
    if (request.method == "GET" && request.path == "/v1/burn")
        return reportBurn();
    if (request.method == "GET" && request.path == "/metrics")
        return {.headers = {{"Content-Type", "text/plain"}}, .body = m_context.metrics.render()};
    return makeResultResponse(makeNotRunResult(
            {.code = ResultCode::UnknownRoute, .text = "no operator path " + request.path}));
}

HttpResponse OperatorApi::reportBurn()
{
    const auto config = m_context.config();
    const auto ranks = config ? config->ranks : FleetConfig().ranks;
    const BurnReport report = m_context.burnAccumulator.lock()->report(m_context.clock.now(),
                                                                       ranks);
    return makeJsonResponse(dumpBurnReport(report));
}

HttpResponse OperatorApi::reportStatus()
{
    const JsonPtr body(json_object());
    setString(body.get(), "node", m_context.settings.node);
    setString(body.get(), "zone", m_context.settings.zone);
    setString(body.get(), "phase", toString(m_context.lifecycle.phase()));
    {
        auto fleet = m_context.fleet.lock();
        json_object_set_new(body.get(), "fleet_version",
                            json_integer(static_cast<json_int_t>(fleet->fleetVersion())));
        setString(body.get(), "confirmation", toString(fleet->confirmation(m_context.clock.now())));
        json_object_set_new(body.get(), "capacity_limit", json_integer(fleet->capacityLimit()));
    }
    json_object_set_new(body.get(), "store_reachable", json_boolean(m_context.storeReachable));
    json_object_set_new(body.get(), "open_streams",
                        json_integer(static_cast<json_int_t>(m_context.streams.size())));
    const PeerTraffic traffic = peerTraffic();
    json_object_set_new(body.get(), "peer_bytes_sent",
                        json_integer(static_cast<json_int_t>(traffic.bytesSent)));
    json_object_set_new(body.get(), "peer_bytes_received",
                        json_integer(static_cast<json_int_t>(traffic.bytesReceived)));
    json_t *peers = json_array();
    json_object_set_new(body.get(), "peers", peers);
    for (const Peer &peer : m_context.membership.lock()->liveNodes()) {
        json_array_append_new(peers,
                              json_pack("{s:s,s:s,s:s}", "node", peer.node.c_str(), "zone",
                                        peer.zone.c_str(), "state", toStateName(peer.state)));
    }
    return makeJsonResponse(dumpJson(body.get()));
}

} // namespace sesame
