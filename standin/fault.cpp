#include "standin/fault.h"

#include "runtime/timer.h"

#include <boost/json.hpp>

namespace azurehill::standin {

namespace {

/// \brief Takes an answer and sends nothing.
class discarding_writer : public response_writer
{
public:
    awaitable<bool> write(http_response) override { co_return true; }
    awaitable<bool> begin(int, header_list) override { co_return true; }
    awaitable<bool> writeChunk(std::string_view) override { co_return true; }
    awaitable<bool> end() override { co_return true; }
};

http_response setFault(fault_state &faults, const std::string &body)
{
    try {
        const boost::json::value v = boost::json::parse(body);
        const auto name = v.at("mode").as_string();
        const auto mode = fromName<fault_mode>(std::string_view(name.data(), name.size()));
        if (!mode)
            return jsonResponse(400, R"({"error":"unknown mode"})");
        if (const auto *delay = v.as_object().if_contains("delay_ms"))
            faults.delayMs = delay->to_number<std::int64_t>();
        faults.mode = *mode;
        return jsonResponse(200, "{}");
    } catch (const std::exception &e) {
        return jsonResponse(400, R"({"error":"not a fault"})");
    }
}

awaitable<void> serveWithFault(fault_state &faults, const request_handler &inner,
                               const http_request &request, response_writer &writer)
{
    switch (faults.mode.load()) {
    case fault_mode::None:
        co_return co_await inner(request, writer);
    case fault_mode::Down:
        co_await writer.write(jsonResponse(503, R"({"error":"down"})"));
        co_return;
    case fault_mode::Slow:
        co_await sleepFor(milliseconds(faults.delayMs));
        co_return co_await inner(request, writer);
    case fault_mode::LoseAnswers: {
        discarding_writer nowhere;
        co_return co_await inner(request, nowhere);
    }
    case fault_mode::Silent:
        while (faults.mode == fault_mode::Silent)
            co_await sleepFor(milliseconds(20));
        co_return;
    }
}

} // namespace

request_handler withFaults(const std::shared_ptr<fault_state> &faults, request_handler inner)
{
    return [faults, inner = std::move(inner)](const http_request &request,
                                              response_writer &writer) -> awaitable<void> {
        if (request.path() == "/fault")
            co_await writer.write(setFault(*faults, request.body));
        else
            co_await serveWithFault(*faults, inner, request, writer);
    };
}

} // namespace azurehill::standin
