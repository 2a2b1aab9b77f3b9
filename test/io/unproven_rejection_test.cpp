#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"

#include <array>
#include <functional>
#include <string>

namespace azurehill::test {

namespace {

/// Statuses that tell a client that its request did not run.
constexpr std::array<int, 4> rejections = {408, 425, 429, 503};

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

int statusOf(const std::string &answer)
{
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

/// \returns a replica's answer with \p status.
/// \param fields further header fields, each with its line end.
std::string reply(int status, const std::string &fields = "", const std::string &body = "failed")
{
    return fmt::format("HTTP/1.1 {} X\r\nX-Azurehill-Request-Id: ID\r\n"
                       "X-Azurehill-Server-Stamp: stamp\r\n{}Content-Length: {}\r\n\r\n{}",
                       status, fields, body.size(), body);
}

std::string request(const std::string &path)
{
    return fmt::format("POST {} HTTP/1.1\r\nX-Azurehill-Request-Id: r1", path);
}

/// \returns routes of which those for repeatable requests allow \p attempts.
routing_config_ptr routesWith(int attempts)
{
    const routing_config_ptr usual = entry_fixture::makeRoutes();
    std::vector<route_rule> routes = usual->routes();
    for (route_rule &route : routes) {
        if (route.isResumable || route.kind == route_kind::Idempotent)
            route.maxAttempts = attempts;
    }
    return std::make_shared<routing_config>(2, routes, usual->services(), client_limits());
}

/// \brief Calls \p scenario with each rejection and a daemon of its own.
void forEachRejection(const std::function<void(entry_fixture &, int status)> &scenario)
{
    for (const int status : rejections) {
        CAPTURE(status);
        entry_fixture w;
        scenario(w, status);
    }
}

/// \brief Checks that \p answer is the daemon's own and promises nothing.
void checkPromisesNothing(const std::string &answer)
{
    CHECK(statusOf(answer) == 502);
    CHECK_FALSE(contains(answer, "X-Azurehill-Server-Stamp"));
    CHECK_FALSE(contains(answer, "failed"));
    CHECK(contains(answer, "may have run"));
}

} // namespace

TEST_SUITE("rejections that prove nothing")
{
    // Guards against a job that runs twice, since its client took a replica's own 503 for "not
    // run".
    TEST_CASE("a replica rejects a request without saying that it did not run")
    {
        SUBCASE("a non-idempotent request: its client gets no promise")
        {
            forEachRejection([](entry_fixture &w, int status) {
                w.a.script = w.b.script = {reply(status, "Retry-After: 1\r\n")};
                const std::string answer = w.ask(request("/unsafe/x"));
                checkPromisesNothing(answer);
                CHECK_FALSE(contains(answer, "Retry-After"));
                CHECK(w.a.arrived.size() + w.b.arrived.size() == 1);
            });
        }
        SUBCASE("nor if the answer is too long to be buffered")
        {
            forEachRejection([](entry_fixture &w, int status) {
                const std::string body(response_relay::maxBufferedBytes + 1, 'x');
                w.a.script = w.b.script = {reply(status, "", body)};
                checkPromisesNothing(w.ask(request("/unsafe/x")));
            });
        }
        SUBCASE("nor if it breaks off")
        {
            forEachRejection([](entry_fixture &w, int status) {
                std::string cut = reply(status);
                cut.resize(cut.size() - 1);
                w.a.script = w.b.script = {cut + "<close>"};
                checkPromisesNothing(w.ask(request("/unsafe/x")));
            });
        }
        SUBCASE("a stream that can't be resumed: likewise")
        {
            forEachRejection([](entry_fixture &w, int status) {
                w.model.script = {reply(status)};
                checkPromisesNothing(w.turn("t1", "", "one;"));
                CHECK(w.model.arrived.size() == 1);
            });
        }
        SUBCASE("nor by 402, which promises the same to a turn that has a token budget")
        {
            entry_fixture w;
            w.model.script = {reply(402)};
            checkPromisesNothing(w.turn("t1", "", "one;"));
            w.model.script = {reply(402)};
            checkPromisesNothing(w.chat("t2", "one;"));
        }
        SUBCASE("a stream that may be resumed, with one attempt: likewise")
        {
            forEachRejection([](entry_fixture &w, int status) {
                w.model.script = {reply(status)};
                checkPromisesNothing(w.chat("t1", "one;"));
                CHECK(w.model.arrived.size() == 1);
            });
        }
        SUBCASE("and with two: another replica serves it")
        {
            forEachRejection([](entry_fixture &w, int status) {
                w.restart(routesWith(2));
                scripted_replica second(w.context, "i-n", "model");
                w.service->setReplicas({w.model.entry, second.entry});
                const std::string stream = scripted_replica::stream(2);
                w.model.script = second.script = {reply(status)};
                w.model.onReply = [&] { second.script = {stream}; };
                second.onReply = [&] { w.model.script = {stream}; };
                CHECK(contains(w.chat("t1", "one;"), "data: e2"));
                CHECK(w.model.arrived.size() == 1);
                CHECK(second.arrived.size() == 1);
            });
        }
        SUBCASE("an idempotent request: another replica serves it")
        {
            forEachRejection([](entry_fixture &w, int status) {
                w.a.script = w.b.script = {reply(status)};
                w.a.onReply = [&] { w.b.script.clear(); };
                w.b.onReply = [&] { w.a.script.clear(); };
                CHECK(statusOf(w.ask(request("/safe/x"))) == 200);
                CHECK(w.a.arrived.size() == 1);
                CHECK(w.b.arrived.size() == 1);
            });
        }
        SUBCASE("and if its attempts are used up, the client learns when to return")
        {
            forEachRejection([](entry_fixture &w, int status) {
                w.restart(routesWith(1));
                w.a.script = w.b.script = {reply(status, "Retry-After: 1.25\r\n")};
                const std::string answer = w.ask(request("/safe/x"));
                checkPromisesNothing(answer);
                CHECK(contains(answer, "Retry-After: 1.250\r\n"));
                CHECK(w.a.arrived.size() + w.b.arrived.size() == 1);
            });
        }
    }

    // Guards against a continuation that takes a rejection for the end of the stream.
    TEST_CASE("a stream broke off, and its replica rejects the continuation")
    {
        forEachRejection([](entry_fixture &w, int status) {
            std::string begun = scripted_replica::stream(2);
            begun.resize(begun.size() - 5);
            w.model.script = {begun + "<close>", reply(status)};
            const std::string answer = w.chat("t1", "one;");
            CHECK(contains(answer, "data: e2"));
            CHECK_FALSE(contains(answer, "failed"));
            CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
            CHECK(w.model.arrived.size() == 2);
        });
    }

    // Guards against proof that the response itself does not carry.
    TEST_CASE("what looks like a proof is none")
    {
        entry_fixture w;

        SUBCASE("the header of an interim response")
        {
            w.a.script = w.b.script
                = {"HTTP/1.1 103 Early Hints\r\nX-Azurehill-Not-Run: 1\r\n\r\n" + reply(503)};
            checkPromisesNothing(w.ask(request("/unsafe/x")));
        }
        SUBCASE("the header of a success, which contradicts itself")
        {
            w.a.script = w.b.script = {reply(200, "X-Azurehill-Not-Run: 1\r\n")};
            CHECK(statusOf(w.ask(request("/unsafe/x"))) == 502);
        }
        CHECK(w.a.arrived.size() + w.b.arrived.size() == 1);
    }

    // Guards against a mend that keeps true refusals or ordinary failures from clients.
    TEST_CASE("all other answers stay as they are")
    {
        entry_fixture w;

        SUBCASE("a replica says that it did not run the request: another one runs it")
        {
            for (const int status : {400, 408, 421, 425, 429, 503}) {
                CAPTURE(status);
                const std::string refusal = reply(status, "X-Azurehill-Not-Run: 1\r\n");
                w.restart();
                w.a.script = w.b.script = {refusal};
                w.a.onReply = [&] { w.b.script.clear(); };
                w.b.onReply = [&] { w.a.script.clear(); };
                CHECK(statusOf(w.ask(request("/unsafe/x"))) == 200);
            }
        }
        SUBCASE("no replica runs it: the client is told so at once")
        {
            const std::string refusal = reply(503, "X-Azurehill-Not-Run: 1\r\n");
            w.a.script = w.b.script = {refusal, refusal};
            const std::string answer = w.ask(request("/unsafe/x"));
            CHECK(statusOf(answer) == 503);
            CHECK(contains(answer, "did not run"));
        }
        SUBCASE("a failure of another status comes byte for byte")
        {
            for (const int status : {400, 402, 404, 409, 418, 500, 501, 502, 504}) {
                CAPTURE(status);
                w.restart();
                w.a.script = w.b.script = {reply(status, "Retry-After: 7\r\n")};
                const std::string answer = w.ask(request("/unsafe/x"));
                CHECK(statusOf(answer) == status);
                CHECK(contains(answer, "X-Azurehill-Server-Stamp: stamp\r\n"));
                CHECK(contains(answer, "Retry-After: 7\r\n"));
                CHECK(answer.ends_with("\r\n\r\nfailed"));
            }
        }
    }
}

} // namespace azurehill::test
