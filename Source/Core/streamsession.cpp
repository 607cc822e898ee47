#include "Core/streamsession.h"

#include "Core/invariant.h"

#include <algorithm>
#include <utility>

namespace sesame {

StreamSession::StreamSession(StreamStart start)
    : m_requestId(std::move(start.requestId)), m_account(std::move(start.account)),
      m_attempt(start.lastAttempt), m_nextOffset(start.offset), m_deliveredEnd(start.offset),
      m_text(std::move(start.text)), m_hasText(start.offset == 0 || !m_text.empty())
{
}

StreamAttempt StreamSession::beginAttempt(AttemptEngine engine, std::uint64_t minNumber)
{
    return continueAttempt(std::move(engine), std::max(m_attempt + 1, minNumber));
}

StreamAttempt StreamSession::continueAttempt(AttemptEngine engine, std::uint64_t number)
{
    requireInvariant(number >= m_attempt, "stream session: attempt numbers never decrease");
    m_attempt = number;
    m_engine = std::move(engine);
    m_needsAttempt = false;
    return {.requestId = m_requestId, .account = m_account, .number = number};
}

void StreamSession::endAttempt()
{
    m_needsAttempt = true;
}

StreamVerdict StreamSession::accept(const StreamAttempt &source, std::uint64_t offset,
                                    std::string_view token)
{
    if (source.requestId != m_requestId || source.account != m_account)
        return StreamVerdict::OtherRequest;
    if (source.number != m_attempt || m_needsAttempt)
        return StreamVerdict::OldAttempt;
    if (offset < m_nextOffset)
        return StreamVerdict::Duplicate;
    if (offset > m_nextOffset) {
        m_needsAttempt = true;
        return StreamVerdict::Gap;
    }
    recordDelivery(source, offset, token);
    ++m_nextOffset;
    return StreamVerdict::Delivered;
}

void StreamSession::recordDelivery(const StreamAttempt &source, std::uint64_t offset,
                                   std::string_view token)
{
    requireInvariant(offset == m_deliveredEnd, "stream session: delivered offsets are contiguous");
    requireInvariant(source.number == m_attempt,
                     "stream session: the delivered attempt is current");
    requireInvariant(source.account == m_account && source.requestId == m_requestId,
                     "stream session: the delivered account and request match");
    ++m_deliveredEnd;
    if (m_hasText)
        m_text.append(token);
}

} // namespace sesame
