// Measures a streaming call through a daemon against the same call made directly to the stand-in
// engine. The platform, the engines and the daemon are processes of their own; all callers run in
// this process on one thread. Arguments: numbers of callers, 1 16 256 if there are none.

#include "child_process.h"
#include "config/config_text.h"
#include "daemon/auth.h"
#include "http/http.h"
#include "runtime/runtime.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <optional>

namespace azurehill::bench {

namespace {

namespace json = boost::json;

constexpr int engineCount = 3;
constexpr int tokensPerCall = 32;
constexpr int turnsPerProgram = 8;
constexpr const char *tokenMicroseconds = "5000";
constexpr duration warmUp = seconds(1);
constexpr duration measured = seconds(4);
constexpr int idleConnections = 1000;
constexpr int idlePrograms = 2000;

/// \brief What one call measured.
struct sample
{
    duration firstToken;
    duration whole;
};

struct totals
{
    std::vector<sample> samples;
    std::int64_t tokens = 0;
    std::int64_t bytes = 0;
    int failed = 0;
};

/// \brief The processes of the bench.
struct system_under_test
{
    std::unique_ptr<child_process> platform;
    std::vector<std::unique_ptr<child_process>> engines;
    std::unique_ptr<child_process> daemon;

    endpoint entry() const { return {"127.0.0.1", daemon->port()}; }
    endpoint engine(int i) const
    {
        return {"127.0.0.1", engines[static_cast<std::size_t>(i) % engines.size()]->port()};
    }
};

system_under_test startAll(const std::filesystem::path &binaries, const std::string &folder)
{
    const std::string standin = binaries / "azurehill-standin";
    system_under_test s;
    const std::vector<std::string> platform = {"--role", "platform"};
    s.platform = std::make_unique<child_process>(standin, platform, folder + "/platform");
    const std::string address = fmt::format("127.0.0.1:{}", s.platform->port());
    for (int i = 0; i < engineCount; ++i) {
        const std::string name = fmt::format("story-{}", i);
        const std::vector<std::string> arguments = {
            "--role",    "engine",      "--platform",    address, "--name",     name,
            "--service", "story-model", "--data-centre", "dc",    "--token-us", tokenMicroseconds};
        s.engines.push_back(std::make_unique<child_process>(standin, arguments,
                                                            fmt::format("{}/{}", folder, name)));
    }
    const std::vector<std::string> daemon = {"--name",
                                             "entry",
                                             "--data-centre",
                                             "dc",
                                             "--platform",
                                             address,
                                             "--inner-token",
                                             "inner",
                                             "--operator-token-sha256",
                                             sha256Hex("operator")};
    s.daemon = std::make_unique<child_process>(binaries / "azurehilld", daemon, folder + "/daemon");
    return s;
}

configuration benchConfiguration()
{
    configuration c;
    c.tenants["bench"].tokenSha256 = sha256Hex("token");
    c.tenants["bench"].maxPrograms = 100'000;
    c.classes["lesson"] = {};
    c.services["story-model"].models = {"story"};
    for (const preset_name p :
         {preset_name::Ordinary, preset_name::Peak, preset_name::Maintenance}) {
        c.presets[p] = {};
        c.presets[p].maxPrograms = 100'000;
        c.presets[p].tokensInFlightPerReplica = 100'000'000;
    }
    return c;
}

http_request tenantRequest(std::string method, std::string target, std::string body)
{
    http_request r;
    r.method = std::move(method);
    r.target = std::move(target);
    r.headers.add("Authorization", "Bearer token");
    r.body = std::move(body);
    return r;
}

awaitable<tl::expected<http_response, http_error>> ask(endpoint peer, http_request request)
{
    return exchangeOnce(std::move(peer), std::move(request), runtime_clock::now() + seconds(20));
}

/// \brief Gives the daemon its configuration and waits until it has a program to serve.
awaitable<bool> prepare(endpoint daemon)
{
    http_request apply;
    apply.method = "PUT";
    apply.target = "/operator/config";
    apply.headers.add("Authorization", "Bearer operator");
    apply.headers.add("If-Match", "0");
    apply.body = toText(benchConfiguration());
    bool stored = false;
    for (int i = 0; i < 400; ++i) {
        if (!stored) {
            const auto response = co_await ask(daemon, apply);
            stored = response && response->status == 200;
        }
        const http_request create = tenantRequest("POST", "/v1/programs", R"({"class":"lesson"})");
        const auto created = co_await ask(daemon, create);
        if (created && created->status == 201)
            co_return true;
        co_await sleepFor(milliseconds(20));
    }
    co_return false;
}

/// \brief A caller that makes one call after the other until it is told to stop.
class caller
{
public:
    caller(const system_under_test &s, int number, bool direct, totals &into)
        : m_system(s), m_number(number), m_direct(direct), m_into(into)
    { }

    awaitable<void> run(time_point from, time_point until)
    {
        for (int turn = 1; runtime_clock::now() < until; ++turn) {
            if (turn > turnsPerProgram)
                turn = 1;
            if (turn == 1)
                co_await begin();
            const time_point start = runtime_clock::now();
            const auto done = co_await call(turn);
            if (start < from || runtime_clock::now() > until)
                continue;
            if (done)
                m_into.samples.push_back(*done);
            else
                ++m_into.failed;
        }
        m_connection.reset();
    }

private:
    awaitable<void> begin()
    {
        m_messages.clear();
        if (m_direct)
            co_return;
        const http_request create = tenantRequest("POST", "/v1/programs", R"({"class":"lesson"})");
        const auto created = co_await ask(m_system.entry(), create);
        m_program.clear();
        if (created && created->status == 201)
            m_program = std::string(json::parse(created->body).at("id").as_string());
    }

    http_request makeRequest(int turn)
    {
        const std::string message = fmt::format(
            R"({{"role":"user","content":"Caller {}, turn {}: read the next page to me."}})",
            m_number, turn);
        m_messages += (m_messages.empty() ? "" : ",") + message;
        const std::string &sent = m_direct ? m_messages : message;
        http_request r = tenantRequest(
            "POST", "/v1/chat/completions",
            fmt::format(R"({{"model":"story","stream":true,"max_tokens":{},"messages":[{}]}})",
                        tokensPerCall, sent));
        if (!m_direct) {
            r.headers.add("Azurehill-Program", m_program);
            r.headers.add("Azurehill-Turn", std::to_string(turn));
            r.headers.add("Idempotency-Key", fmt::format("k{}", turn));
        }
        return r;
    }

    awaitable<std::optional<sample>> call(int turn)
    {
        const http_request request = makeRequest(turn);
        const time_point start = runtime_clock::now();
        const time_point deadline = start + seconds(30);
        if (!m_connection || !m_connection->isReusable()) {
            m_connection.emplace(co_await asio::this_coro::executor);
            const endpoint peer = m_direct ? m_system.engine(m_number) : m_system.entry();
            if (!co_await m_connection->connect(peer, deadline))
                co_return std::nullopt;
        }
        const auto head = co_await m_connection->sendAndReadHead(request, deadline);
        if (!head || head->status != 200)
            co_return std::nullopt;
        sample result{};
        std::string all;
        while (true) {
            const auto piece = co_await m_connection->readSome(deadline);
            if (!piece)
                co_return std::nullopt;
            if (piece->empty())
                break;
            if (all.empty())
                result.firstToken = runtime_clock::now() - start;
            all += *piece;
        }
        result.whole = runtime_clock::now() - start;
        keepAnswer(all);
        if (all.find("[DONE]") == std::string::npos)
            co_return std::nullopt;
        co_return result;
    }

    /// \brief Counts the words of an answer, and adds them to the history of a direct caller.
    void keepAnswer(const std::string &events)
    {
        constexpr std::string_view mark = "\"content\":\"";
        std::string content;
        for (std::size_t at = events.find(mark); at != std::string::npos;
             at = events.find(mark, at + 1)) {
            const std::size_t begin = at + mark.size();
            content += events.substr(begin, events.find('"', begin) - begin);
            ++m_into.tokens;
        }
        m_into.bytes += static_cast<std::int64_t>(events.size());
        m_messages += fmt::format(R"(,{{"role":"assistant","content":"{}"}})", content);
    }

    const system_under_test &m_system;
    int m_number;
    bool m_direct;
    totals &m_into;
    std::optional<http_connection> m_connection;
    std::string m_program;
    std::string m_messages;
};

double milli(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[at];
}

void runLevel(const system_under_test &s, int callers, bool direct)
{
    asio::io_context context(1);
    totals all;
    std::vector<std::unique_ptr<caller>> list;
    const time_point from = runtime_clock::now() + warmUp;
    const time_point until = from + measured;
    for (int i = 0; i < callers; ++i) {
        list.push_back(std::make_unique<caller>(s, i, direct, all));
        spawn(context.get_executor(), "caller", list.back()->run(from, until));
    }
    const double before = s.daemon->cpuSeconds();
    context.run();
    const double cpu = s.daemon->cpuSeconds() - before;

    std::vector<double> first;
    std::vector<double> whole;
    for (const sample &one : all.samples) {
        first.push_back(milli(one.firstToken));
        whole.push_back(milli(one.whole));
    }
    const auto tokens = static_cast<double>(std::max<std::int64_t>(all.tokens, 1));
    fmt::print("| {} | {} | {:.1f} / {:.1f} / {:.1f} | {:.1f} / {:.1f} / {:.1f} | {:.0f} | {} | "
               "{:.0f} | {} |\n",
               callers, direct ? "direct" : "daemon", percentile(first, 0.5),
               percentile(first, 0.95), percentile(first, 0.99), percentile(whole, 0.5),
               percentile(whole, 0.95), percentile(whole, 0.99),
               static_cast<double>(whole.size()) / std::chrono::duration<double>(measured).count(),
               all.failed, static_cast<double>(all.bytes) / tokens,
               direct ? "" : fmt::format("{:.1f}", cpu * 1e6 / tokens));
    std::fflush(stdout);
}

awaitable<void> openIdle(endpoint peer, std::vector<http_connection> &into)
{
    for (int i = 0; i < idleConnections; ++i) {
        http_connection connection(co_await asio::this_coro::executor);
        const auto until = runtime_clock::now() + seconds(5);
        if (!co_await connection.connect(peer, until))
            co_return;
        http_request request;
        request.target = "/healthz";
        co_await connection.exchange(request, until);
        into.push_back(std::move(connection));
    }
}

awaitable<void> createSome(endpoint peer, int count)
{
    const http_request create = tenantRequest("POST", "/v1/programs", R"({"class":"lesson"})");
    for (int i = 0; i < count; ++i)
        co_await ask(peer, create);
}

void measureMemory(const system_under_test &s)
{
    asio::io_context context(1);
    constexpr int creators = 16;
    const double atFirst = s.daemon->residentBytes();
    for (int i = 0; i < creators; ++i)
        spawn(context.get_executor(), "create", createSome(s.entry(), idlePrograms / creators));
    context.run();
    const double withPrograms = s.daemon->residentBytes();
    fmt::print("programs without a turn: {}, {:.0f} bytes each\n", idlePrograms,
               (withPrograms - atFirst) / idlePrograms);
    std::vector<http_connection> idle;
    context.restart();
    auto open = [&]() -> awaitable<void> {
        co_await openIdle(s.entry(), idle);
        context.stop(); // the timers of idle connections would keep it running
    };
    spawn(context.get_executor(), "openIdle", open());
    context.run();
    fmt::print("idle connections: {}, {:.0f} bytes each\n", idle.size(),
               (s.daemon->residentBytes() - withPrograms)
                   / static_cast<double>(std::max<std::size_t>(idle.size(), 1)));
}

int run(const std::filesystem::path &binaries, const std::vector<int> &levels)
{
    std::string folder = std::filesystem::temp_directory_path() / "bench_stream.XXXXXX";
    if (!mkdtemp(folder.data()))
        return 1;
    int status = 1;
    {
        const system_under_test s = startAll(binaries, folder);
        asio::io_context context(1);
        bool ready = false;
        auto wait = [&]() -> awaitable<void> { ready = co_await prepare(s.entry()); };
        spawn(context.get_executor(), "prepare", wait());
        context.run();
        if (ready) {
            measureMemory(s);
            fmt::print(
                "\n| callers | path | first token ms p50/p95/p99 | whole call ms p50/p95/p99 "
                "| calls/s | failed | bytes/token | daemon CPU us/token |\n"
                "|---|---|---|---|---|---|---|---|\n");
            for (const int callers : levels) {
                runLevel(s, callers, true);
                runLevel(s, callers, false);
            }
            status = 0;
        }
    }
    std::filesystem::remove_all(folder);
    return status;
}

} // namespace

} // namespace azurehill::bench

int main(int argc, char **argv)
{
    std::vector<int> levels;
    for (int i = 1; i < argc; ++i)
        levels.push_back(std::max(std::atoi(argv[i]), 1));
    if (levels.empty())
        levels = {1, 16, 256};
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return azurehill::bench::run(self.parent_path().parent_path(), levels);
}
