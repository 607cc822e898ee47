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
    Table of the open model requests of this node. Thread-safe.
*/
class StreamTable
{
public:
    /*!
        Adds \a stream. Returns false if a request with the same account and id is open.
    */
    bool add(const ModelStreamPtr &stream);

    /*!
        Removes \a stream. Keeps another stream that has replaced it under the same account and id.
    */
    void remove(const ModelStreamPtr &stream);

    /*!
        Returns the open request \a requestId of \a account, or a null pointer.
    */
    ModelStreamPtr find(const std::string &account, const std::string &requestId) const;
    ModelStreamPtr findByTicket(Ticket ticket) const;

    /*!
        Assigns the admission ticket \a ticket to \a stream, so that findByTicket() finds it.
    */
    void setTicket(const ModelStreamPtr &stream, Ticket ticket);
    std::vector<ModelStreamPtr> all() const;
    std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, ModelStreamPtr> m_streams; //!< The key is engineRequestId().
    std::unordered_map<Ticket, ModelStreamPtr> m_byTicket;
};

} // namespace sesame
