#pragma once

#include "inner/heartbeat.h"

#include <functional>
#include <memory>

namespace azurehill {

/// \brief JSON-RPC server for requests of other daemons. libjsonrpccpp validates and dispatches
/// them; the inner HTTP listener is the transport.
class inner_server
{
public:
    /// \param onHeartbeat handles a received heartbeat and returns the response.
    explicit inner_server(std::function<heartbeat(const heartbeat &)> onHeartbeat);
    ~inner_server();

    /// \returns the response to \p request, or an error response if the request is invalid.
    std::string answer(const std::string &request);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace azurehill
