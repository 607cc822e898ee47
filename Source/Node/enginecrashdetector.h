#pragma once

#include "Core/backendtable.h"
#include "Node/nodecontext.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace sesame {

/*!
    Tracks which requests run on which engine, and records them as suspects when the engine
    crashes.
*/
class EngineCrashDetector
{
public:
    explicit EngineCrashDetector(NodeContext &context) : m_context(context) { }

    /*!
        Records that the request with \a fingerprint runs on \a engine.
    */
    void beginRun(const BackendView &engine, std::uint64_t fingerprint);

    /*!
        Removes one run of \a fingerprint on \a engine.
    */
    void endRun(const BackendView &engine, std::uint64_t fingerprint);

    /*!
        Checks \a engine after a lost connection. Records a crash if the engine does not reply or
        has another incarnation. Blocks for at most 500 ms.
    */
    void checkEngine(const BackendView &engine);

private:
    void recordCrash(const BackendView &engine);

    NodeContext &m_context;
    std::mutex m_mutex;
    std::map<std::string, std::multiset<std::uint64_t>> m_running; //!< Fingerprints by incarnation.
    std::set<std::string> m_crashed; //!< Incarnations already recorded as crashed.
};

} // namespace sesame
