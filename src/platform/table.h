#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace azurehill {

/// \brief Version of a row, given by the table service; 0 is the version of a row that is not
/// there.
using row_version = std::uint64_t;

struct table_row
{
    std::string key;
    std::string value;
    row_version version = 0;
};

/// \brief A condition of a transaction: the row \c key has this version.
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

/// \brief Writes that happen together, or not at all when one check fails.
struct transaction
{
    std::vector<row_check> checks;
    std::vector<row_write> puts;
    std::vector<std::string> deletes;
};

} // namespace azurehill
