#include "Core/fleetfile.h"

#include "Core/fleetexceptions.h"
#include "Core/fleetfields.h"
#include "Core/tomlreader.h"

#include <algorithm>

namespace sesame {

namespace {

constexpr std::size_t sha256HexLength = 64;
constexpr std::array<std::pair<std::string_view, BackendKind>, 2> backendKindNames {{
        {"model_engine", BackendKind::ModelEngine},
        {"service", BackendKind::Service},
}};
constexpr std::array<std::pair<std::string_view, Fencing>, 2> fencingNames {{
        {"checked", Fencing::Checked},
        {"ignored", Fencing::Ignored},
}};

std::string quote(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

template <typename T>
std::string joinNames(const std::vector<T> &entries, std::string T::*name)
{
    std::string result;
    for (const T &entry : entries)
        result += (result.empty() ? "" : ", ") + entry.*name;
    return result.empty() ? "none declared" : result;
}

template <typename T>
const T *findByName(const std::vector<T> &entries, std::string T::*name, std::string_view wanted)
{
    const auto it = std::find_if(entries.begin(), entries.end(), [&](const T &entry) {
        return entry.*name == wanted;
    });
    return it == entries.end() ? nullptr : &*it;
}

/*!
    Reads the sections of a fleet file. A section that refers to another one is read after it.
*/
class FleetFileReader
{
public:
    FleetFileReader(const toml::table &root, ErrorSink sink) : m_root(root, {}, sink), m_sink(sink)
    {
    }

    FleetConfig read()
    {
        readFleet();
        readDefaults();
        readRanks();
        readBackendClasses();
        readAccounts();
        readModels();
        readRoutes();
        readExceptions();
        m_root.reportUnknownKeys();
        return std::move(m_config);
    }

private:
    /*!
        Calls \a readEntry with a reader for each table in the array \a key.
    */
    template <typename F>
    void readTableArray(std::string_view key, F readEntry)
    {
        std::size_t index = 0;
        for (const toml::table *table : m_root.readTables(key)) {
            const std::string path = std::string(key) + "[" + std::to_string(index++) + "].";
            TomlReader reader(*table, path, m_sink);
            readEntry(reader);
            reader.reportUnknownKeys();
        }
    }

    template <typename T>
    void requireUnique(TomlReader &reader, std::string_view key, const std::vector<T> &entries,
                       std::string T::*name, const std::string &value)
    {
        if (!value.empty() && findByName(entries, name, value))
            reader.report(key, quote(value) + " a second time", "each value only once");
    }

    void readFleet()
    {
        const toml::table *table = m_root.readTable("fleet");
        if (!table)
            return;
        TomlReader reader(*table, "fleet.", m_sink);
        m_config.name = reader.readString("name");
        for (std::string &zone : reader.readStrings("zones")) {
            const auto &zones = m_config.zones;
            if (std::find(zones.begin(), zones.end(), zone) != zones.end())
                reader.report("zones", quote(zone) + " a second time", "each zone only once");
            else
                m_config.zones.push_back(std::move(zone));
        }
        reader.reportUnknownKeys();
    }

    void readDefaults()
    {
        const toml::table *table = m_root.readTable("defaults");
        if (!table)
            return;
        TomlReader reader(*table, "defaults.", m_sink);
        reader.readNumbers(defaultFields(), m_config.defaults);
        reader.reportUnknownKeys();
    }

    void readRanks()
    {
        const toml::table *table = m_root.readTable("ranks");
        if (!table)
            return;
        TomlReader reader(*table, "ranks.", m_sink);
        for (const auto &[name, rank] : rankNames()) {
            const toml::table *policy = reader.readTable(name);
            if (!policy)
                continue;
            TomlReader inner(*policy, "ranks." + std::string(name) + ".", m_sink);
            inner.readNumbers(rankFields(), m_config.ranks[static_cast<std::size_t>(rank)]);
            inner.reportUnknownKeys();
        }
        if (sumFloorShares(m_config) >= 1.0)
            m_root.report("ranks", "floor_share values that add up to 1 or more", "a sum below 1");
        reader.reportUnknownKeys();
    }

    void readBackendClasses()
    {
        readTableArray("backend_class", [this](TomlReader &reader) {
            BackendClass entry;
            entry.name = reader.readString("name");
            requireUnique(reader, "name", m_config.backendClasses, &BackendClass::name, entry.name);
            entry.kind = reader.readChoice<BackendKind>("kind", backendKindNames, entry.kind);
            entry.fencing = reader.readChoice<Fencing>("fencing", fencingNames, entry.fencing);
            const bool isService = entry.kind == BackendKind::Service;
            entry.service = reader.readString("service", isService);
            if (!isService && !entry.service.empty())
                reader.report("service", quote(entry.service), "only with kind = \"service\"");
            reader.readNumbers(backendClassFields(), entry);
            m_config.backendClasses.push_back(std::move(entry));
        });
    }

    void readAccounts()
    {
        readTableArray("account", [this](TomlReader &reader) {
            Account entry;
            entry.name = reader.readString("name");
            requireUnique(reader, "name", m_config.accounts, &Account::name, entry.name);
            entry.keySha256 = reader.readString("key_sha256");
            const auto isHex = [](char c) {
                return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
            };
            const std::string &hash = entry.keySha256;
            if (!hash.empty()
                && (hash.size() != sha256HexLength
                    || !std::all_of(hash.begin(), hash.end(), isHex)))
                reader.report("key_sha256", "a text of another form",
                              "64 lower-case hexadecimal digits");
            requireUnique(reader, "key_sha256", m_config.accounts, &Account::keySha256, hash);
            readAccountRanks(reader, entry);
            reader.readNumbers(accountFields(), entry);
            m_config.accounts.push_back(std::move(entry));
        });
    }

    static void readAccountRanks(TomlReader &reader, Account &entry)
    {
        for (const std::string &name : reader.readStrings("ranks")) {
            const std::optional<Rank> rank = parseRank(name);
            const bool isDuplicate = rank
                    && std::count(entry.ranks.begin(), entry.ranks.end(), *rank) > 0;
            if (!rank)
                reader.report("ranks", quote(name), "urgent, standard, batch");
            else if (isDuplicate)
                reader.report("ranks", quote(name) + " a second time", "each rank only once");
            else
                entry.ranks.push_back(*rank);
        }
    }

    void readModels()
    {
        readTableArray("model", [this](TomlReader &reader) {
            Model entry;
            entry.name = reader.readString("name");
            requireUnique(reader, "name", m_config.models, &Model::name, entry.name);
            entry.rank = reader.readChoice<Rank>("rank", rankNames(), entry.rank);
            entry.backendClasses = reader.readStrings("backend_classes");
            for (const std::string &name : entry.backendClasses) {
                const auto *found = findByName(m_config.backendClasses, &BackendClass::name, name);
                if (!found)
                    reader.report(
                            "backend_classes", quote(name),
                            "a declared backend class: "
                                    + joinNames(m_config.backendClasses, &BackendClass::name));
                else if (found->kind != BackendKind::ModelEngine)
                    reader.report("backend_classes", quote(name) + " of kind service",
                                  "classes of kind model_engine");
            }
            m_config.models.push_back(std::move(entry));
        });
    }

    void readRoutes()
    {
        readTableArray("route", [this](TomlReader &reader) {
            Route entry;
            entry.prefix = reader.readString("prefix");
            if (!entry.prefix.empty() && entry.prefix.front() != '/')
                reader.report("prefix", quote(entry.prefix), "a path that starts with \"/\"");
            requireUnique(reader, "prefix", m_config.routes, &Route::prefix, entry.prefix);
            entry.service = reader.readString("service");
            if (!entry.service.empty()
                && !findByName(m_config.backendClasses, &BackendClass::service, entry.service))
                reader.report("service", quote(entry.service),
                              "the service of a declared backend class");
            entry.rank = reader.readChoice<Rank>("rank", rankNames(), entry.rank);
            entry.idempotent = reader.readNumber("idempotent", NumberKind::Boolean, 0, 1, true)
                                       .value_or(0)
                    != 0;
            entry.statusLookup = reader.readString("status_lookup", false);
            const std::string &lookup = entry.statusLookup;
            if (!lookup.empty()
                && (lookup.front() != '/' || lookup.find("{key}") == std::string::npos))
                reader.report("status_lookup", quote(lookup),
                              "a path that starts with \"/\" and contains \"{key}\"");
            reader.readNumbers(routeFields(), entry);
            m_config.routes.push_back(std::move(entry));
        });
    }

    void readExceptions()
    {
        readTableArray("exception", [this](TomlReader &reader) {
            FleetException entry;
            entry.key = reader.readString("key");
            entry.scope = reader.readString("scope");
            entry.value = reader.readScalar("value");
            entry.reason = reader.readString("reason", false);
            const bool isBlank = entry.reason.find_first_not_of(" \t") == std::string::npos;
            if (isBlank)
                reader.report("reason", "no reason", "a non-blank text that states the reason",
                              ResultCode::ExceptionReasonMissing);
            if (!entry.key.empty() && !entry.scope.empty())
                checkException(reader, entry);
            m_config.exceptions.push_back(std::move(entry));
        });
        if (sumFloorShares(m_config) >= 1.0)
            return; // readRanks() has reported this error.
        for (const std::string &zone : m_config.zones) {
            if (sumFloorShares(applyExceptions(m_config, zone)) >= 1.0)
                m_root.report("exception", "floor_share values that add up to 1 or more in " + zone,
                              "a sum below 1");
        }
    }

    void checkException(TomlReader &reader, const FleetException &entry)
    {
        FleetConfig candidate = m_config;
        const std::optional<ExceptionFault> fault = applyException(candidate, entry);
        if (fault) {
            const std::string_view member = fault->member;
            const std::string &value = member == "key" ? entry.key
                    : member == "scope"                ? entry.scope
                                                       : entry.value;
            reader.report(member, quote(value), fault->allowed);
        } else if (candidate.defaults.capacityLimit < m_config.defaults.capacityLimit) {
            reader.report("value", quote(entry.value),
                          "at least the default, "
                                  + std::to_string(m_config.defaults.capacityLimit),
                          ResultCode::CapacityLimitLowered);
        }
    }

    TomlReader m_root;
    ErrorSink m_sink;
    FleetConfig m_config;
};

} // namespace

std::optional<FleetConfig> parseFleetFile(std::string_view text, std::string_view fileName,
                                          std::vector<SettingsError> &errors)
{
    const std::size_t firstError = errors.size();
    const ErrorSink sink {.file = fileName, .errors = errors};
    const std::optional<toml::table> root = parseToml(text, sink);
    if (!root)
        return std::nullopt;
    FleetConfig config = FleetFileReader(*root, sink).read();
    sortErrors(errors, firstError);
    if (errors.size() > firstError)
        return std::nullopt;
    return config;
}

std::string_view toString(Rank rank)
{
    for (const auto &[name, value] : rankNames()) {
        if (value == rank)
            return name;
    }
    return "unknown";
}

std::optional<Rank> parseRank(std::string_view text)
{
    for (const auto &[name, value] : rankNames()) {
        if (name == text)
            return value;
    }
    return std::nullopt;
}

} // namespace sesame
