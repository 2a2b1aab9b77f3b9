#pragma once

#include "journal/record.h"
#include "platform/table.h"

#include <string_view>
#include <vector>

namespace azurehill {

/// \brief The records that become durable with one platform write.
///
/// Batches of several daemons may share one transaction: each batch has its own row, and all are
/// conditional on the same view.
struct journal_batch
{
    daemon_id daemon;
    std::string incarnation;
    /// Sequence number of this batch among those of the same incarnation, starting at 1.
    std::uint64_t sequence = 0;
    /// Fencing number: the number of the view under which the batch was written.
    fencing_number fence = 0;
    std::vector<journal_record> records;
};

std::string encode(const journal_batch &batch);
tl::expected<journal_batch, std::string> decodeBatch(std::string_view text);

/// Maximum size of the value of a journal row. A larger batch is split over several rows of one
/// transaction.
constexpr std::size_t maxRowBytes = std::size_t{256} * 1024;

/// \returns the key of the first row that holds \p batch. It identifies the write: reading the row
/// back shows whether a write whose response was lost took effect.
std::string rowKey(std::string_view cell, const journal_batch &batch);
/// \returns the prefix of the keys of all batches of \p cell.
std::string rowPrefix(std::string_view cell);

/// \returns the rows that hold \p batch, each with at most \p maxBytes of value. They must be
/// written in one transaction.
std::vector<row_write> encodeRows(std::string_view cell, const journal_batch &batch,
                                  std::size_t maxBytes = maxRowBytes);

/// \brief Reassembles batches from rows that are added in the order of their keys.
class batch_reader
{
public:
    void addRow(const table_row &row);
    /// \returns the batches sorted by fencing number and sequence, or a description of the row that
    /// cannot be read.
    tl::expected<std::vector<journal_batch>, std::string> finish();

private:
    void closeBatch();

    std::vector<journal_batch> m_batches;
    std::string m_key;
    std::string m_text;
    std::size_t m_rowsMissing = 0;
    std::string m_error;
};

} // namespace azurehill
