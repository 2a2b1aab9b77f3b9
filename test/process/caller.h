#pragma once

#include "core/ids.h"
#include "http/http_client.h"

#include <boost/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace azurehill::process_test {

inline constexpr std::string_view tenantToken = "demo-token";
inline constexpr std::string_view operatorToken = "operator-token";

/// \brief What came back for one request.
struct reply
{
    /// 0 when no answer came.
    int status = 0;
    header_list headers;
    std::string body;
    /// How the exchange failed, if it did.
    std::optional<http_error> error;

    /// \returns the text of a model's answer, or nothing when it is not whole.
    std::optional<std::string> content() const;
    /// \returns what the problem document says of the run: did_not_run, ran or unknown.
    std::string outcomeText() const;
};

/// \brief Makes one exchange and waits for it. \p onPiece sees the body as far as it has come.
reply ask(const endpoint &peer, http_request request, duration limit = seconds(20),
          const std::function<void(const std::string &)> &onPiece = {});

/// \returns the JSON document at \p path of \p peer.
boost::json::value getJson(const endpoint &peer, const std::string &path);
/// \brief Sends \p body to \p path of \p peer. \returns whether it was taken.
bool postJson(const endpoint &peer, const std::string &path, const std::string &body);

/// \brief One call of a program, the same at every try.
struct call_line
{
    program_id program;
    std::int64_t turn = 1;
    http_request request;
};

/// \returns a streamed model call with a prompt that names program and turn.
call_line modelCall(const program_id &program, std::int64_t turn, int maxTokens = 24);
/// \returns a call of the tool "proof".
call_line toolCall(const program_id &program, std::int64_t turn, bool idempotent = false);
/// \returns the request that makes a program, or a sub-agent of \p parent.
http_request createRequest(const program_id &parent = {});
/// \returns a request of the tenant.
http_request tenantRequest(std::string method, std::string target);
/// \returns a request of an operator.
http_request operatorRequest(std::string method, std::string target);
/// \returns the idempotency key of \p call.
std::string keyOf(const call_line &call);

} // namespace azurehill::process_test
