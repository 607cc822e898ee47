#pragma once

#include "Node/modelstream.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesame {

using ModelStreamPtr = std::shared_ptr<ModelStream>;

/*!
    The open model requests of this node.
*/
class StreamTable
{
public:
    /*!
        Adds \a stream. Returns false if a request with its account and id is open.
    */
    bool add(const ModelStreamPtr &stream);

    /*!
        Removes \a stream if it is the one stored under its account and id.
    */
    void remove(const ModelStreamPtr &stream);

    ModelStreamPtr find(const std::string &account, const std::string &requestId) const;
    ModelStreamPtr findByTicket(Ticket ticket) const;
    void setTicket(const ModelStreamPtr &stream, Ticket ticket);
    std::vector<ModelStreamPtr> all() const;
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, ModelStreamPtr> m_streams; //!< By engineRequestId().
    std::unordered_map<Ticket, ModelStreamPtr> m_byTicket;
};

} // namespace sesame
