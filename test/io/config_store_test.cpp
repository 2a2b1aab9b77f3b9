#include "daemon/control.h"
#include "daemon/door.h"
#include "standin/platform_standin.h"

#include <doctest/doctest.h>

using namespace azurehill;

namespace {

constexpr auto responseTimeout = std::chrono::seconds(20);

/// \brief Fault injected into the next transaction that changes the configuration. An outage lasts
/// and affects all requests.
enum class write_fault { None, AnswerLost, RequestLost, Outage };

std::shared_ptr<const configuration> configWith(preset_name active)
{
    configuration c;
    for (std::size_t i = 0; i < enum_names<preset_name>::names.size(); ++i)
        c.presets[static_cast<preset_name>(i)];
    c.activePreset = active;
    c.tenants["school"].tokenSha256 = std::string(64, 'a');
    c.classes["lesson"];
    return std::make_shared<const configuration>(c);
}

struct platform_server
{
    explicit platform_server(asio::io_context &context)
        : handler(standin::makePlatform({})),
          server(context.get_executor(), {},
                 [this](const http_request &r, response_writer &w) { return serve(r, w); })
    {
        port = server.listen({"127.0.0.1", 0});
    }

    awaitable<void> serve(const http_request &request, response_writer &writer)
    {
        const bool isChange = request.path() == "/table/transact"
            && request.body.find("config/") != std::string::npos;
        const write_fault now
            = isChange || fault == write_fault::Outage ? fault : write_fault::None;
        if (now != write_fault::None && now != write_fault::Outage)
            fault = write_fault::None;
        if (now == write_fault::AnswerLost) {
            null_response_writer discarded;
            co_await handler(request, discarded);
        }
        if (now == write_fault::None)
            co_await handler(request, writer);
        else
            co_await writer.write(jsonResponse(now == write_fault::Outage ? 503 : 500, "{}"));
    }

    struct null_response_writer : response_writer
    {
        awaitable<bool> write(http_response) override { co_return true; }
        awaitable<bool> begin(int, header_list) override { co_return true; }
        awaitable<bool> writeChunk(std::string_view) override { co_return true; }
        bool finished() const override { return true; }
        awaitable<bool> end() override { co_return true; }
    };

    request_handler handler;
    write_fault fault = write_fault::None;
    http_server server;
    std::uint16_t port = 0;
};

/// \brief A daemon's control object, with its internal HTTP listener.
struct daemon_parts
{
    daemon_parts(asio::io_context &context, const std::string &name, std::uint16_t platformPort,
                 std::vector<endpoint> peers = {})
        : values(makeSettings(name, platformPort, std::move(peers))),
          state(context, values, member{{name}, "1", "", "", {"riohacha"}, false},
                [](running_call) {}),
          api(state, context.get_executor(), values),
          inner(context.get_executor(), {},
                [this](const http_request &r, response_writer &w) { return api.serveInner(r, w); })
    {
        innerPort = inner.listen({"127.0.0.1", 0});
    }

    static settings makeSettings(const std::string &name, std::uint16_t platformPort,
                                 std::vector<endpoint> peers)
    {
        settings s;
        s.name = name;
        s.platform = {"127.0.0.1", platformPort};
        s.peers = std::move(peers);
        s.innerToken = "secret";
        // Longer than any clock step in these tests, so that only the preset becomes unavailable.
        s.lease = {seconds(60), seconds(20), seconds(6)};
        return s;
    }

    settings values;
    control state;
    door api;
    http_server inner;
    std::uint16_t innerPort = 0;
};

/// \brief Pauses the runtime clock during its lifetime.
struct paused_clock
{
    paused_clock() { runtime_clock::pause(); }
    ~paused_clock() { runtime_clock::resume(); }
    paused_clock(const paused_clock &) = delete;
    paused_clock &operator=(const paused_clock &) = delete;
};

using stored_result = tl::expected<config_version, config_write_error>;

awaitable<void> store(control &c, preset_name active, std::string author, config_number expected,
                      std::optional<stored_result> &result)
{
    result = co_await c.storeConfig(configWith(active), std::move(author), expected);
}

/// \brief Runs \p context until \p done returns true or the time limit is reached.
/// \returns whether \p done returned true.
template <class Function>
bool runUntil(asio::io_context &context, Function done)
{
    const auto limit = std::chrono::steady_clock::now() + responseTimeout;
    while (!done() && std::chrono::steady_clock::now() < limit)
        context.run_one_for(std::chrono::milliseconds(100));
    return done();
}

struct fixture
{
    asio::io_context context{1};
    platform_server platform{context};
    daemon_parts a{context, "a", platform.port};
    daemon_parts b{context, "b", platform.port};

    stored_result storeAt(daemon_parts &d, preset_name active, config_number expected)
    {
        std::optional<stored_result> result;
        spawn(context.get_executor(), "store",
              store(d.state, active, d.values.name, expected, result));
        REQUIRE(runUntil(context, [&] { return result.has_value(); }));
        return *result;
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "A change of the configuration is stored once")
{
    REQUIRE(storeAt(a, preset_name::Ordinary, 0));

    SUBCASE("the next one names the version before")
    {
        const auto second = storeAt(b, preset_name::Peak, 1);
        REQUIRE(second);
        CHECK(second->number == 2);
        CHECK(second->activateMs > second->acceptedMs);
    }
    SUBCASE("of two operators at once one wins, and the other hears of the winner")
    {
        std::optional<stored_result> first;
        std::optional<stored_result> second;
        spawn(context.get_executor(), "store", store(a.state, preset_name::Peak, "ana", 1, first));
        spawn(context.get_executor(), "store",
              store(b.state, preset_name::Maintenance, "ben", 1, second));
        REQUIRE(runUntil(context, [&] { return first && second; }));
        REQUIRE(first->has_value() != second->has_value());
        const stored_result &won = first->has_value() ? *first : *second;
        const stored_result &lost = first->has_value() ? *second : *first;
        CHECK(lost.error().kind == config_write_failure::Conflict);
        REQUIRE(lost.error().there);
        CHECK(lost.error().there->id == won->id);
    }
    SUBCASE("a write whose answer is lost after it took effect")
    {
        // The platform stored the change before its response was lost, so the retry gets a
        // conflict. The id in the stored row shows that it is the same write, which is a success.
        platform.fault = write_fault::AnswerLost;
        const auto second = storeAt(a, preset_name::Peak, 1);
        REQUIRE(second);
        CHECK(second->number == 2);
        CHECK(storeAt(b, preset_name::Ordinary, 2));
    }
    SUBCASE("a write that was lost before it took effect is sent again")
    {
        platform.fault = write_fault::RequestLost;
        const auto second = storeAt(a, preset_name::Peak, 1);
        REQUIRE(second);
        CHECK(second->number == 2);
    }
    SUBCASE("in an outage it is refused at once")
    {
        platform.fault = write_fault::Outage;
        const auto refused = storeAt(a, preset_name::Peak, 1);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().kind == config_write_failure::Unavailable);
    }
}

TEST_CASE_FIXTURE(fixture, "Changes that wait for their activation are bounded")
{
    const paused_clock paused;
    config_number n = 0;
    stored_result last = storeAt(a, preset_name::Ordinary, n);
    while (last && n < 100)
        last = storeAt(a, preset_name::Ordinary, ++n);
    REQUIRE_FALSE(last);
    CHECK(last.error().kind == config_write_failure::TooManyWaiting);
    runtime_clock::advance(seconds(5));
    CHECK(storeAt(a, preset_name::Ordinary, n));
}

TEST_CASE_FIXTURE(fixture, "The history holds the last 50 versions")
{
    const paused_clock paused;
    for (config_number n = 0; n < 53; ++n) {
        REQUIRE(storeAt(a, preset_name::Ordinary, n));
        runtime_clock::advance(seconds(5));
    }
    std::optional<platform_client::result<std::vector<config_version>>> history;
    const auto read = [&]() -> awaitable<void> { history = co_await a.state.configHistory(); };
    spawn(context.get_executor(), "read", read());
    REQUIRE(runUntil(context, [&] { return history.has_value(); }));
    REQUIRE(history->has_value());
    CHECK((*history)->size() == 50);
    CHECK((*history)->front().number == 4);
    CHECK((*history)->back().number == 53);
}

TEST_CASE_FIXTURE(fixture, "A daemon that starts in an outage takes the configuration from a peer")
{
    // Guards against a daemon that is restarted while the platform is down, knows no tenants, and
    // rejects every caller until the platform is back.
    REQUIRE(storeAt(a, preset_name::Peak, 0));
    platform.fault = write_fault::Outage;
    daemon_parts late(context, "late", platform.port, {{"127.0.0.1", a.innerPort}});
    late.state.start();
    REQUIRE(runUntil(context, [&] { return late.state.config() != nullptr; }));
    CHECK(late.state.configVersion() == 1);
    CHECK(late.state.config()->activePreset == preset_name::Peak);
    SUBCASE("and once nobody can confirm it, refuses what a preset decides")
    {
        const paused_clock paused;
        runtime_clock::advance(seconds(3));
        const auto decided = late.state.presetInForce();
        REQUIRE_FALSE(decided);
        CHECK(decided.error() == preset_unavailable_reason::Unconfirmed);
    }
}

TEST_CASE_FIXTURE(fixture, "A daemon that can't confirm the preset refuses new programs")
{
    // Guards against admission by an outdated preset: a daemon loses the platform while its lease
    // is valid, and operators switch to maintenance, which admits fewer programs.
    REQUIRE(storeAt(a, preset_name::Ordinary, 0));
    daemon_parts cut(context, "cut", platform.port);
    cut.state.start();
    REQUIRE(runUntil(context, [&] { return cut.state.isReady() && cut.state.presetInForce(); }));
    create_request wanted;
    wanted.tenant.value = "school";
    wanted.programClass = "lesson";
    using created_result = tl::expected<program_id, refusal>;
    const auto create = [&] {
        std::optional<created_result> result;
        const auto ask
            = [&]() -> awaitable<void> { result = co_await cut.state.createProgram(wanted); };
        spawn(context.get_executor(), "create", ask());
        REQUIRE(runUntil(context, [&] { return result.has_value(); }));
        return *result;
    };
    CHECK(create());
    const paused_clock paused;
    platform.fault = write_fault::Outage;
    runtime_clock::advance(seconds(3));
    CHECK(cut.state.isReady());
    const created_result refused = create();
    REQUIRE_FALSE(refused);
    CHECK(refused.error().detail.find("unconfirmed") != std::string::npos);
    CHECK(refused.error().retryAfter);
}

TEST_CASE_FIXTURE(fixture, "The configuration is told to daemons only")
{
    REQUIRE(storeAt(a, preset_name::Ordinary, 0));
    const auto ask = [&](std::string secret) {
        http_request request;
        request.target = "/inner/config";
        request.headers.add("Azurehill-Inner-Token", secret);
        std::optional<int> status;
        const endpoint peer{"127.0.0.1", a.innerPort};
        const auto exchange = [&]() -> awaitable<void> {
            const auto response
                = co_await exchangeOnce(peer, request, runtime_clock::now() + seconds(5));
            status = response ? response->status : 0;
        };
        spawn(context.get_executor(), "ask", exchange());
        runUntil(context, [&] { return status.has_value(); });
        return status.value_or(0);
    };
    CHECK(ask("secret") == 200);
    CHECK(ask("guess") == 401);
}
