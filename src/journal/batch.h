#pragma once

#include "journal/record.h"
#include "platform/table.h"

#include <string_view>
#include <vector>

namespace azurehill {

/// \brief The records that one platform write makes durable.
///
/// Several batches, of several daemons, may go into one transaction: each has a row of its own and
/// all check the same view.
struct journal_batch
{
    daemon_id daemon;
    std::string incarnation;
    /// Place of this batch among those of the same incarnation, from 1.
    std::uint64_t sequence = 0;
    /// Number of the view under which the batch was written.
    fencing_number fence = 0;
    std::vector<journal_record> records;
};

std::string encode(const journal_batch &batch);
tl::expected<journal_batch, std::string> decodeBatch(std::string_view text);

/// Largest value of a journal row. A larger batch is split over rows of one transaction.
constexpr std::size_t maxRowBytes = std::size_t{256} * 1024;

/// \returns the key of the first row that holds \p batch. It is the write's own id: reading it back
/// says whether a write whose answer was lost took effect.
std::string rowKey(std::string_view cell, const journal_batch &batch);
/// \returns the prefix of the keys of all batches of \p cell.
std::string rowPrefix(std::string_view cell);

/// \returns the rows that hold \p batch, none above \p maxBytes; to be written together.
std::vector<row_write> encodeRows(std::string_view cell, const journal_batch &batch,
                                  std::size_t maxBytes = maxRowBytes);

/// \brief Puts batches together again from rows that come in the order of their keys.
class batch_reader
{
public:
    void addRow(const table_row &row);
    /// \returns the batches in the order of the history, or what can't be read.
    tl::expected<std::vector<journal_batch>, std::string> finish();

private:
    void closeBatch();

    std::vector<journal_batch> m_batches;
    std::string m_key;
    std::string m_text;
    std::size_t m_rowsMissing = 0;
    std::string m_fault;
};

} // namespace azurehill
