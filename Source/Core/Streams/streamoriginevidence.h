#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sesame {

/*!
    What one node keeps in the store of the streams that it began: the software versions at which
    they may have begun and, for a service with several versions, the attempts.
*/
struct StreamOriginRecord
{
    //! Attempts by the version of the engine that began them.
    using Versions = std::map<std::string, std::set<std::string>>;

    std::int64_t renewedMillis = 0; //!< Common time of the nodes at the last write.
    //! Era of the store for which the record was written. After a restoration, the store may have
    //! an older copy of a record with an earlier era.
    std::uint64_t era = 0;
    //! Whether the record also contains the versions of earlier processes of the node.
    bool isComplete = false;
    std::map<std::string, Versions> services; //!< By name of the service.

    bool operator==(const StreamOriginRecord &) const = default;
};

/*!
    The records of the other nodes, as one read of the store returned them.
*/
struct StreamOriginRecords
{
    std::map<std::string, StreamOriginRecord> byNode;
    std::uint64_t era = 0; //!< Era of the store at the read.
    std::int64_t readMillis = 0; //!< Common time of the nodes at the read.
};

/*!
    What a node replied when it was asked for the origin of a stream.
*/
struct StreamOriginReply
{
    //! Version of the stream; unset if the node's process did not begin it.
    std::optional<std::string> version;
    //! Versions at which earlier processes of the node may have begun the stream; unset if the node
    //! does not know them.
    std::optional<std::set<std::string>> earlierVersions;
};

/*!
    What a node has learned from others of the origin of a stream.
*/
struct StreamOriginEvidence
{
    const StreamOriginRecords *records = nullptr; //!< Null if the store has not been read.
    const std::map<std::string, StreamOriginReply> &replies; //!< By node.
    const std::set<std::string> &nodes; //!< Other nodes that run or have run shortly before.
};

} // namespace sesame
