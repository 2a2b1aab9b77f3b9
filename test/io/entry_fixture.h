#pragma once

#include "entry/entry_service.h"
#include "scripted_replica.h"
#include "standin/store_standin.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>

namespace azurehill::test {

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
        settings.clients = {"127.0.0.1", 0};
        settings.credits = {"127.0.0.1", 0};
        settings.slots = {"127.0.0.1", 0};
        settings.crashes = {"127.0.0.1", 0};
        begin(makeRoutes());
    }

    /// \brief Replaces the daemon by a new one that has no state.
    void restart(const routing_config_ptr &routes = makeRoutes()) { begin(routes); }

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
    /// Port at which the current daemon listens for clients.
    std::uint16_t port = 0;
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

    /// \brief Runs the daemon until it has read the evidence in the store, if that answers.
    void waitUntilRestored()
    {
        constexpr int maxSteps = 300;
        context.restart();
        for (int i = 0; i < maxSteps && !*m_isRestored; ++i)
            context.run_one_for(std::chrono::milliseconds(1));
    }

    std::shared_ptr<bool> m_isRestored;

    void begin(const routing_config_ptr &routes)
    {
        services.push_back(std::make_unique<entry_service>(context, settings, metrics));
        service = services.back().get();
        m_isRestored = std::make_shared<bool>(false);
        service->onQuarantineRestored([isRestored = m_isRestored] { *isRestored = true; });
        port = service->start();
        REQUIRE(port != 0);
        service->setReplicas({a.entry, b.entry, model.entry});
        if (routes)
            service->setRoutes(routes);
        waitUntilRestored();
    }
};

} // namespace azurehill::test
