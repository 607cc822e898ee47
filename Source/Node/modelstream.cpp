#include "Node/modelstream.h"

#include "Adapter/json.h"
#include "Core/promptblocks.h"

#include <utility>

namespace sesame {

ModelStream::ModelStream(ModelStreamOptions options)
    : m_options(std::move(options)),
      m_fingerprint(computeRequestFingerprint(m_options.account, m_options.request.prompt)),
      m_blocks(sesame::hashPromptBlocks(m_options.request.prompt)),
      m_session(m_options.start), m_timing {.arrivedAt = m_options.arrivedAt,
                                            .lastTokenAt = m_options.arrivedAt}
{
}

bool ModelStream::hasStarted()
{
    auto session = m_session.lock();
    return session->attempt() > 0 || session->nextOffset() > 0;
}

bool ModelStream::hasSingleAttempt() const
{
    return m_attempts <= 1 && m_options.start.lastAttempt == 0 && m_options.start.offset == 0;
}

Duration StreamTiming::meanTokenGap() const
{
    if (tokens < 2)
        return {};
    return (lastTokenAt - arrivedAt - timeToFirstToken) / static_cast<std::int64_t>(tokens - 1);
}

Duration ModelStream::recordToken(Timestamp now)
{
    const Duration gap = now - m_timing.lastTokenAt;
    if (m_timing.tokens == 0)
        m_timing.timeToFirstToken = gap;
    m_timing.lastTokenAt = now;
    ++m_timing.tokens;
    return gap;
}

void ModelStream::detach(bool cancel)
{
    if (cancel)
        m_cancelled = true;
    m_buffer.close();
}

void ModelStream::requestHandover(std::string peer)
{
    *m_handoverTarget.lock() = std::move(peer);
    m_handoverRequested = true;
}

std::string ModelStream::takeHandoverTarget()
{
    m_handoverRequested = false;
    return std::exchange(*m_handoverTarget.lock(), {});
}

void ModelStream::finish(const RequestResult &result)
{
    *m_result.lock() = result;
    if (m_handedOver) {
        m_buffer.finish();
        return;
    }
    const auto tokens = static_cast<json_int_t>(m_session.lock()->nextOffset());
    const JsonPtr body(json_pack("{s:s,s:i,s:s,s:I,s:s}", "outcome",
                                 std::string(toString(result.outcome)).c_str(), "code",
                                 static_cast<int>(result.code), "name",
                                 std::string(toString(result.code)).c_str(), "tokens", tokens,
                                 "reason", result.reason.c_str()));
    m_buffer.write("event: outcome\ndata: " + dumpJson(body.get()) + "\n\ndata: [DONE]\n\n");
    m_buffer.finish();
}

RequestResult ModelStream::result()
{
    return *m_result.lock();
}

} // namespace sesame
