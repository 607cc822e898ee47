#include "emulatedengine.h"

#include <cstdlib>
#include <stdexcept>

namespace sesame {

namespace {

constexpr std::size_t connectionLimit = 256;
constexpr int eventsBeforeCut = 2;

} // namespace

EmulatedEngine::EmulatedEngine(asio::io_context &context, std::string id,
                               const Tcp::endpoint &address)
    : m_context(context), m_id(std::move(id)),
      m_listener(
              context,
              [this](const Call &call, RequestMessage &&request) {
                  serve(call, std::move(request));
              },
              connectionLimit)
{
    if (const auto ec = m_listener.open(address))
        throw std::runtime_error("engine address: " + ec.message());
}

void EmulatedEngine::setFault(Fault fault, int requests)
{
    m_fault = fault;
    m_faultyRequests = requests;
}

int EmulatedEngine::runs(const std::string &attempt) const
{
    const auto found = m_runs.find(attempt);
    return found == m_runs.end() ? 0 : found->second;
}

HttpFields EmulatedEngine::answerFields(const std::string &attempt) const
{
    HttpFields fields;
    fields.set("Sesameproxy-Attempt-Id", attempt);
    fields.set("Sesameproxy-Response-Seal", "seal-" + m_id);
    fields.set("Keep-Alive", "timeout=5");
    return fields;
}

void EmulatedEngine::serve(const Call &call, RequestMessage &&request)
{
    m_lastFields = request;
    const std::string attempt(fieldValue(request, "Sesameproxy-Attempt-Id"));
    const std::string_view expected = fieldValue(request, "Sesameproxy-Expect-Instance");
    HttpFields fields = answerFields(attempt);
    if (!expected.empty() && expected != m_id) {
        fields.set("Sesameproxy-Instance-Id", m_id);
        call->sendResponse(421, fields, "another instance\n");
        return;
    }
    const Fault fault = m_faultyRequests > 0 ? m_fault : Fault::None;
    m_faultyRequests -= m_faultyRequests > 0 ? 1 : 0;
    if (fault == Fault::Full) {
        fields.set("Sesameproxy-Not-Executed", "1");
        call->sendResponse(503, fields, "full\n");
        return;
    }
    ++m_runs[attempt];
    ++m_totalRuns;
    call->setClosedHandler([this] {
        ++m_cancelled;
    });
    if (fault == Fault::Silent) {
        m_silenced.push_back(call);
        return;
    }
    if (fault == Fault::ResetBeforeAnswer) {
        call->abort();
        return;
    }
    if (fault == Fault::Unsigned)
        fields.erase("Sesameproxy-Response-Seal");
    if (fault == Fault::Encoded)
        fields.set("Content-Encoding", "gzip");
    const bool isStream = toStd(request.target()).find("/stream/") != std::string_view::npos;
    if (!isStream) {
        call->sendResponse(fault == Fault::Error ? 500 : 200, fields,
                           std::string(toStd(request.method_string())) + " "
                                   + std::string(toStd(request.target())) + " " + request.body());
        return;
    }
    fields.set("Content-Type", "text/event-stream");
    call->beginStream(200, fields);
    const std::string resumeAfter(fieldValue(request, "Last-Event-Id"));
    stream(call, attempt, resumeAfter.empty() ? 1 : std::atoi(resumeAfter.c_str()) + 1,
           fault == Fault::CutStream);
}

void EmulatedEngine::stream(const Call &call, const std::string &attempt, int next, bool isCut)
{
    const std::string number = std::to_string(next);
    if (isCut && next > eventsBeforeCut) {
        call->sendChunk("id: " + number + "\nda");
        call->setDrainedHandler([weak = std::weak_ptr(call)] {
            if (const Call open = weak.lock())
                open->abort();
        });
        return;
    }
    call->sendChunk("id: " + number + "\ndata: piece " + number + "\n\n");
    if (next >= m_events) {
        call->endStream();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, m_eventPause);
    timer->async_wait([this, timer, call, attempt, next, isCut](const auto &ec) {
        if (!ec)
            stream(call, attempt, next + 1, isCut);
    });
}

} // namespace sesame
