#include "http/http_message.h"

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace azurehill {

void header_list::add(std::string_view name, std::string_view value)
{
    m_fields.emplace_back(name, value);
}

std::string_view header_list::get(std::string_view name) const
{
    for (const field &f : m_fields) {
        if (boost::beast::iequals(f.first, name))
            return f.second;
    }
    return {};
}

bool header_list::has(std::string_view name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(),
                       [&](const field &f) { return boost::beast::iequals(f.first, name); });
}

std::optional<endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    endpoint e{std::string(text.substr(0, colon)), 0};
    const std::string_view digits = text.substr(colon + 1);
    const char *const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, e.port);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return e;
}

std::string toText(const endpoint &e)
{
    return fmt::format("{}:{}", e.host, e.port);
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> http_request::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string(pair.substr(equals + 1));
    }
    return std::nullopt;
}

http_response jsonResponse(int status, std::string body)
{
    http_response r;
    r.status = status;
    r.headers.add("Content-Type", "application/json");
    r.body = std::move(body);
    return r;
}

} // namespace azurehill
