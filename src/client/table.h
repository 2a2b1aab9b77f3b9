#pragma once

#include <boost/json/array.hpp>

#include <string>
#include <vector>

namespace azurehill {

/// \returns a text table with aligned columns: a header line with the names in \p columns, then the
/// members of these names of each object in \p rows. A missing member is shown as "-".
std::string toTable(const boost::json::array &rows, const std::vector<std::string> &columns);

/// \returns \p value as indented JSON text.
std::string toPrettyText(const boost::json::value &value, int indent = 0);

/// \returns \p unixMs, a time on the platform's clock, as an ISO 8601 timestamp in UTC.
std::string toUtc(std::int64_t unixMs);

} // namespace azurehill
