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

/// \brief A host of the platform's list. The list lags behind the hosts.
struct listed_host
{
    std::string name;
    std::string service;
    endpoint address;
    std::string dataCentre;
    bool leaving = false;
};

/// \brief Rows, and the platform's time at which they were read if the answer carries it.
struct timestamped_rows
{
    std::vector<table_row> rows;
    std::optional<std::int64_t> nowMs;
};

/// \brief Client of the platform. Used from one thread; keeps a few connections open.
class platform_client
{
public:
    template <class T>
    using result = tl::expected<T, platform_error>;

    platform_client(endpoint service, duration timeout);

    /// \brief Applies \p t. \returns the new versions by key.
    awaitable<result<std::map<std::string, row_version>>> transact(transaction t);
    /// \brief Reads rows by key; absent rows are left out.
    awaitable<result<std::vector<table_row>>> read(std::vector<std::string> keys);
    /// \brief Reads rows by key, with the time of the reading.
    awaitable<result<timestamped_rows>> readTimestamped(std::vector<std::string> keys);
    /// \brief Reads rows in key order whose key begins with \p prefix and comes after \p after.
    awaitable<result<std::vector<table_row>>> scan(std::string prefix, std::string after,
                                                   int limit);
    /// \brief Writes an object that must not be there yet; the same bytes again are no conflict.
    awaitable<result<void>> putObject(std::string key, std::string bytes);
    awaitable<result<std::string>> getObject(std::string key);
    awaitable<result<void>> deleteObject(std::string key);
    awaitable<result<std::vector<listed_host>>> hosts();

private:
    awaitable<result<http_response>> call(http_request request);

    endpoint m_service;
    duration m_timeout;
    std::vector<std::unique_ptr<http_connection>> m_idle;
};

} // namespace azurehill
