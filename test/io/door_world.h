#pragma once

#include "config/config_text.h"
#include "daemon/auth.h"
#include "daemon/call_runner.h"
#include "daemon/control.h"
#include "daemon/door.h"
#include "http/sse.h"
#include "io/loopback.h"
#include "standin/platform_standin.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <list>

namespace azurehill::test {

/// \brief The platform, upstreams and one or more daemons in one process, on a clock that moves
/// only while all of them wait.
class door_world
{
public:
    struct daemon
    {
        daemon(door_world &world, const std::string &name)
            : options(world.settingsOf(name)), outer(world.executor(), {}, byDoor(false)),
              inner(world.executor(), {}, byDoor(true)), port(outer.listen({"127.0.0.1", 0})),
              innerPort(inner.listen({"127.0.0.1", 0})),
              state(world.context, options,
                    {{name},
                     randomHex(6),
                     toText({"127.0.0.1", port}),
                     toText({"127.0.0.1", innerPort}),
                     {"dc"},
                     false},
                    [this, &world](running_call call) {
                        spawn(world.executor(), "runCall",
                              runCall(state, world.executor(), std::move(call)));
                    }),
              api(state, world.executor(), options)
        {
            state.start();
        }

        request_handler byDoor(bool inside)
        {
            return [this, inside](const http_request &r, response_writer &w) {
                return inside ? api.serveInner(r, w) : api.serve(r, w);
            };
        }

        settings options;
        http_server outer;
        http_server inner;
        std::uint16_t port;
        std::uint16_t innerPort;
        control state;
        door api;
    };

    door_world()
        : platform(context.get_executor(), {}, standin::makePlatform(duration(0))),
          platformPort(platform.listen({"127.0.0.1", 0}))
    {
        config.tenants["t"].tokenSha256 = sha256Hex("token");
        config.tenants["other"].tokenSha256 = sha256Hex("other-token");
        config.classes["lesson"] = {};
        config.services["story-model"].models = {"story"};
        config.services["proof"].kind = service_kind::Tool;
        config.services["library"].kind = service_kind::Plain;
        for (const preset_name p :
             {preset_name::Ordinary, preset_name::Peak, preset_name::Maintenance})
            config.presets[p] = {};
    }

    asio::any_io_executor executor() { return context.get_executor(); }

    settings settingsOf(const std::string &name) const
    {
        settings s;
        s.name = name;
        s.dataCentre = "dc";
        s.platform = {"127.0.0.1", platformPort};
        s.innerToken = "inner";
        s.operatorTokenSha256 = sha256Hex("operator");
        s.lease.ttl = seconds(3);
        s.lease.renewalInterval = s.lease.ttl / 3;
        s.lease.margin = s.lease.ttl / 10;
        return s;
    }

    /// \brief Runs everything until \p body has ended.
    void run(awaitable<void> body)
    {
        bool done = false;
        std::exception_ptr failure;
        asio::co_spawn(context, std::move(body), [&](std::exception_ptr e) {
            failure = std::move(e);
            done = true;
        });
        context.restart();
        while (!done) {
            if (context.run_one_for(milliseconds(1)) == 0)
                runtime_clock::advance(milliseconds(5));
        }
        if (failure)
            std::rethrow_exception(failure);
    }

    /// \brief Enters an upstream that \p handler plays into the host list.
    void addUpstream(const std::string &name, const std::string &service, request_handler handler)
    {
        upstreams.emplace_back(executor(), http_limits{}, std::move(handler));
        const std::uint16_t port = upstreams.back().listen({"127.0.0.1", 0});
        addHost(name, service, port);
    }
    void addHost(const std::string &name, const std::string &service, std::uint16_t port)
    {
        http_request request;
        request.method = "POST";
        request.target = "/hosts";
        request.body = fmt::format(R"({{"name":"{}","service":"{}","host":"127.0.0.1","port":{},)"
                                   R"("data_centre":"dc","leaving":false}})",
                                   name, service, port);
        auto body = [&]() -> awaitable<void> {
            const endpoint peer{"127.0.0.1", platformPort};
            co_await exchangeOnce(peer, request, runtime_clock::now() + seconds(5));
        };
        run(body());
    }

    /// \brief Starts daemons and waits until all of them serve with \p config.
    void start(int count = 1)
    {
        for (int i = 0; i < count; ++i)
            daemons.emplace_back(*this, fmt::format("entry-{}", i));
        auto body = [&]() -> awaitable<void> {
            const auto accepted = std::make_shared<const configuration>(config);
            const std::string author = "test";
            const auto stored = co_await daemons.front().state.storeConfig(accepted, author, 0);
            REQUIRE(stored);
            for (daemon &d : daemons) {
                while (!d.state.isReady() || !d.state.presetInForce()
                       || d.state.view().members.size() != daemons.size()
                       || d.state.replicas().size() != upstreams.size() + deadUpstreams)
                    co_await sleepFor(milliseconds(5));
            }
        };
        run(body());
    }

    http_response exchange(http_request request, daemon *at = nullptr)
    {
        const std::uint16_t port = at ? at->port : daemons.front().port;
        tl::expected<http_response, http_error> response;
        auto body = [&]() -> awaitable<void> {
            const endpoint peer{"127.0.0.1", port};
            response = co_await exchangeOnce(peer, request, runtime_clock::now() + seconds(200));
        };
        run(body());
        REQUIRE_MESSAGE(response, response.error().detail);
        return *response;
    }

    static http_request request(std::string method, std::string target, std::string body = {})
    {
        http_request r;
        r.method = std::move(method);
        r.target = std::move(target);
        r.headers.add("Authorization", "Bearer token");
        r.body = std::move(body);
        return r;
    }

    std::string createProgram(daemon *at = nullptr)
    {
        const http_response created
            = exchange(request("POST", "/v1/programs", R"({"class":"lesson"})"), at);
        REQUIRE(created.status == 201);
        return std::string(boost::json::parse(created.body).at("id").as_string());
    }

    static http_request inProgram(http_request r, const std::string &program, int turn,
                                  const std::string &key)
    {
        r.headers.add("Azurehill-Program", program);
        r.headers.add("Azurehill-Turn", std::to_string(turn));
        r.headers.add("Idempotency-Key", key);
        return r;
    }
    static http_request modelCall(const std::string &program, int turn, const std::string &key)
    {
        return inProgram(request("POST", "/v1/chat/completions",
                                 R"({"model":"story","stream":true,"max_tokens":64,)"
                                 R"("messages":[{"role":"user","content":"read"}]})"),
                         program, turn, key);
    }
    static http_request toolCall(const std::string &program, int turn, const std::string &key)
    {
        http_request r
            = inProgram(request("POST", "/v1/tools/proof/page", "{}"), program, turn, key);
        r.headers.add("Azurehill-Idempotent", "false");
        return r;
    }

    /// \returns \p r as it goes over the wire.
    static std::string wire(const http_request &r)
    {
        std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n",
                                       r.method, r.target, r.body.size());
        for (const auto &[name, value] : r.headers)
            text += fmt::format("{}: {}\r\n", name, value);
        return text + "\r\n" + r.body;
    }

    paused_clock clock;
    asio::io_context context;
    configuration config;
    http_server platform;
    std::uint16_t platformPort;
    std::list<http_server> upstreams;
    std::size_t deadUpstreams = 0;
    std::list<daemon> daemons;
};

/// \brief A model engine that a test leads by the hand.
class scripted_engine
{
public:
    int words = 40;
    /// Words after which it waits until \p open is set.
    int pauseAfter = -1;
    bool open = false;
    int calls = 0;
    /// Bytes that each event has besides its word.
    std::size_t padding = 0;
    /// Events sent in place of the words, if any.
    std::vector<std::string> events;
    /// Bodies of the calls, in the order in which they came.
    std::vector<std::string> prompts;

    request_handler handler()
    {
        return [this](const http_request &r, response_writer &w) { return answer(r, w); };
    }
    std::string content() const
    {
        std::string all;
        for (int i = 0; i < words; ++i)
            all += word(i);
        return all;
    }

private:
    static std::string word(int i) { return fmt::format("w{} ", i); }

    /// Daemons also ask engines what they hold; that is no call.
    awaitable<void> answer(const http_request &request, response_writer &writer)
    {
        const bool call = request.path() == "/v1/chat/completions";
        if (call)
            prompts.push_back(request.body);
        if (call)
            co_await serve(writer);
        else
            co_await writer.write(jsonResponse(404, "{}"));
    }
    awaitable<void> serve(response_writer &writer)
    {
        ++calls;
        header_list headers;
        headers.add("Content-Type", "text/event-stream");
        if (!co_await writer.begin(200, headers))
            co_return;
        for (const std::string &event : events)
            co_await writer.writeChunk(event);
        for (int i = 0; i < words && events.empty(); ++i) {
            while (i == pauseAfter && !open)
                co_await sleepFor(milliseconds(1));
            const std::string event = fmt::format(
                R"(data: {{"pad":"{}","choices":[{{"index":0,"delta":{{"content":"{}"}},"finish_reason":null}}]}})"
                "\n\n",
                std::string(padding, 'x'), word(i));
            if (!co_await writer.writeChunk(event))
                co_return;
        }
        const std::string last
            = R"(data: {"choices":[{"index":0,"delta":{},"finish_reason":"length"}]})"
              "\n\n"
              R"(data: {"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":40}})"
              "\n\ndata: [DONE]\n\n";
        if (events.empty())
            co_await writer.writeChunk(last);
        co_await writer.end();
    }
};

/// \returns the text of the model in the events of \p stream.
inline std::string contentOf(const std::string &stream)
{
    sse_reader reader;
    reader.feed(stream);
    std::string content;
    while (const auto data = reader.next()) {
        if (*data == "[DONE]")
            return content;
        const auto chunk = boost::json::parse(*data);
        for (const auto &choice : chunk.at("choices").as_array()) {
            if (const auto *c = choice.at("delta").as_object().if_contains("content"))
                content += c->as_string();
        }
    }
    return content + " (unfinished)";
}

/// \returns the whole events in \p response, a chunked response as far as it came.
inline std::string wholeEvents(const std::string &response)
{
    std::string body;
    std::size_t at = response.find("\r\n\r\n") + 4;
    while (at < response.size()) {
        const std::size_t size = std::stoul(response.substr(at), nullptr, 16);
        at = response.find("\r\n", at) + 2;
        body += response.substr(at, size);
        at += size + 2;
    }
    return body.substr(0, body.rfind("\n\n") + 2);
}

/// \returns the id of the last whole event in \p stream.
inline std::string lastId(const std::string &stream)
{
    const std::size_t end = stream.rfind("\n\n");
    const std::size_t begin = stream.rfind("id: ", end);
    return stream.substr(begin + 4, stream.find('\n', begin) - begin - 4);
}

} // namespace azurehill::test
