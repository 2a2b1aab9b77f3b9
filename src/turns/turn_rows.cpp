#include "turns/turn_rows.h"

#include "core/log_event.h"

#include <fmt/format.h>

#include <set>
#include <string_view>

namespace azurehill::turn_rows {

namespace {

constexpr std::string_view turnTable = "turns";
constexpr std::string_view indexTable = "turn-index";
constexpr std::string_view accountKey = "account";
constexpr std::string_view turnPrefix = "turn/";
constexpr std::string_view firstChunkMark = "#0000";
/// Partitions of the index. Transactions on one partition are serialised, so the index is spread
/// over many.
constexpr std::uint64_t indexParts = 256;

std::string chunkKey(const turn_id &id, std::size_t chunk)
{
    // Zero-padded, so that key order is chunk order.
    return fmt::format("{}{}#{:04}", turnPrefix, id.value, chunk);
}

} // namespace

row_name account(const program_id &program)
{
    return {std::string(turnTable), program.value, std::string(accountKey)};
}

row_name firstChunk(const program_id &program, const turn_id &id)
{
    return {std::string(turnTable), program.value, chunkKey(id, 0)};
}

turn_id turnOfFirstChunk(const row_name &row)
{
    const std::string_view key = row.key;
    const std::size_t mark = key.rfind('#');
    if (!key.starts_with(turnPrefix) || mark == std::string_view::npos
        || key.substr(mark) != firstChunkMark)
        return {};
    return {std::string(key.substr(turnPrefix.size(), mark - turnPrefix.size()))};
}

row_name index(const turn_id &id)
{
    return {std::string(indexTable), fmt::format("{:02x}", stableHash(id.value) % indexParts),
            id.value};
}

row_range programRange(const program_id &program)
{
    return {std::string(turnTable), program.value, "", ""};
}

std::vector<row_value> encodeRows(const turn &t, const program_id &program, std::size_t rowBytes)
{
    const std::string value = encodeTurn(t);
    std::vector<row_value> rows;
    for (std::size_t start = 0; start < value.size(); start += rowBytes) {
        rows.push_back({{std::string(turnTable), program.value, chunkKey(t.id, rows.size())},
                        value.substr(start, rowBytes)});
    }
    return rows;
}

std::map<turn_id, decoded_turn> readTurns(const std::vector<stored_row> &rows)
{
    std::map<std::string, std::string> values;
    for (const stored_row &row : rows) {
        const std::string &key = row.name.key;
        if (key.starts_with(turnPrefix))
            values[key.substr(0, key.rfind('#'))] += row.value;
    }
    std::map<turn_id, decoded_turn> turns;
    for (const auto &[key, value] : values) {
        auto decoded = decodeTurn(value);
        if (decoded)
            turns.emplace(decoded->value.id, std::move(*decoded));
        else
            logDecision(log_event::RowUnreadable, {{"key", key}});
    }
    return turns;
}

std::size_t countTurns(const std::vector<stored_row> &rows)
{
    std::set<std::string_view> turns;
    for (const stored_row &row : rows) {
        const std::string_view key = row.name.key;
        if (key.starts_with(turnPrefix))
            turns.insert(key.substr(0, key.rfind('#')));
    }
    return turns.size();
}

bool isAccountRow(const row_name &row)
{
    return row.table == turnTable && row.key == accountKey;
}

} // namespace azurehill::turn_rows
