#pragma once

#include "core/runtime_clock.h"
#include "http/http_client.h"
#include "platform/platform_error.h"
#include "platform/table.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azurehill {

/// \brief An entry of the platform's host list. The list is eventually consistent: it may lag
/// behind the actual hosts.
struct listed_host
{
    std::string name;
    std::string service;
    endpoint address;
    std::string dataCentre;
    bool leaving = false;
};

/// \brief Rows, and the time on the platform's clock at which they were read, if the response
/// includes it.
struct timestamped_rows
{
    std::vector<table_row> rows;
    std::optional<std::int64_t> nowMs;
};

/// \brief HTTP client of the platform's table, object store and host list.
///
/// Not thread-safe. Keeps a few idle connections open for reuse.
class platform_client
{
public:
    template <class T>
    using result = tl::expected<T, platform_error>;

    platform_client(endpoint address, duration timeout);

    /// \brief Applies \p t atomically. \returns the new row versions by key.
    awaitable<result<std::map<std::string, row_version>>> transact(transaction t);
    /// \brief Reads rows by key. Rows that do not exist are omitted from the result.
    awaitable<result<std::vector<table_row>>> read(std::vector<std::string> keys);
    /// \brief Same as read(), with the time on the platform's clock at which the rows were read.
    awaitable<result<timestamped_rows>> readTimestamped(std::vector<std::string> keys);
    /// \brief Reads, in key order, at most \p limit rows whose key begins with \p prefix and sorts
    /// after \p after.
    awaitable<result<std::vector<table_row>>> scan(std::string prefix, std::string after,
                                                   int limit);
    /// \brief Creates an object. Fails with Conflict if it exists with other bytes; writing the
    /// same bytes again succeeds.
    awaitable<result<void>> putObject(std::string key, std::string bytes);
    awaitable<result<std::string>> getObject(std::string key);
    awaitable<result<void>> deleteObject(std::string key);
    awaitable<result<std::vector<listed_host>>> hosts();

private:
    awaitable<result<http_response>> call(http_request request);

    endpoint m_address;
    duration m_timeout;
    std::vector<std::unique_ptr<http_connection>> m_idleConnections;
};

} // namespace azurehill
