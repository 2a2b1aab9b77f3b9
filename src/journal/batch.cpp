#include "journal/batch.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

namespace azurehill {

namespace json = boost::json;

namespace {

/// First character of the first of several rows, followed by their number and a line feed; a batch
/// in one row begins with a brace.
constexpr char splitMark = '#';

std::string continuationKey(std::string_view firstKey, std::size_t part)
{
    return fmt::format("{}/{:06}", firstKey, part);
}

} // namespace

std::string encode(const journal_batch &batch)
{
    json::array records;
    for (const journal_record &r : batch.records)
        records.push_back(toJson(r));
    return json::serialize(json::object{{"daemon", batch.daemon.value},
                                        {"incarnation", batch.incarnation},
                                        {"sequence", batch.sequence},
                                        {"fence", batch.fence},
                                        {"records", records}});
}

tl::expected<journal_batch, std::string> decodeBatch(std::string_view text)
{
    try {
        const json::value v = json::parse(json::string_view(text.data(), text.size()));
        journal_batch batch;
        batch.daemon.value = std::string(v.at("daemon").as_string());
        batch.incarnation = std::string(v.at("incarnation").as_string());
        batch.sequence = v.at("sequence").to_number<std::uint64_t>();
        batch.fence = v.at("fence").to_number<fencing_number>();
        for (const json::value &r : v.at("records").as_array()) {
            auto record = recordFromJson(r);
            if (!record)
                return tl::unexpected(record.error());
            batch.records.push_back(std::move(*record));
        }
        return batch;
    } catch (const std::exception &e) {
        return tl::unexpected(std::string(e.what()));
    }
}

std::string rowPrefix(std::string_view cell)
{
    return fmt::format("journal/{}/", cell);
}

std::string rowKey(std::string_view cell, const journal_batch &batch)
{
    return fmt::format("{}{}/{}/{:012}", rowPrefix(cell), batch.daemon.value, batch.incarnation,
                       batch.sequence);
}

std::vector<row_write> encodeRows(std::string_view cell, const journal_batch &batch,
                                  std::size_t maxBytes)
{
    const std::string key = rowKey(cell, batch);
    std::string text = encode(batch);
    std::vector<row_write> rows;
    if (text.size() <= maxBytes) {
        rows.push_back({key, std::move(text)});
        return rows;
    }
    // A row travels as a JSON string, so no piece may end within a character.
    rows.push_back({key, {}});
    for (std::size_t from = 0; from < text.size();) {
        std::size_t to = std::min(from + maxBytes, text.size());
        while (to < text.size() && (static_cast<unsigned char>(text[to]) & 0xC0U) == 0x80U)
            --to;
        rows.push_back({continuationKey(key, rows.size()), text.substr(from, to - from)});
        from = to;
    }
    rows.front().value = fmt::format("{}{}\n", splitMark, rows.size() - 1);
    return rows;
}

void batch_reader::feed(const table_row &row)
{
    const bool isPart = !m_key.empty() && row.key.starts_with(m_key + "/");
    if (isPart && m_rowsMissing > 0) {
        m_text += row.value;
        if (--m_rowsMissing == 0)
            closeBatch();
        return;
    }
    if (m_rowsMissing > 0) {
        m_fault = "rows missing after " + m_key;
        return;
    }
    // Rows are written together, so a part without its first row landed while the scan was under
    // way: under the view that is being loaded, thus for no program that is being loaded.
    constexpr std::size_t slashesOfFirstKey = 4;
    if (std::count(row.key.begin(), row.key.end(), '/') > static_cast<int>(slashesOfFirstKey))
        return;
    m_key = row.key;
    if (!row.value.starts_with(splitMark)) {
        m_text = row.value;
        closeBatch();
        return;
    }
    const char *end = row.value.data() + row.value.size();
    if (std::from_chars(row.value.data() + 1, end, m_rowsMissing).ec != std::errc())
        m_fault = "unreadable mark in " + row.key;
}

void batch_reader::closeBatch()
{
    auto batch = decodeBatch(std::exchange(m_text, {}));
    if (batch)
        m_batches.push_back(std::move(*batch));
    else
        m_fault = m_key + ": " + batch.error();
}

tl::expected<std::vector<journal_batch>, std::string> batch_reader::finish()
{
    if (m_rowsMissing > 0)
        m_fault = "rows missing after " + m_key;
    if (!m_fault.empty())
        return tl::unexpected(m_fault);
    // At one fence only one daemon can write records of a program, so this order is its history.
    const auto before = [](const journal_batch &a, const journal_batch &b) {
        return std::tie(a.fence, a.sequence) < std::tie(b.fence, b.sequence);
    };
    std::stable_sort(m_batches.begin(), m_batches.end(), before);
    return std::exchange(m_batches, {});
}

} // namespace azurehill
