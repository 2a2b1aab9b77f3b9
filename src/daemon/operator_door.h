#pragma once

#include "daemon/control.h"
#include "http/http_server.h"

namespace azurehill {

/// \brief The operators' interface of a daemon. Runs on traffic threads.
class operator_door
{
public:
    operator_door(control &owner, asio::any_io_executor controlThread, const settings &s)
        : m_control(owner), m_controlThread(std::move(controlThread)), m_settings(s)
    { }

    /// \brief Serves a request whose path begins with "/operator/".
    awaitable<void> serve(const http_request &request, response_writer &writer);

private:
    awaitable<http_response> showState(std::string path);
    awaitable<http_response> showConfig();
    awaitable<http_response> showPresets();
    awaitable<http_response> history();
    awaitable<http_response> applyConfig(const http_request &request);

    template <class Function>
    auto onControl(Function &task)
    {
        return runOn(m_controlThread, task);
    }

    control &m_control;
    asio::any_io_executor m_controlThread;
    const settings &m_settings;
};

} // namespace azurehill
