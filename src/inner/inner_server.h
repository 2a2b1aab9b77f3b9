#pragma once

#include "inner/heartbeat.h"

#include <functional>
#include <memory>

namespace azurehill {

/// \brief Answers JSON-RPC requests of other daemons. libjsonrpccpp checks and dispatches them;
/// the bytes come and go over the inner HTTP listener.
class inner_server
{
public:
    /// \param onHeartbeat takes in a heartbeat and gives the answer.
    explicit inner_server(std::function<heartbeat(const heartbeat &)> onHeartbeat);
    ~inner_server();

    /// \returns the response to \p request, an error response when it is no valid request.
    std::string answer(const std::string &request);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace azurehill
