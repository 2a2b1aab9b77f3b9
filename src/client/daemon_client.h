#pragma once

#include "client/exit_status.h"
#include "http/http_message.h"

#include <boost/json/value.hpp>
#include <tl/expected.hpp>

#include <string>

namespace azurehill {

/// \brief Error of a command: the message to print and the exit status.
struct command_error
{
    int status = Unavailable;
    std::string text;
    /// HTTP status of the daemon's response, 0 if there was none.
    int httpStatus = 0;
};

/// \brief Blocking HTTP client of the daemons' operator API; opens a connection for each request.
class daemon_client
{
public:
    using result = tl::expected<boost::json::value, command_error>;

    daemon_client(endpoint daemon, std::string token)
        : m_daemon(std::move(daemon)), m_token(std::move(token))
    { }

    result get(const std::string &path) const { return send(m_daemon, request(path)); }
    /// \brief Sends the request to \p daemon instead of the daemon given to the constructor.
    result getFrom(const endpoint &daemon, const std::string &path) const
    {
        return send(daemon, request(path));
    }
    /// \brief Replaces the configuration. Fails with Conflict if its newest version is not
    /// \p expectedVersion.
    result putConfig(const std::string &text, const std::string &expectedVersion,
                     const std::string &author) const;

private:
    http_request request(const std::string &path) const;
    static result send(const endpoint &daemon, http_request request);

    endpoint m_daemon;
    std::string m_token;
};

} // namespace azurehill
