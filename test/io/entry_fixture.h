#pragma once

#include "entry/entry_service.h"
#include "loopback.h"
#include "standin/store_standin.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <deque>
#include <memory>

namespace azurehill::test {

/// \brief Replica that replays the responses that a test wrote for it, byte for byte.
class scripted_replica
{
public:
    scripted_replica(asio::io_context &context, std::string id, std::string service)
        : m_acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        entry.incarnation.id = {std::move(id)};
        entry.service = std::move(service);
        entry.address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        entry.dataCentre = {"dc"};
        entry.slots = 8;
        spawn(context.get_executor(), "acceptAll", acceptAll());
    }

    /// Responses to the requests, in order; "ID" stands for the request's id. When none is left,
    /// the replica answers successfully. An empty response closes the connection, "<close>" at the
    /// end closes it after what precedes; at "<pause>" the replica is silent for a while.
    std::deque<std::string> script;
    /// Called before a scripted response is sent.
    std::function<void()> onReply;
    /// Number of connections that were opened to the replica.
    int connections = 0;
    /// Requests that arrived, head and body.
    std::vector<std::string> arrived;
    replica_entry entry;

    static constexpr std::string_view pauseMark = "<pause>";
    /// How long the replica is silent at "<pause>".
    static constexpr duration silence = milliseconds(1700);

    /// \brief Stops accepting connections, as a replica does whose host has lost power.
    void closeAcceptor() { m_acceptor.close(); }

    /// \returns a complete successful response with \p body.
    static std::string good(const std::string &body)
    {
        return fmt::format("HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                           "X-Azurehill-Server-Stamp: stamp\r\nContent-Length: {}\r\n\r\n{}",
                           body.size(), body);
    }
    /// \returns a complete stream of \p events.
    static std::string stream(int events)
    {
        std::string text = "HTTP/1.1 200 OK\r\nX-Azurehill-Request-Id: ID\r\n"
                           "X-Azurehill-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
        for (int i = 1; i <= events; ++i) {
            const std::string event = fmt::format("id: {}\ndata: e{}\n\n", i, i);
            text += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        }
        return text + "0\r\n\r\n";
    }

private:
    awaitable<void> acceptAll()
    {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_acceptor.get_executor());
            boost::system::error_code code;
            co_await m_acceptor.async_accept(*socket, asio::redirect_error(use_awaitable, code));
            if (code)
                co_return;
            ++connections;
            spawn(m_acceptor.get_executor(), "serve", serve(socket));
        }
    }

    awaitable<void> serve(std::shared_ptr<asio::ip::tcp::socket> socket)
    {
        std::string buffer;
        while (true) {
            std::string request = co_await readRequest(*socket, buffer);
            if (request.empty())
                co_return;
            arrived.push_back(request);
            std::string reply = good("ok");
            if (!script.empty()) {
                reply = script.front();
                script.pop_front();
                if (onReply)
                    onReply();
            }
            if (reply.empty())
                co_return;
            const std::string id = fieldValue(request, "X-Azurehill-Request-Id: ");
            for (std::size_t at = reply.find(": ID"); at != std::string::npos;
                 at = reply.find(": ID", at + 1))
                reply.replace(at + 2, 2, id);
            const bool endsConnection = reply.ends_with("<close>");
            if (endsConnection)
                reply.resize(reply.size() - 7);
            const std::size_t pauseAt = std::min(reply.find(pauseMark), reply.size());
            co_await write(*socket, reply.substr(0, pauseAt));
            if (pauseAt < reply.size()) {
                co_await sleepFor(silence);
                co_await write(*socket, reply.substr(pauseAt + pauseMark.size()));
            }
            if (endsConnection)
                co_return;
        }
    }

    static awaitable<void> write(asio::ip::tcp::socket &socket, std::string bytes)
    {
        boost::system::error_code code;
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(use_awaitable, code));
    }

    static std::string fieldValue(const std::string &request, const std::string &field)
    {
        const std::size_t start = request.find(field);
        if (start == std::string::npos)
            return {};
        const std::size_t value = start + field.size();
        return request.substr(value, request.find('\r', value) - value);
    }

    static awaitable<std::string> readRequest(asio::ip::tcp::socket &socket, std::string &buffer)
    {
        while (true) {
            const std::size_t head = buffer.find("\r\n\r\n");
            if (head != std::string::npos) {
                const std::string length = fieldValue(buffer, "Content-Length: ");
                const std::size_t size = head + 4 + (length.empty() ? 0 : std::stoul(length));
                if (buffer.size() >= size) {
                    const std::string request = buffer.substr(0, size);
                    buffer.erase(0, size);
                    co_return request;
                }
            }
            std::string piece(4096, '\0');
            boost::system::error_code code;
            const std::size_t n = co_await socket.async_read_some(
                asio::buffer(piece), asio::redirect_error(use_awaitable, code));
            if (code)
                co_return std::string();
            buffer.append(piece, 0, n);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
};

/// \brief Test fixture: an entry service with a store and replicas in one process.
class entry_fixture
{
public:
    entry_fixture()
        : store(context.get_executor(), rows), a(context, "i-a", "tools"),
          b(context, "i-b", "tools"), model(context, "i-m", "model")
    {
        settings.name = {"front"};
        settings.dataCentre = {"dc"};
        settings.storeAddress = {"127.0.0.1", store.listen()};
        settings.storeSpansParts = true;
        settings.clients = {"127.0.0.1", port};
        settings.credits = {"127.0.0.1", 0};
        settings.slots = {"127.0.0.1", 0};
        begin(makeRoutes());
    }

    /// \brief Replaces the daemon by a new one that has no state.
    void restart(const routing_config_ptr &routes = makeRoutes())
    {
        settings.clients.port = port = freePort();
        begin(routes);
    }

    static routing_config_ptr makeRoutes()
    {
        std::vector<route_rule> routes;
        routes.push_back(rule("/safe/", route_kind::Idempotent, "tools"));
        routes.push_back(rule("/unsafe/", route_kind::NonIdempotent, "tools"));
        routes.push_back(rule("/turn/", route_kind::Stream, "model"));
        routes.back().keepsHistory = true;
        routes.back().retention = seconds(60);
        routes.push_back(rule("/chat/", route_kind::Stream, "model"));
        routes.back().retention = seconds(60);
        routes.back().isResumable = true;
        routes.back().maxEventGap = milliseconds(300);
        routes.back().maxAttempts = 1;
        service_rule engine;
        engine.name = "model";
        engine.engine = engine_rule{8, 100'000, 2};
        return std::make_shared<routing_config>(1, routes, std::vector<service_rule>{engine},
                                                client_limits());
    }

    static route_rule rule(const std::string &prefix, route_kind kind, const std::string &service)
    {
        route_rule r;
        r.name = prefix;
        r.hostname = "h.example";
        r.prefix = prefix;
        r.kind = kind;
        r.timeout = seconds(5);
        r.maxAttempts = 2;
        r.services = {{service, 1}};
        return r;
    }

    /// \brief Sends one request.
    /// \returns all bytes that are received until the connection ends.
    std::string ask(const std::string &head, const std::string &body = "")
    {
        std::string answer;
        runIn(context, exchange(head, body, answer));
        return answer;
    }

    /// \brief Like ask, on a paused clock that advances in steps.
    std::string askInSteps(const std::string &head, const std::string &body = "")
    {
        std::string answer;
        const paused_clock pause;
        runInSteps(context, exchange(head, body, answer), milliseconds(20));
        return answer;
    }

    /// \brief Requests a turn of the program "p".
    std::string turn(const std::string &id, const std::string &previous, const std::string &input,
                     int budget = 1000)
    {
        std::string head = fmt::format("POST /turn/1 HTTP/1.1\r\nX-Azurehill-Request-Id: {}\r\n"
                                       "X-Azurehill-Program-Id: p\r\n"
                                       "X-Azurehill-Token-Budget: {}\r\n"
                                       "X-Azurehill-Token-Usage: 100,40",
                                       id, budget);
        if (!previous.empty())
            head += "\r\nX-Azurehill-Previous-Turn: " + previous;
        return ask(head, input);
    }

    /// \brief Requests a turn of the program "p" whose client keeps its history.
    /// \param more further headers, each after a line end.
    std::string chat(const std::string &id, const std::string &prompt, int budget = 1000,
                     const std::string &more = "")
    {
        const std::string head
            = fmt::format("POST /chat/1 HTTP/1.1\r\nX-Azurehill-Request-Id: {}\r\n"
                          "X-Azurehill-Program-Id: p\r\nX-Azurehill-Session-Id: s\r\n"
                          "X-Azurehill-Token-Budget: {}\r\n"
                          "X-Azurehill-Token-Usage: 100,40{}",
                          id, budget, more);
        return ask(head, prompt);
    }

    asio::io_context context;
    row_store rows;
    store_standin store;
    scripted_replica a;
    scripted_replica b;
    scripted_replica model;
    entry_metrics metrics;
    std::uint16_t port = freePort();
    host_settings settings;
    /// The current daemon, the last one of \c services.
    entry_service *service = nullptr;
    std::vector<std::unique_ptr<entry_service>> services;

    /// \returns a port without a listener.
    std::uint16_t freePort()
    {
        asio::ip::tcp::acceptor probe(context, {asio::ip::address_v4::loopback(), 0});
        return probe.local_endpoint().port();
    }

private:
    awaitable<void> exchange(std::string head, std::string body, std::string &answer)
    {
        std::string request = fmt::format(
            "{}\r\nHost: h.example\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", head,
            body.size(), body);
        answer = co_await exchangeRaw(context, port, std::move(request));
    }

    void begin(const routing_config_ptr &routes)
    {
        services.push_back(std::make_unique<entry_service>(context, settings, metrics));
        service = services.back().get();
        REQUIRE(service->start() != 0);
        service->setReplicas({a.entry, b.entry, model.entry});
        if (routes)
            service->setRoutes(routes);
    }
};

} // namespace azurehill::test
