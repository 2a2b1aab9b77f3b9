#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace azurehill {

/// \brief Header fields in order. Names are case-insensitive.
class header_list
{
public:
    using field = std::pair<std::string, std::string>;

    void add(std::string_view name, std::string_view value);
    /// \returns the value of the first field \p name, or an empty view if there is none.
    std::string_view get(std::string_view name) const;
    /// \returns whether there is a field \p name.
    bool has(std::string_view name) const;

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }

private:
    std::vector<field> m_fields;
};

/// \brief Host and port on which a peer listens.
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint &, const endpoint &) = default;
};

/// \returns the endpoint parsed from "host:port", or nothing if \p text is malformed.
std::optional<endpoint> parseEndpoint(std::string_view text);
/// \returns \p e as "host:port".
std::string toText(const endpoint &e);

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;

    /// \returns the target without the query.
    std::string_view path() const;
    /// \returns the value of the query parameter \p name, or nothing.
    std::optional<std::string> query(std::string_view name) const;
};

struct http_response
{
    int status = 200;
    header_list headers;
    std::string body;
};

/// \returns a response with a JSON body.
http_response jsonResponse(int status, std::string body);

} // namespace azurehill
