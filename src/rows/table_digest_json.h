#pragma once

#include "rows/table_cache.h"

#include <boost/json/fwd.hpp>

namespace azurehill {

/// \returns \p digest as an array of numbers: version, hash, age in milliseconds.
boost::json::value toJson(const table_digest &digest);
/// \returns the digest in \p value. \throws std::exception when it is none.
table_digest digestFromJson(const boost::json::value &value);

} // namespace azurehill
