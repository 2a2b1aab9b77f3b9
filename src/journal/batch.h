#pragma once

#include "journal/record.h"

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

/// \returns the key of the row that holds \p batch. It is the write's own id: reading it back says
/// whether a write whose answer was lost took effect.
std::string rowKey(std::string_view cell, const journal_batch &batch);
/// \returns the prefix of the keys of all batches of \p cell.
std::string rowPrefix(std::string_view cell);

std::string encode(const journal_batch &batch);
tl::expected<journal_batch, std::string> decodeBatch(std::string_view text);

} // namespace azurehill
