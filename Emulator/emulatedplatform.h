#pragma once

#include "emulatedduties.h"
#include "emulatedengine.h"
#include "emulatedstore.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesame {

/*!
    Emulates a small deployment on loopback addresses: the store with a configuration, the endpoint
    for duties, two services and their engines.

    Ports are assigned in ascending order from the first one: store, duties, then the engines. Node
    N has the address 127.0.1.N, and all nodes have the same ports, as on the platform.
*/
class EmulatedPlatform
{
public:
    static constexpr int modelEngineCount = 3;
    static constexpr int plainEngineCount = 2;

    //! Capacity of each engine that its entry and the configuration announce to the nodes.
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
        Writes a new version of the configuration to the store. \a extraRoute adds a route at
       "/extra/".
    */
    void putConfig(std::int64_t version, bool extraRoute = false);

    /*!
        Writes the entry of \a engine with \a state to the store. \a incarnation differs between its
        boots.
    */
    void putEngine(const EmulatedEngine &engine, const std::string &state,
                   std::int64_t incarnation = 1);

    /*!
        Returns the content of the settings file of node \a index, counted from 1.
    */
    std::string formatSettings(int index, bool isFirstStart = true) const;
    Tcp::endpoint entryAddress(int index) const { return nodeEndpoint(index, 0); }
    Tcp::endpoint readinessAddress(int index) const { return nodeEndpoint(index, 1); }
    Tcp::endpoint directoryAddress(int index) const { return nodeEndpoint(index, 2); }

    /*!
        Starts \a count engines of \a version of the service "model" or "plain" and announces them.
        Returns the index of the first one.
    */
    std::size_t addEngines(const std::string &service, const std::string &version, int count);

    /*!
        Restarts the engine \a index under its id with the software \a version.
    */
    void upgradeEngine(std::size_t index, const std::string &version);

    /*!
        Closes the engines of \a service whose version is not \a version and all their connections,
        and removes their entries, as the platform does when a roll-out is completed. Returns the
        number of requests that were running there.
    */
    int stopOtherEngines(const std::string &service, const std::string &version);

    /*!
        Writes the order to roll out \a target of \a service within \a seconds.
    */
    void orderRollout(const std::string &service, const std::string &target, double seconds);

    Tcp::endpoint engineEndpoint(std::size_t index) const;

    /*!
        Makes formatSettings() demand that keys are refused \a limit after a node may have missed
       their revocation.
    */
    void setRevocationLimit(std::chrono::milliseconds limit) { m_revocationLimit = limit; }

    /*!
        Sets the time that nodes have from SIGTERM to their end. Applies to settings formatted
        afterwards.
    */
    void setStopGrace(std::chrono::seconds grace) { m_stopGrace = grace; }

    /*!
        Sets the contracts that the settings list. Applies to settings formatted afterwards.
    */
    void setContracts(std::vector<std::string> contracts) { m_contracts = std::move(contracts); }

    /*!
        Sets the machine limits that the settings of the nodes state. A \a memoryMb of 0 states
       none.
    */
    void setMachineLimits(int descriptors, int memoryMb)
    {
        m_descriptors = descriptors;
        m_memoryMb = memoryMb;
    }

    /*!
        Writes a configuration in which the body of a request may have \a bytes bytes.
    */
    void setBodyLimit(std::size_t bytes)
    {
        m_bodyLimit = bytes;
        putConfig(1);
    }

    EmulatedStore store;
    EmulatedDuties duties;
    std::vector<std::unique_ptr<EmulatedEngine>> engines; //!< The model engines come first.

private:
    static Tcp::endpoint endpoint(int port);
    Tcp::endpoint nodeEndpoint(int index, int offset) const;
    std::string engineAddress(std::size_t index) const;

    //! Service and version of each engine.
    struct EngineKind
    {
        std::string service;
        std::string version;
    };

    int m_firstPort;
    asio::io_context &m_context;
    std::vector<EngineKind> m_engineKinds;
    EngineCapacity m_engineCapacity;
    std::optional<std::chrono::milliseconds> m_revocationLimit;
    std::chrono::seconds m_stopGrace {3};
    std::vector<std::string> m_contracts;
    int m_descriptors = 1000;
    int m_memoryMb = 0;
    std::size_t m_bodyLimit = 1'000'000;
};

} // namespace sesame
