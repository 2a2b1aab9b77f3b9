#pragma once

#include <boost/json/array.hpp>

#include <string>
#include <vector>

namespace azurehill {

/// \returns the members \p columns of each object in \p rows as a table with aligned columns.
std::string toTable(const boost::json::array &rows, const std::vector<std::string> &columns);

/// \returns \p value as JSON text over several lines.
std::string toPrettyText(const boost::json::value &value, int indent = 0);

/// \returns a time of the platform's time line as UTC.
std::string toUtc(std::int64_t unixMs);

} // namespace azurehill
