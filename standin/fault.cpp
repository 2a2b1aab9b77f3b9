#include "standin/fault.h"

#include "runtime/timer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace azurehill::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t maxConnectionsKnown = 1024;
constexpr duration pollPeriod = milliseconds(5);

/// \brief Takes an answer and sends nothing.
class discarding_writer : public response_writer
{
public:
    awaitable<bool> write(http_response) override { co_return true; }
    awaitable<bool> begin(int, header_list) override { co_return true; }
    awaitable<bool> writeChunk(std::string_view) override { co_return true; }
    awaitable<bool> end() override { co_return true; }
    bool finished() const override { return true; }
};

/// \brief Passes an answer on, as far as the fault lets it.
class faulty_writer : public response_writer
{
public:
    faulty_writer(const fault_state &faults, fault own, asio::any_io_executor connection,
                  response_writer &next)
        : m_faults(faults), m_own(std::move(own)), m_connection(std::move(connection)), m_next(next)
    { }

    awaitable<bool> write(http_response response) override
    {
        co_await standStill();
        co_return co_await m_next.write(std::move(response));
    }

    awaitable<bool> begin(int status, header_list headers) override
    {
        co_await standStill();
        co_return co_await m_next.begin(status, std::move(headers));
    }

    awaitable<bool> writeChunk(std::string_view bytes) override
    {
        if (m_own.mode == fault_mode::CutStream && m_written >= m_own.pieces)
            co_return false;
        if (m_own.mode == fault_mode::SlowPieces)
            co_await sleepFor(m_own.delay);
        co_await standStill();
        ++m_written;
        co_return co_await m_next.writeChunk(bytes);
    }

    awaitable<bool> end() override
    {
        co_await standStill();
        co_return co_await m_next.end();
    }
    bool finished() const override { return m_next.finished(); }

private:
    awaitable<void> standStill()
    {
        while (m_faults.current().mode == fault_mode::Freeze || m_faults.isSilent(m_connection))
            co_await sleepFor(pollPeriod);
    }

    const fault_state &m_faults;
    fault m_own;
    asio::any_io_executor m_connection;
    response_writer &m_next;
    std::int64_t m_written = 0;
};

std::int64_t numberOr(const json::object &o, std::string_view key, std::int64_t other)
{
    const auto *found = o.if_contains(key);
    return found ? found->to_number<std::int64_t>() : other;
}

http_response setFault(fault_state &faults, const std::string &body)
{
    try {
        const json::object o = json::parse(body).as_object();
        const auto name = o.at("mode").as_string();
        const auto mode = fromName<fault_mode>(std::string_view(name.data(), name.size()));
        if (!mode)
            return jsonResponse(400, R"({"error":"unknown mode"})");
        fault f;
        f.mode = *mode;
        f.delay = milliseconds(numberOr(o, "delay_ms", 0));
        f.pieces = numberOr(o, "pieces", 0);
        f.count = numberOr(o, "count", -1);
        if (const auto *prefix = o.if_contains("path_prefix"))
            f.pathPrefix = std::string(prefix->as_string());
        faults.set(std::move(f));
        return jsonResponse(200, "{}");
    } catch (const std::exception &e) {
        return jsonResponse(400, R"({"error":"not a fault"})");
    }
}

http_response leavingResponse()
{
    http_response response = jsonResponse(503, R"({"error":"leaving"})");
    response.headers.add("Azurehill-Leaving", "true");
    return response;
}

awaitable<void> serveWithFault(fault_state &faults, const request_handler &inner,
                               const http_request &request, response_writer &writer)
{
    const asio::any_io_executor connection = co_await asio::this_coro::executor;
    const fault own = faults.suffer(request.path(), connection);
    faulty_writer slowed(faults, own, connection, writer);
    while (faults.current().mode == fault_mode::Freeze)
        co_await sleepFor(pollPeriod);
    // Something between the ends has lost track of the connection: the request never arrives.
    if (faults.isSilent(connection)) {
        while (faults.isSilent(connection))
            co_await sleepFor(pollPeriod);
        co_return;
    }
    switch (own.mode) {
    case fault_mode::Down:
        co_await writer.write(jsonResponse(503, R"({"error":"down"})"));
        co_return;
    case fault_mode::Leave:
        co_await writer.write(leavingResponse());
        co_return;
    case fault_mode::EndProcess:
        std::_Exit(EXIT_FAILURE);
    case fault_mode::Slow:
        co_await sleepFor(own.delay);
        co_return co_await inner(request, slowed);
    case fault_mode::LoseAnswers: {
        discarding_writer nowhere;
        co_return co_await inner(request, nowhere);
    }
    case fault_mode::Silent:
        while (faults.current().mode == fault_mode::Silent)
            co_await sleepFor(pollPeriod);
        co_return;
    case fault_mode::None:
    case fault_mode::Freeze:
    case fault_mode::GoneSilent:
    case fault_mode::CutStream:
    case fault_mode::SlowPieces:
        co_return co_await inner(request, slowed);
    }
}

} // namespace

void fault_state::set(fault f)
{
    m_fault = std::move(f);
    m_silent.clear();
    if (m_fault.mode == fault_mode::GoneSilent)
        m_silent = m_connections;
}

fault fault_state::suffer(std::string_view path, const asio::any_io_executor &connection)
{
    if (std::find(m_connections.begin(), m_connections.end(), connection) == m_connections.end()) {
        m_connections.push_back(connection);
        if (m_connections.size() > maxConnectionsKnown)
            m_connections.pop_front();
    }
    if (m_fault.count == 0 || !path.starts_with(m_fault.pathPrefix))
        return {};
    if (m_fault.count > 0)
        --m_fault.count;
    return m_fault;
}

bool fault_state::isSilent(const asio::any_io_executor &connection) const
{
    return std::find(m_silent.begin(), m_silent.end(), connection) != m_silent.end();
}

request_handler withFaults(const std::shared_ptr<fault_state> &faults, request_handler inner)
{
    return [faults, inner = std::move(inner)](const http_request &request,
                                              response_writer &writer) -> awaitable<void> {
        if (request.path() == "/fault")
            co_await writer.write(setFault(*faults, request.body));
        else if (request.path() == "/records" || request.path() == "/counts")
            co_await inner(request, writer);
        else
            co_await serveWithFault(*faults, inner, request, writer);
    };
}

} // namespace azurehill::standin
