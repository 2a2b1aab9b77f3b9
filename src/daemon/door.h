#pragma once

#include "daemon/control.h"
#include "daemon/operator_door.h"
#include "http/http_server.h"

namespace azurehill {

/// \brief The callers' and operators' interface of a daemon. Runs on traffic threads.
class door
{
public:
    door(control &owner, asio::any_io_executor controlThread, const settings &s)
        : m_control(owner), m_controlThread(std::move(controlThread)), m_settings(s),
          m_operators(owner, m_controlThread, s)
    { }

    /// \brief Serves a request that came from a caller or an operator.
    awaitable<void> serve(const http_request &request, response_writer &writer);
    /// \brief Serves a request that another daemon passed on.
    awaitable<void> serveInner(const http_request &request, response_writer &writer);

private:
    enum class origin { Caller, Daemon };

    awaitable<void> route(const http_request &request, response_writer &writer, origin from);
    awaitable<void> routeTenant(const http_request &request, response_writer &writer, origin from);
    awaitable<void> reportMetrics(const http_request &request, response_writer &writer);
    awaitable<void> lookUp(const http_request &request, response_writer &writer);
    /// \brief Tells another daemon, which can't read the store, the configuration.
    awaitable<void> tellConfig(response_writer &writer);
    awaitable<void> readiness(response_writer &writer);
    awaitable<void> createProgram(const http_request &request, const tenant_id &tenant,
                                  response_writer &writer, origin from);
    awaitable<void> oneProgram(const http_request &request, const tenant_id &tenant,
                               response_writer &writer, origin from);
    awaitable<void> call(const http_request &request, const tenant_id &tenant,
                         const configuration &config, response_writer &writer, origin from);
    /// \brief Passes \p request on to the owner of \p id. \returns whether another daemon is owner.
    awaitable<bool> passToOwner(const program_id &id, const http_request &request,
                                response_writer &writer, origin from);
    awaitable<void> passOn(const member &owner, const http_request &request,
                           response_writer &writer);
    /// \brief Closes \p passedOn when \p owner is no member any more.
    awaitable<void> closeWhenGone(std::weak_ptr<http_connection> passedOn, member owner);

    template <class Function>
    auto onControl(Function &task)
    {
        return runOn(m_controlThread, task);
    }

    control &m_control;
    asio::any_io_executor m_controlThread;
    const settings &m_settings;
    operator_door m_operators;
};

} // namespace azurehill
