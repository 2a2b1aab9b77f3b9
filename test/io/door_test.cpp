#include "io/door_world.h"

using namespace azurehill;
using namespace azurehill::test;

namespace {

request_handler answering(int &calls, int status, std::string body)
{
    return [&calls, status, body = std::move(body)](const http_request &,
                                                    response_writer &w) -> awaitable<void> {
        ++calls;
        http_response response = jsonResponse(status, body);
        co_await w.write(std::move(response));
    };
}

} // namespace

TEST_CASE("Each resource has its methods")
{
    door_world world;
    world.start();
    const auto refused = [&](const char *method, const char *path, const char *allowed) {
        const http_response r = world.exchange(door_world::request(method, path));
        INFO(method << " " << path << " " << r.status);
        return r.status == 405 && r.headers.get("Allow") == allowed
            && r.headers.get("Content-Type") == "application/problem+json";
    };
    CHECK(refused("POST", "/healthz", "GET, HEAD"));
    CHECK(refused("DELETE", "/v1/lookup", "GET, HEAD"));
    CHECK(refused("GET", "/v1/programs", "POST"));
    CHECK(refused("GET", "/v1/chat/completions", "POST"));
    CHECK(refused("PUT", "/v1/programs/p0", "GET, HEAD, DELETE"));
    CHECK(world.exchange(door_world::request("GET", "/nothing")).status == 404);
    CHECK(world.exchange(door_world::request("HEAD", "/healthz")).status == 200);

    http_request stranger = door_world::request("POST", "/v1/programs");
    stranger.headers = {};
    const http_response unknown = world.exchange(stranger);
    CHECK(unknown.status == 401);
    CHECK(unknown.headers.get("WWW-Authenticate") == "Bearer");
}

TEST_CASE("Malformed calls are refused before anything runs")
{
    scripted_engine engine;
    door_world world;
    world.addUpstream("story-1", "story-model", engine.handler());
    world.start();
    const std::string program = world.createProgram();
    const auto status = [&](http_request r) {
        const http_response response = world.exchange(std::move(r));
        INFO(response.body);
        CHECK(response.body.find(R"("outcome":"did_not_run")") != std::string::npos);
        return response.status;
    };
    const auto withBody = [&](std::string body) {
        http_request r = door_world::modelCall(program, 1, "k");
        r.body = std::move(body);
        return r;
    };
    const std::string rest = R"("model":"story","messages":[{"role":"user","content":"x"}]})";

    SUBCASE("JSON")
    {
        CHECK(status(withBody("")) == 400);
        CHECK(status(withBody("{" + rest + "x")) == 400);
        CHECK(status(withBody(std::string(5000, '['))) == 400);
        CHECK(status(withBody(R"({"model":"story","messages":)" + std::string(40, '[')
                              + std::string(40, ']') + "}"))
              == 400);
        CHECK(status(withBody(std::string("{\0", 2) + rest)) == 400);
        CHECK(status(withBody("{\"user\":\"\xff\"," + rest)) == 400);
        CHECK(status(withBody(R"({"model":"story","messages":[]})")) == 400);
        CHECK(status(withBody(R"({"stream":"yes",)" + rest)) == 400);
    }
    SUBCASE("numbers")
    {
        for (const char *limit : {"0", "-1", "1.5", "1e3", "9223372036854775807",
                                  "18446744073709551615", "1e999", "\"9\"", "1000001"})
            CHECK(status(withBody(fmt::format(R"({{"max_tokens":{},{})", limit, rest))) == 400);
        CHECK(status(withBody(R"({"n":2,)" + rest)) == 400);
        for (const char *turn : {"0", "-1", "1x", "", "99999999999999999999", "0x1", " 1 1"}) {
            http_request r = door_world::request("POST", "/v1/chat/completions", "{" + rest);
            r.headers.add("Azurehill-Program", program);
            r.headers.add("Azurehill-Turn", turn);
            r.headers.add("Idempotency-Key", "k");
            CHECK(status(r) == 400);
        }
    }
    SUBCASE("keys")
    {
        CHECK(status(door_world::modelCall(program, 1, std::string(129, 'k'))) == 400);
        CHECK(status(door_world::modelCall(program, 1, "")) == 400);
        // The journal is JSON: it could not be read back with broken UTF-8 in it.
        CHECK(status(door_world::modelCall(program, 1, "k\xff")) == 400);
    }
    SUBCASE("programs")
    {
        for (const char *body :
             {"", "[]", "{}", R"({"class":7})", R"({"class":"nothing"})",
              R"({"class":"lesson","budget_tokens":-1})",
              R"({"class":"lesson","budget_tokens":1e30})",
              R"({"class":"lesson","deadline_ms":-1})", R"({"class":"lesson","parent":"../x"})"}) {
            const int s = status(door_world::request("POST", "/v1/programs", body));
            CHECK((s == 400 || s == 404));
        }
    }
    CHECK(engine.calls == 0);
}

// A tenant guesses the id of another one's program and asks for it, calls in it, or makes it the
// parent of a program of its own, which would spend the other's budget.
TEST_CASE("A program is its tenant's alone")
{
    door_world world;
    world.start();
    const std::string program = world.createProgram();
    const auto asOther = [&](http_request r) {
        header_list headers;
        headers.add("Authorization", "Bearer other-token");
        for (const auto &[name, value] : r.headers) {
            if (name != "Authorization")
                headers.add(name, value);
        }
        r.headers = headers;
        return world.exchange(r).status;
    };
    CHECK(asOther(door_world::request("GET", "/v1/programs/" + program)) == 404);
    CHECK(asOther(door_world::request("DELETE", "/v1/programs/" + program)) == 404);
    CHECK(asOther(door_world::modelCall(program, 1, "k")) == 404);
    CHECK(
        asOther(door_world::request("POST", "/v1/programs",
                                    fmt::format(R"({{"class":"lesson","parent":"{}"}})", program)))
        == 404);
}

// A replica leaves, or has died, and the host list does not say so yet. Its calls did not run, so
// they go to another replica; the caller notices nothing.
TEST_CASE("A call that did not run goes to another replica")
{
    int calls = 0;
    int refusals = 0;
    door_world world;
    SUBCASE("nothing listens any more")
    {
        {
            http_server gone(world.executor(), {}, answering(refusals, 200, ""));
            world.addHost("a-proof", "proof", gone.listen({"127.0.0.1", 0}));
        }
        world.deadUpstreams = 1;
    }
    SUBCASE("it says that it is leaving")
    {
        world.addUpstream("a-proof", "proof",
                          [&](const http_request &, response_writer &w) -> awaitable<void> {
                              ++refusals;
                              http_response leaving = jsonResponse(503, "{}");
                              leaving.headers.add("Azurehill-Did-Not-Run", "true");
                              co_await w.write(std::move(leaving));
                          });
    }
    world.addUpstream("b-proof", "proof", answering(calls, 200, R"({"receipt":1})"));
    world.start();
    const std::string program = world.createProgram();
    for (int turn = 1; turn <= 4; ++turn) {
        const http_response response
            = world.exchange(world.toolCall(program, turn, fmt::format("k{}", turn)));
        CHECK(response.status == 200);
    }
    CHECK(calls == 4);
}

// A tool may have done its work before it failed: a plain 503 says nothing. A non-idempotent call
// is not sent again, and the caller gets what the tool said.
TEST_CASE("A tool's own 503 is an answer")
{
    int first = 0;
    int second = 0;
    door_world world;
    world.addUpstream("a-proof", "proof", answering(first, 503, R"({"error":"x"})"));
    world.addUpstream("b-proof", "proof", answering(second, 503, R"({"error":"x"})"));
    world.start();
    const std::string program = world.createProgram();
    CHECK(world.exchange(world.toolCall(program, 1, "k")).status == 503);
    CHECK(world.exchange(world.toolCall(program, 1, "k")).status == 503);
    CHECK(first + second == 1);
}

// A tool takes a call and never answers. The call ends at the limit of its service; whether it ran
// is unknown, so the same request later gets the same answer and nothing is sent again.
TEST_CASE("A hung tool ends at its limit")
{
    int calls = 0;
    door_world world;
    world.config.services["proof"].callTimeout = milliseconds(300);
    world.addUpstream("proof-1", "proof",
                      [&](const http_request &, response_writer &) -> awaitable<void> {
                          ++calls;
                          co_await sleepFor(std::chrono::hours(1));
                      });
    world.start();
    const std::string program = world.createProgram();
    const time_point before = runtime_clock::now();
    const http_response response = world.exchange(world.toolCall(program, 1, "k"));
    CHECK(response.status == 504);
    CHECK(response.body.find(R"("outcome":"unknown")") != std::string::npos);
    CHECK(runtime_clock::now() - before < seconds(2));
    const http_response again = world.exchange(world.toolCall(program, 1, "k"));
    CHECK(again.status == 502);
    CHECK(calls == 1);
}

// Families download a finished book at night. The request belongs to no program: nothing of it is
// journalled, and a book that is larger than any bound on answers passes piece by piece.
TEST_CASE("A plain service is reached without a program")
{
    constexpr std::size_t pieces = 80;
    const std::string page(1U << 20U, 'b');
    std::string token = "unset";
    int calls = 0;
    door_world world;
    world.addUpstream("library-1", "library",
                      [&](const http_request &r, response_writer &w) -> awaitable<void> {
                          ++calls;
                          token = std::string(r.headers.get("Authorization"));
                          header_list headers;
                          headers.add("Content-Type", "application/epub+zip");
                          headers.add("ETag", "\"7\"");
                          if (r.headers.get("If-None-Match") == "\"7\"") {
                              http_response unchanged{304, headers, {}};
                              co_await w.write(std::move(unchanged));
                              co_return;
                          }
                          bool going = co_await w.begin(200, headers);
                          for (std::size_t i = 0; i < pieces && going; ++i)
                              going = co_await w.writeChunk(page);
                          if (going)
                              co_await w.end();
                      });
    world.start();
    http_request book = door_world::request("GET", "/v1/services/library/book/1?lang=guc");

    SUBCASE("a whole book")
    {
        std::size_t bytes = 0;
        auto body = [&]() -> awaitable<void> {
            http_connection connection(world.executor());
            const endpoint peer{"127.0.0.1", world.daemons.front().port};
            const auto until = runtime_clock::now() + seconds(1000);
            REQUIRE(co_await connection.connect(peer, until));
            const auto head = co_await connection.sendAndReadHead(book, until);
            REQUIRE(head);
            CHECK(head->headers.get("Content-Type") == "application/epub+zip");
            while (true) {
                const auto piece = co_await connection.readSome(until);
                REQUIRE(piece);
                if (piece->empty())
                    break;
                bytes += piece->size();
            }
        };
        world.run(body());
        CHECK(bytes == pieces * page.size());
        CHECK(token.empty());
        CHECK(world.daemons.front().state.programIds().empty());
    }
    SUBCASE("a book that has not changed")
    {
        book.headers.add("If-None-Match", "\"7\"");
        const http_response unchanged = world.exchange(book);
        CHECK(unchanged.status == 304);
        CHECK(unchanged.headers.get("ETag") == "\"7\"");
    }
    SUBCASE("only where it is idempotent")
    {
        const http_response refused
            = world.exchange(door_world::request("POST", "/v1/services/library/orders"));
        CHECK(refused.status == 400);
        CHECK(calls == 0);
    }
    SUBCASE("only a plain service")
    {
        CHECK(world.exchange(door_world::request("GET", "/v1/services/proof/x")).status == 503);
    }
}

// A caller keeps an old address and asks a daemon that does not own its program. It gets the whole
// answer through that daemon, with the headers that it would have got from the owner.
TEST_CASE("The wrong daemon passes a request on")
{
    scripted_engine engine;
    int calls = 0;
    door_world world;
    world.addUpstream("story-1", "story-model", engine.handler());
    world.addUpstream("proof-1", "proof", answering(calls, 200, "{}"));
    world.start(2);
    auto &owner = world.daemons.front();
    auto &wrong = world.daemons.back();
    const std::string program = world.createProgram(&owner);

    const http_response answer = world.exchange(world.modelCall(program, 1, "k1"), &wrong);
    CHECK(answer.status == 200);
    CHECK(answer.headers.get("Content-Type") == "text/event-stream");
    CHECK(answer.headers.get("Cache-Control") == "no-store");
    CHECK(answer.body.find("w39 ") != std::string::npos);
    CHECK(world.exchange(world.toolCall(program, 2, "k2"), &wrong).status == 200);
    CHECK(engine.calls == 1);

    SUBCASE("an id of its last event included")
    {
        http_request resumed = world.modelCall(program, 1, "k1");
        resumed.headers.add("Last-Event-ID", "ffff-3");
        CHECK(world.exchange(resumed, &wrong).status == 409);
    }
    SUBCASE("the inner interface takes nobody without the secret")
    {
        http_request r = world.modelCall(program, 3, "k3");
        r.headers.add("Azurehill-Inner-Token", "guess");
        tl::expected<http_response, http_error> response;
        auto body = [&]() -> awaitable<void> {
            const endpoint peer{"127.0.0.1", owner.innerPort};
            response = co_await exchangeOnce(peer, r, runtime_clock::now() + seconds(9));
        };
        world.run(body());
        CHECK(response->status == 401);
        // Through a daemon it is of no use and no harm.
        CHECK(world.exchange(r, &wrong).status == 200);
    }
}

// A caller reads an answer through a daemon that does not own its program. It goes away, or its
// connection breaks: the daemon's session ends at once, the call goes on, and the caller joins the
// rest at the owner itself, by the ids that it was given on the way.
TEST_CASE("An answer through the wrong daemon can be cut and resumed")
{
    scripted_engine engine;
    engine.pauseAfter = 20;
    door_world world;
    world.addUpstream("story-1", "story-model", engine.handler());
    world.start(2);
    auto &owner = world.daemons.front();
    auto &wrong = world.daemons.back();
    const std::string program = world.createProgram(&owner);
    const http_request call = world.modelCall(program, 1, "k");
    std::string first;
    auto cut = [&]() -> awaitable<void> {
        raw_client client(world.context);
        co_await client.connect(wrong.port);
        co_await client.send(door_world::wire(call));
        first = co_await client.readUntil("w19 ");
        client.close();
        while (wrong.outer.requestsInProgress() > 0 || owner.inner.requestsInProgress() > 0)
            co_await sleepFor(milliseconds(1));
        CHECK_FALSE(engine.open);
    };
    world.run(cut());
    first = wholeEvents(first);
    engine.open = true;
    http_request again = call;
    again.headers.add("Last-Event-ID", lastId(first));
    const http_response rest = world.exchange(again, &owner);
    CHECK(rest.status == 200);
    CHECK(contentOf(first + rest.body) == engine.content());
    CHECK(engine.calls == 1);
}
