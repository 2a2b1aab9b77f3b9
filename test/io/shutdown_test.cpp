#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry/entry_shutdown.h"
#include "entry_fixture.h"
#include "turns/turn_rows.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace azurehill::test {

namespace {

constexpr duration step = milliseconds(20);
constexpr duration grace = seconds(8);

/// \brief Replica that takes as long for an answer as the last part of the request's path says, in
/// milliseconds. Streams have two events, one at the start and one at the end.
class timed_replica
{
public:
    timed_replica(asio::io_context &context, std::string id, std::string service)
        : m_server(context.get_executor(), {},
                   [this](const http_request &r, response_writer &w) { return answer(r, w); })
    {
        entry.incarnation.id = {std::move(id)};
        entry.service = std::move(service);
        entry.address = {"127.0.0.1", m_server.listen({"127.0.0.1", 0})};
        entry.dataCentre = {"dc"};
        entry.slots = 8;
    }

    replica_entry entry;
    int arrived = 0;

private:
    awaitable<void> answer(const http_request &request, response_writer &writer)
    {
        ++arrived;
        const std::string path(request.path());
        const milliseconds time(std::stoi(path.substr(path.rfind('/') + 1)));
        http_response response;
        const std::string_view idName = "X-Azurehill-Request-Id";
        response.headers.add(std::string(idName), request.headers.get(idName));
        response.headers.add("X-Azurehill-Server-Stamp", "stamp");
        if (entry.service != "model") {
            co_await sleepFor(time);
            response.body = "whole";
            co_await writer.write(std::move(response));
            co_return;
        }
        response.headers.add("Content-Type", "text/event-stream");
        co_await writer.begin(200, std::move(response.headers));
        co_await writer.writeChunk("id: 1\ndata: first\n\n");
        co_await sleepFor(time);
        co_await writer.writeChunk("id: 2\ndata: last\n\n");
        co_await writer.end();
    }

    http_server m_server;
};

/// \brief A connection of a client, with the answer to its request as far as it has arrived.
struct client_connection
{
    explicit client_connection(asio::io_context &context) : client(context) { }

    raw_client client;
    std::string answer;
    bool isClosed = false;

    int status() const { return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0; }
    bool contains(std::string_view text) const { return answer.find(text) != std::string::npos; }
};

using client_ptr = std::shared_ptr<client_connection>;

/// \brief A daemon that is being stopped, on a paused clock.
class stopping_daemon
{
public:
    stopping_daemon()
        : tool(entry.context, "i-tool", "tools"), model(entry.context, "i-model", "model"),
          control(entry.context, entry.settings, {}),
          shutdown(control, *entry.service, entry.context.get_executor())
    {
        std::vector<route_rule> routes = entry_fixture::makeRoutes()->routes();
        for (route_rule &route : routes)
            route.timeout = seconds(20);
        service_rule engine;
        engine.name = "model";
        engine.engine = engine_rule{8, 100'000, 2};
        entry.service->setRoutes(std::make_shared<routing_config>(
            2, routes, std::vector<service_rule>{engine}, client_limits()));
        setReplicas();
    }

    void setReplicas() { entry.service->setReplicas({tool.entry, model.entry}); }

    /// \brief Makes the daemon the only member, so that it is its own dispatcher.
    void dispatchItself()
    {
        member_state self;
        self.name = entry.settings.name;
        self.incarnation = 1;
        self.serving = true;
        self.cores = 1;
        entry.service->setMembers(self, {});
        // A dispatcher that starts collects renewals first.
        advance(milliseconds(400));
    }
    /// \brief Opens a connection.
    client_ptr connect()
    {
        auto c = std::make_shared<client_connection>(entry.context);
        auto open = [](client_ptr opened, std::uint16_t port) -> awaitable<void> {
            co_await opened->client.connect(port);
        };
        runInSteps(entry.context, open(c, entry.port), step);
        return c;
    }
    /// \brief Sends a request on \p c without waiting for its answer.
    /// \param more further headers, each after a line end.
    void send(const client_ptr &c, const std::string &path, const std::string &more = "")
    {
        const std::string bytes
            = fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Azurehill-Request-Id: r{}{}\r\nContent-Length: 2\r\n\r\nin",
                          path, ++m_lastRequest, more);
        auto ask = [](client_ptr asked, std::string request) -> awaitable<void> {
            co_await asked->client.send(std::move(request));
            while (true) {
                const std::string chunk = co_await asked->client.readSome();
                if (chunk.empty())
                    break;
                asked->answer += chunk;
            }
            asked->isClosed = true;
        };
        spawn(entry.context.get_executor(), "ask", ask(c, bytes));
    }
    /// \brief Sends a request on a new connection, and waits until it has reached a replica.
    client_ptr begin(const std::string &path, const std::string &more = "")
    {
        client_ptr c = connect();
        send(c, path, more);
        advance(milliseconds(200));
        return c;
    }

    /// \brief Begins the stop, as SIGTERM does.
    void stop()
    {
        auto run = [](stopping_daemon &w) -> awaitable<void> {
            w.m_stoppedAt = runtime_clock::now();
            co_await w.shutdown.run(grace);
            w.m_endedAt = runtime_clock::now();
        };
        spawn(entry.context.get_executor(), "stop", run(*this));
        advance(step);
    }
    bool hasEnded() const { return m_endedAt.has_value(); }
    /// \brief Waits for the end of the stop. \returns how long the stop took.
    duration waitForEnd()
    {
        const time_point limit = runtime_clock::now() + 2 * grace;
        while (!hasEnded() && runtime_clock::now() < limit)
            advance(step);
        REQUIRE(hasEnded());
        return *m_endedAt - m_stoppedAt;
    }
    void advance(duration time)
    {
        auto wait = [](duration d) -> awaitable<void> { co_await sleepFor(d); };
        runInSteps(entry.context, wait(time), step);
    }

    /// \returns the account of the program "p".
    token_account account() const
    {
        const row_page page = entry.rows.read(turn_rows::programRange({"p"}));
        for (const stored_row &row : page.rows) {
            if (turn_rows::isAccountRow(row.name))
                return decodeAccount(row.value).value();
        }
        return {};
    }

private:
    const paused_clock m_clock;
    time_point m_stoppedAt;
    std::optional<time_point> m_endedAt;
    int m_lastRequest = 0;

public:
    entry_fixture entry;
    timed_replica tool;
    timed_replica model;
    entry_control control;
    entry_shutdown shutdown;
};

const std::string programHeaders = "\r\nX-Azurehill-Program-Id: p\r\n"
                                   "X-Azurehill-Session-Id: s\r\nX-Azurehill-Token-Budget: 1000\r\n"
                                   "X-Azurehill-Token-Usage: 100,40";

std::string deadlineHeader(int ms)
{
    return fmt::format("\r\nX-Azurehill-Request-Deadline: {}", ms);
}

} // namespace

TEST_SUITE("graceful stop")
{
    // Guards against answers that are cut off although the grace time is not over.
    TEST_CASE("a stop waits for the answers in progress until shortly before the grace time ends")
    {
        stopping_daemon w;

        SUBCASE("a call that ends at nine tenths of it")
        {
            const client_ptr call = w.begin("/unsafe/7300");
            w.stop();
            CHECK(w.waitForEnd() < grace);
            CHECK(call->answer.ends_with("whole"));
        }
        SUBCASE("a turn that ends at nine tenths of it")
        {
            const client_ptr turn = w.begin("/turn/7300", programHeaders);
            w.stop();
            CHECK(w.waitForEnd() < grace);
            CHECK(turn->contains("data: last\n\n"));
            CHECK(turn->answer.ends_with("0\r\n\r\n"));
        }
        SUBCASE("a turn that would last longer is cut off, and its tokens are given back")
        {
            const client_ptr turn = w.begin("/turn/9000", programHeaders);
            REQUIRE(w.account().holds.size() == 1);
            w.stop();
            CHECK(w.waitForEnd() < grace);
            CHECK_FALSE(turn->answer.ends_with("0\r\n\r\n"));
            CHECK(w.account().holds.empty());
            CHECK(w.account().spent == 4);
        }
        SUBCASE("nothing in progress: it ends once no caller knows an old look-up")
        {
            w.stop();
            const duration time = w.waitForEnd();
            CHECK(time >= milliseconds(3500));
            CHECK(time < milliseconds(4000));
        }
    }

    // Guards against requests that are taken during the stop and then cut off by its end.
    TEST_CASE("a stopping daemon refuses at once what might not end before it does")
    {
        stopping_daemon w;
        const client_ptr late = w.connect();
        const client_ptr early = w.connect();
        const client_ptr busy = w.begin("/unsafe/7000");
        w.stop();
        w.advance(seconds(3));
        const int arrived = w.tool.arrived;

        SUBCASE("a request whose deadline lies behind the end")
        {
            w.send(late, "/unsafe/10", deadlineHeader(6000));
            w.advance(milliseconds(100));
            CHECK(late->isClosed);
            CHECK(late->status() == 503);
            CHECK(late->contains("Retry-After: 0.000\r\n"));
            CHECK(late->contains("Connection: close\r\n"));
            CHECK(w.tool.arrived == arrived);
        }
        SUBCASE("but not one that ends before")
        {
            w.send(early, "/unsafe/1500", deadlineHeader(2000));
            w.waitForEnd();
            CHECK(early->status() == 200);
            CHECK(early->answer.ends_with("whole"));
        }
    }

    // Guards against requests that are taken late in the grace time and cut without an answer.
    TEST_CASE("a request that comes at any moment of the stop is answered whole or refused at once")
    {
        stopping_daemon w;
        // No request waits for another.
        w.tool.entry.slots = w.model.entry.slots = 1000;
        w.setReplicas();
        const client_ptr busy = w.begin("/unsafe/7000");
        // Replicas answer well before, and shortly before, the time that the request allows.
        std::vector<std::pair<std::string, std::string>> requests
            = {{"/safe/20", ""}, {"/safe/20", deadlineHeader(1000)}};
        for (const char *path : {"/unsafe/", "/turn/", "/chat/"}) {
            requests.emplace_back(std::string(path) + "900", "");
            requests.emplace_back(std::string(path) + "900", deadlineHeader(1000));
            requests.emplace_back(std::string(path) + "1900", deadlineHeader(2000));
        }
        constexpr std::size_t maxRequests = 400;
        std::vector<client_ptr> kept;
        for (std::size_t i = 0; i < maxRequests; ++i)
            kept.push_back(w.connect());
        w.stop();
        std::vector<client_ptr> asked;
        int refused = 0;
        int taken = 0;
        while (!w.hasEnded()) {
            for (const auto &[path, deadline] : requests) {
                REQUIRE_FALSE(kept.empty());
                asked.push_back(kept.back());
                kept.pop_back();
                const int before = w.tool.arrived + w.model.arrived;
                w.send(asked.back(), path, deadline);
                w.advance(step);
                const bool isTaken = w.tool.arrived + w.model.arrived > before;
                const bool isRefused = asked.back()->isClosed && asked.back()->status() == 503;
                CHECK(isTaken != isRefused);
                taken += isTaken ? 1 : 0;
                refused += isRefused ? 1 : 0;
            }
            w.advance(milliseconds(100));
        }
        CHECK(busy->answer.ends_with("whole"));
        CHECK(taken > 0);
        CHECK(refused > 0);
        for (const client_ptr &c : asked) {
            const bool isWhole = c->status() == 200
                && (c->answer.ends_with("whole") || c->answer.ends_with("0\r\n\r\n"));
            CHECK((isWhole || c->status() == 503));
        }
    }

    // Guards against requests that wait at a stopping daemon while another one could serve them.
    TEST_CASE("requests that wait for a slot when the stop begins are refused at once")
    {
        stopping_daemon w;
        w.model.entry.slots = 1;
        w.setReplicas();
        w.advance(milliseconds(100));
        constexpr int requests = 8;
        std::string path = "/turn/5000";
        SUBCASE("by this daemon's own admission") { }
        SUBCASE("by a dispatcher")
        {
            w.dispatchItself();
            path = "/chat/5000";
        }
        std::vector<client_ptr> turns;
        for (int i = 0; i < requests; ++i)
            turns.push_back(w.begin(path));
        const int sent = w.model.arrived;
        REQUIRE(sent < requests);
        w.stop();
        w.advance(milliseconds(100));
        int refused = 0;
        for (const client_ptr &turn : turns)
            refused += turn->isClosed && turn->status() == 503 ? 1 : 0;
        CHECK(refused == requests - sent);
        CHECK(w.model.arrived == sent);
        w.waitForEnd();
        CHECK(w.model.arrived == sent);
    }

    // Guards against a request that is read between the last look at the idle daemon and its end.
    TEST_CASE("no request begins once the stop has ended")
    {
        stopping_daemon w;
        const client_ptr c = w.connect();
        w.stop();
        w.waitForEnd();
        w.send(c, "/unsafe/10");
        w.advance(milliseconds(200));
        CHECK(w.tool.arrived == 0);
        CHECK(c->isClosed);
        CHECK(c->status() == 503);
    }

    // Guards against tokens that stay held for good after a stop: the program's later turns are
    // refused although its budget is not spent.
    TEST_CASE("tokens that are held during the stop are returned at its end")
    {
        stopping_daemon w;
        w.dispatchItself();
        const client_ptr before = w.begin("/chat/10", programHeaders);
        const client_ptr during = w.connect();
        REQUIRE(w.account().holds.size() == 1);
        w.stop();
        w.advance(milliseconds(500));
        REQUIRE(w.account().holds.empty());
        w.send(during, "/chat/10", programHeaders + deadlineHeader(2000));
        w.advance(milliseconds(500));
        CHECK(during->status() == 200);
        w.waitForEnd();
        CHECK(w.account().holds.empty());
        CHECK(w.account().spent == 8);
    }
}

TEST_SUITE("planned changes under open answers")
{
    // Guards against answers that are cut off by a change of the configuration.
    TEST_CASE("an answer in progress ends whole")
    {
        stopping_daemon w;
        const client_ptr call = w.begin("/unsafe/2000");
        const client_ptr turn = w.begin("/turn/2000", programHeaders);

        SUBCASE("after its route was removed")
        {
            w.entry.service->setRoutes(std::make_shared<routing_config>(
                3, std::vector<route_rule>(), std::vector<service_rule>(), client_limits()));
        }
        SUBCASE("after its route's timeout was cut short")
        {
            std::vector<route_rule> routes = entry_fixture::makeRoutes()->routes();
            for (route_rule &route : routes)
                route.timeout = milliseconds(100);
            w.entry.service->setRoutes(std::make_shared<routing_config>(
                3, routes, std::vector<service_rule>(), client_limits()));
        }
        SUBCASE("after its replica began to drain")
        {
            w.tool.entry.draining = w.model.entry.draining = true;
            w.setReplicas();
        }
        w.stop();
        w.waitForEnd();
        CHECK(call->answer.ends_with("whole"));
        CHECK(turn->answer.ends_with("0\r\n\r\n"));
    }
}

} // namespace azurehill::test
