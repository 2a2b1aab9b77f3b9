#pragma once

#include "daemon/assistant_message.h"
#include "daemon/control.h"
#include "http/http_error.h"

namespace azurehill {

/// \brief How a call ended upstream.
struct upstream_end
{
    std::optional<http_error> error;
    int status = 0;
    std::string contentType;
    /// A model's answer.
    assistant_message message;
    /// A tool's or a service's answer.
    std::string body;
    std::string finishReason = "stop";
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// Prompt tokens that the engine had in its cache, if it says so.
    std::optional<std::int64_t> cachedTokens;
    std::optional<time_point> firstToken;
    token_gaps gaps;
    /// Data of events that are held back until the answer is durable.
    std::vector<std::string> held;
    /// Whether another replica may well take the call; only where it did not run.
    bool worthRetry = false;
};

/// \returns how a replica lost a call that ended with \p error, or nothing if it did not.
std::optional<send_loss> lossOf(const http_error &error);

/// \brief Makes a model call and relays its events into the call's stream as they come.
awaitable<upstream_end> callModel(const running_call &call);
/// \brief Makes a tool or plain call.
awaitable<upstream_end> callService(const running_call &call);

/// \brief Takes in the data of one event of an engine.
/// \returns whether it is the stream's last, or what is wrong with it.
tl::expected<bool, http_error> onModelEvent(call_stream &stream, const std::string &data,
                                            upstream_end &end);

} // namespace azurehill
