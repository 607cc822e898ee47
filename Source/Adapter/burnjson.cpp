#include "Adapter/burnjson.h"

#include "Adapter/json.h"
#include "Core/fleetfile.h"
#include "Core/lastreason.h"

#include <cmath>
#include <cstdlib>
#include <memory>

namespace sesame {

namespace {

constexpr double roundingFactor = 1e4; // Four decimal places.

JsonPtr makeRounded(double value)
{
    return JsonPtr(json_real(std::round(value * roundingFactor) / roundingFactor));
}

JsonPtr makeString(std::string_view text)
{
    return JsonPtr(json_stringn(text.data(), text.size()));
}

JsonPtr makeWindow(const BurnRow &row, std::size_t index)
{
    const BurnCount &count = row.counts[index];
    JsonPtr window(json_object());
    json_object_set_new(window.get(), "window", makeString(burnWindows[index].name).release());
    json_object_set_new(window.get(), "good", json_integer(static_cast<json_int_t>(count.good)));
    json_object_set_new(window.get(), "total", json_integer(static_cast<json_int_t>(count.total)));
    json_object_set_new(window.get(), "burn_rate",
                        makeRounded(burnRate(count, row.objective)).release());
    return window;
}

JsonPtr makeRow(const BurnRow &row)
{
    JsonPtr windows(json_array());
    for (std::size_t i = 0; i < burnWindows.size(); ++i)
        json_array_append_new(windows.get(), makeWindow(row, i).release());
    JsonPtr object(json_object());
    json_object_set_new(object.get(), "rank", makeString(toString(row.rank)).release());
    json_object_set_new(object.get(), "route", makeString(row.route).release());
    json_object_set_new(object.get(), "objective", json_real(row.objective));
    json_object_set_new(object.get(), "budget_left", makeRounded(budgetLeft(row)).release());
    json_object_set_new(object.get(), "windows", windows.release());
    return object;
}

bool readCounts(const json_t *windows, BurnRow &row)
{
    for (std::size_t i = 0; i < burnWindows.size(); ++i) {
        const json_t *window = json_array_get(windows, i);
        if (jsonString(window, "window") != burnWindows[i].name)
            return false;
        const std::int64_t good = jsonInteger(window, "good", -1);
        const std::int64_t total = jsonInteger(window, "total", -1);
        if (good < 0 || total < good)
            return false;
        row.counts[i] = {.good = static_cast<std::uint64_t>(good),
                         .total = static_cast<std::uint64_t>(total)};
    }
    return true;
}

} // namespace

std::string dumpBurnReport(const BurnReport &report)
{
    JsonPtr rows(json_array());
    for (const BurnRow &row : report.rows)
        json_array_append_new(rows.get(), makeRow(row).release());
    const JsonPtr root(json_object());
    json_object_set_new(root.get(), "rows", rows.release());
    // Six significant digits are printed, so that numbers without an exact binary representation,
    // such as 0.95, stay readable.
    const std::unique_ptr<char, decltype(&std::free)> text(
            json_dumps(root.get(), JSON_COMPACT | JSON_REAL_PRECISION(6)), &std::free);
    return text ? std::string(text.get()) : std::string();
}

std::optional<BurnReport> parseBurnReport(std::string_view json)
{
    const JsonPtr root = parseJson(json);
    const json_t *rows = json_object_get(root.get(), "rows");
    if (!json_is_array(rows))
        return fail(ResultCode::BackendFailed, "burn report: no array \"rows\"");
    BurnReport report;
    for (std::size_t i = 0; i < json_array_size(rows); ++i) {
        const json_t *object = json_array_get(rows, i);
        const std::optional<Rank> rank = parseRank(jsonString(object, "rank"));
        BurnRow row {.rank = rank.value_or(Rank::Standard),
                     .route = jsonString(object, "route"),
                     .objective = jsonNumber(object, "objective", -1.0),
                     .counts = {}};
        if (!rank || row.objective < 0.0 || !readCounts(json_object_get(object, "windows"), row))
            return fail(ResultCode::BackendFailed,
                        "burn report: row " + std::to_string(i) + " is not valid");
        report.rows.push_back(std::move(row));
    }
    return report;
}

} // namespace sesame
