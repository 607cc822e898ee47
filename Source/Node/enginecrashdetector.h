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
    Knows which requests run on which engine, and makes them suspects when the engine dies
    without notice.
*/
class EngineCrashDetector
{
public:
    explicit EngineCrashDetector(NodeContext &context) : m_context(context) { }

    void beginRun(const BackendView &engine, std::uint64_t fingerprint);
    void endRun(const BackendView &engine, std::uint64_t fingerprint);

    /*!
        Asks \a engine, whose connection broke, whether it still lives, and records a crash if not.
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
