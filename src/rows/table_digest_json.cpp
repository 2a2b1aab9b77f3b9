#include "rows/table_digest_json.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace azurehill {

namespace {

/// Cap on the age of a copy; at this age it is too old for any use.
constexpr duration maxAge = std::chrono::hours(24);

} // namespace

boost::json::value toJson(const table_digest &digest)
{
    // Rounded up, so that a copy never appears younger than it is.
    return boost::json::array{digest.version, digest.hash, toMilliseconds(digest.age) + 1};
}

table_digest digestFromJson(const boost::json::value &value)
{
    table_digest digest;
    digest.version = value.at(0).to_number<store_version>();
    digest.hash = value.at(1).to_number<std::uint64_t>();
    const auto ms = value.at(2).to_number<std::int64_t>();
    if (ms < 0)
        throw std::out_of_range("negative age");
    digest.age = milliseconds(std::min(ms, toMilliseconds(maxAge)));
    return digest;
}

} // namespace azurehill
