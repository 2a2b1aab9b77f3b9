#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Version of a row, assigned by the table service; 0 means that the row does not exist.
using row_version = std::uint64_t;

struct table_row
{
    std::string key;
    std::string value;
    row_version version = 0;
};

/// \brief Precondition of a transaction (compare-and-set): the row \c key has version \c version.
struct row_check
{
    std::string key;
    row_version version = 0;
};

struct row_write
{
    std::string key;
    std::string value;
};

/// \brief Writes and deletions that are applied atomically; none is applied if any check fails.
struct transaction
{
    std::vector<row_check> checks;
    std::vector<row_write> puts;
    std::vector<std::string> deletes;
};

} // namespace azurehill
