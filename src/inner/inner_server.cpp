#include "inner/inner_server.h"

#include "inner/heartbeat_json.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace azurehill {

namespace {

/// \brief Server connector without sockets: passes requests to the library as strings.
class message_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &, void *) override { return true; }

    std::string handle(const std::string &request)
    {
        std::string response;
        GetHandler()->HandleRequest(request, response);
        return response;
    }
};

class dispatcher : public jsonrpc::AbstractServer<dispatcher>
{
public:
    dispatcher(jsonrpc::AbstractServerConnector &connector,
               std::function<heartbeat(const heartbeat &)> onHeartbeat)
        : AbstractServer(connector), m_onHeartbeat(std::move(onHeartbeat))
    {
        bindAndAddMethod(jsonrpc::Procedure("heartbeat", jsonrpc::PARAMS_BY_NAME,
                                            jsonrpc::JSON_OBJECT, "daemon", jsonrpc::JSON_STRING,
                                            "incarnation", jsonrpc::JSON_STRING, "evidence",
                                            jsonrpc::JSON_ARRAY, nullptr),
                         &dispatcher::onHeartbeat);
    }

private:
    void onHeartbeat(const Json::Value &parameters, Json::Value &result)
    {
        try {
            result = internal::toJson(m_onHeartbeat(internal::toHeartbeat(parameters)));
        } catch (const Json::Exception &e) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, e.what());
        }
    }

    std::function<heartbeat(const heartbeat &)> m_onHeartbeat;
};

} // namespace

struct inner_server::state
{
    explicit state(std::function<heartbeat(const heartbeat &)> onHeartbeat)
        : methods(connector, std::move(onHeartbeat))
    { }

    message_connector connector;
    dispatcher methods;
};

inner_server::inner_server(std::function<heartbeat(const heartbeat &)> onHeartbeat)
    : m_state(std::make_unique<state>(std::move(onHeartbeat)))
{ }

inner_server::~inner_server() = default;

std::string inner_server::answer(const std::string &request)
{
    try {
        return m_state->connector.handle(request);
    } catch (const Json::Exception &) {
        // The library's parser throws if the request is nested too deeply.
        return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"Parse error"}})";
    }
}

} // namespace azurehill
