#pragma once

#include "emulatedduties.h"
#include "emulatedengine.h"
#include "emulatedstore.h"

#include <memory>
#include <string>
#include <vector>

namespace sesame {

/*!
    A small deployment on loopback addresses: the store with a configuration, the duties, two
    services and their engines.

    Ports count up from the first one: store, duties, then the engines. Node N has the address
    127.0.1.N, and all nodes have the same ports, as on the platform.
*/
class EmulatedPlatform
{
public:
    static constexpr int modelEngineCount = 3;
    static constexpr int plainEngineCount = 2;

    //! What each engine holds, as its entry and the configuration tell the nodes.
    struct EngineCapacity
    {
        int slots = 4;
        int connections = 50;
    };

    EmulatedPlatform(asio::io_context &context, std::uint16_t firstPort,
                     EngineCapacity engineCapacity);
    EmulatedPlatform(asio::io_context &context, std::uint16_t firstPort)
        : EmulatedPlatform(context, firstPort, EngineCapacity {})
    {
    }

    /*!
        Puts a new version of the configuration in force. \a extraRoute adds a route at "/extra/".
    */
    void putConfig(std::int64_t version, bool extraRoute = false);

    /*!
        Writes the entry of an engine with \a state.
    */
    void putEngine(const EmulatedEngine &engine, const std::string &state);

    /*!
        Returns the settings file of node \a index, 1 for the first.
    */
    std::string formatSettings(int index, bool isFirstStart = true) const;
    Tcp::endpoint entryAddress(int index) const { return nodeEndpoint(index, 0); }
    Tcp::endpoint readinessAddress(int index) const { return nodeEndpoint(index, 1); }
    Tcp::endpoint directoryAddress(int index) const { return nodeEndpoint(index, 2); }

    Tcp::endpoint engineEndpoint(std::size_t index) const;

    EmulatedStore store;
    EmulatedDuties duties;
    std::vector<std::unique_ptr<EmulatedEngine>> engines; //!< The model engines come first.

private:
    static Tcp::endpoint endpoint(int port);
    Tcp::endpoint nodeEndpoint(int index, int offset) const;
    std::string engineAddress(std::size_t index) const;

    int m_firstPort;
    EngineCapacity m_engineCapacity;
};

} // namespace sesame
