#include "Node/streamtable.h"

namespace sesame {

bool StreamTable::add(const ModelStreamPtr &stream)
{
    const std::lock_guard lock(m_mutex);
    return m_streams.try_emplace(stream->engineRequestId(), stream).second;
}

void StreamTable::remove(const ModelStreamPtr &stream)
{
    const std::lock_guard lock(m_mutex);
    m_byTicket.erase(stream->ticket());
    const auto it = m_streams.find(stream->engineRequestId());
    if (it != m_streams.end() && it->second == stream)
        m_streams.erase(it);
}

ModelStreamPtr StreamTable::find(const std::string &account, const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_streams.find(account + "~" + requestId);
    return it == m_streams.end() ? nullptr : it->second;
}

ModelStreamPtr StreamTable::findByTicket(Ticket ticket) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_byTicket.find(ticket);
    return it == m_byTicket.end() ? nullptr : it->second;
}

void StreamTable::setTicket(const ModelStreamPtr &stream, Ticket ticket)
{
    const std::lock_guard lock(m_mutex);
    stream->setTicket(ticket);
    m_byTicket[ticket] = stream;
}

std::vector<ModelStreamPtr> StreamTable::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<ModelStreamPtr> streams;
    for (const auto &[id, stream] : m_streams)
        streams.push_back(stream);
    return streams;
}

std::size_t StreamTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_streams.size();
}

} // namespace sesame
