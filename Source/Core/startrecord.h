#pragma once

#include "Core/market.h"
#include "Core/ports.h"
#include "Core/wireformat.h"

#include <lease_types.h>

#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesame {

enum class StartState : std::uint8_t {
    Idle, //!< The token is unused or was refused. A start with it may still be in transit.
    Asked, //!< A start was sent or will be sent, and its answer is not known.
    Started, //!< The cloud returned the instance, which is not listed yet.
    Listed,
    Leaving //!< The instance is to be stopped as soon as it is idle.
};

/*!
    The permission to start one instance. Its client token never changes, so that all starts with
    it together start only one instance, including delayed starts of an earlier lease holder and
    starts in another zone.
*/
struct StartSlot
{
    std::string clientToken;
    StartState state = StartState::Idle;
    std::string backendClass;
    std::string zone;
    Market market = Market::Reclaimable;
    std::string instance; //!< Id of the instance, set from StartState::Started on.
};

/*!
    The start slots of the capacity controller, stored in the object "desired/NAME".

    A slot is recorded before it is used. The record contains at most as many slots as instances
    may be started, which limits the starts of all lease holders together.
*/
template <ObjectStore Store>
class StartRecord
{
public:
    /*!
        \a nonce is part of the client tokens. It makes them differ from tokens that were issued
        before the store was restored or emptied.
    */
    StartRecord(Store &store, std::string_view name, std::uint64_t nonce)
        : m_store(store), m_key("desired/" + std::string(name)), m_name(name), m_nonce(nonce)
    {
    }

    /*!
        Takes over the record for the lease holder with the fencing number \a fencing. Writes of
        earlier holders are rejected afterwards. Returns false if a later holder has taken over the
        record, or if it cannot be read or written.
    */
    bool takeOver(std::uint64_t fencing)
    {
        if (m_term == fencing)
            return true;
        const StoreResult found = m_store.read(m_key);
        wire::DesiredStates states;
        if (found.status == StoreStatus::Ok) {
            const auto decoded = decodeWire<wire::DesiredStates>(found.value);
            if (!decoded || static_cast<std::uint64_t>(decoded->fencing) > fencing)
                return false;
            states = *decoded;
        } else if (found.status != StoreStatus::NotFound) {
            return false;
        }
        m_version = found.version;
        m_tokenCount = states.tokens;
        m_term = fencing;
        return save(decode(states));
    }

    const std::vector<StartSlot> &slots() const { return m_slots; }

    /*!
        Returns a slot with a new token. It is valid only after it was saved.
    */
    StartSlot makeSlot()
    {
        StartSlot slot;
        slot.clientToken = m_name + "-" + std::to_string(m_nonce) + "-"
                + std::to_string(++m_tokenCount);
        return slot;
    }

    /*!
        Writes \a slots. Returns false if the write is not confirmed. In this case takeOver() must
        be called before any other function.
    */
    bool save(std::vector<StartSlot> slots)
    {
        // A write without a term would remove the fencing number from the record.
        if (m_term == 0)
            return false;
        wire::DesiredStates states;
        states.fencing = static_cast<std::int64_t>(m_term);
        states.tokens = m_tokenCount;
        for (const StartSlot &slot : slots)
            states.entries.push_back(encode(slot));
        const StoreResult written = m_store.writeIf(m_key, encodeWire(states), m_version);
        if (written.status != StoreStatus::Ok) {
            m_term = 0;
            return false;
        }
        m_version = written.version;
        m_slots = std::move(slots);
        return true;
    }

private:
    static constexpr std::array<std::string_view, 5> stateNames {"idle", "asked", "started",
                                                                 "listed", "leaving"};

    static wire::DesiredEntry encode(const StartSlot &slot)
    {
        wire::DesiredEntry entry;
        entry.target = slot.clientToken;
        entry.clientToken = slot.clientToken;
        std::ostringstream text;
        text << stateNames[static_cast<std::size_t>(slot.state)] << '\t' << slot.backendClass
             << '\t' << slot.zone << '\t' << static_cast<int>(slot.market) << '\t' << slot.instance;
        entry.state = text.str();
        return entry;
    }

    static std::vector<StartSlot> decode(const wire::DesiredStates &states)
    {
        std::vector<StartSlot> slots;
        for (const wire::DesiredEntry &entry : states.entries) {
            StartSlot slot;
            slot.clientToken = entry.clientToken;
            std::istringstream text(entry.state);
            std::string state;
            std::string market;
            std::getline(text, state, '\t');
            std::getline(text, slot.backendClass, '\t');
            std::getline(text, slot.zone, '\t');
            std::getline(text, market, '\t');
            // The id comes from the cloud API and may contain any character.
            slot.instance.assign(std::istreambuf_iterator<char>(text), {});
            slot.market = market == "0" ? Market::Reclaimable : Market::OnDemand;
            for (std::size_t n = 0; n < stateNames.size(); ++n) {
                if (stateNames[n] == state)
                    slot.state = static_cast<StartState>(n);
            }
            slots.push_back(std::move(slot));
        }
        return slots;
    }

    Store &m_store;
    std::string m_key;
    std::string m_name;
    std::uint64_t m_nonce;
    std::uint64_t m_term = 0;
    std::uint64_t m_version = 0;
    std::int64_t m_tokenCount = 0;
    std::vector<StartSlot> m_slots;
};

} // namespace sesame
