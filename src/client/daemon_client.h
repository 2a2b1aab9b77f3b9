#pragma once

#include "client/exit_status.h"
#include "http/http_message.h"

#include <boost/json/value.hpp>
#include <tl/expected.hpp>

#include <string>

namespace azurehill {

/// \brief A command that failed: what to print and the exit status.
struct command_error
{
    int status = Unavailable;
    std::string text;
    /// Status of the daemon's answer, 0 without one.
    int httpStatus = 0;
};

/// \brief Talks to the operators' interface of daemons, one request at a time.
class daemon_client
{
public:
    using result = tl::expected<boost::json::value, command_error>;

    daemon_client(endpoint daemon, std::string token)
        : m_daemon(std::move(daemon)), m_token(std::move(token))
    { }

    result get(const std::string &path) const { return send(m_daemon, request(path)); }
    /// \brief Asks another daemon than the one given.
    result getFrom(const endpoint &daemon, const std::string &path) const
    {
        return send(daemon, request(path));
    }
    /// \brief Makes a change to version \p expected of the configuration.
    result putConfig(const std::string &text, const std::string &expected,
                     const std::string &author) const;

private:
    http_request request(const std::string &path) const;
    static result send(const endpoint &daemon, http_request request);

    endpoint m_daemon;
    std::string m_token;
};

} // namespace azurehill
