#include "rows/table_digest_json.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace azurehill {

namespace {

/// A copy of this age is too old for any use.
constexpr duration mostAge = std::chrono::hours(24);

} // namespace

boost::json::value toJson(const table_digest &digest)
{
    // Rounded up: a copy must never seem younger than it is.
    return boost::json::array{digest.version, digest.hash, toMilliseconds(digest.age) + 1};
}

table_digest digestFromJson(const boost::json::value &value)
{
    table_digest digest;
    digest.version = value.at(0).to_number<store_version>();
    digest.hash = value.at(1).to_number<std::uint64_t>();
    const auto ms = value.at(2).to_number<std::int64_t>();
    if (ms < 0)
        throw std::out_of_range("an age");
    digest.age = milliseconds(std::min(ms, toMilliseconds(mostAge)));
    return digest;
}

} // namespace azurehill
