#include "process/platform_fixture.h"

#include "runtime/runtime.h"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>

namespace azurehill::process_test {

namespace {

constexpr std::chrono::milliseconds requestTimeout(20'000);
/// Size of the answer to a path that begins with "/a/large".
constexpr std::size_t largeAnswerBytes = 250'000;

constexpr const char *configuration = R"({"version":7,"routes":[
  {"name":"r","hostname":"h.example","prefix":"/a/","route_type":"idempotent","timeout_ms":20000,
   "service":"tools","max_attempts":2},
  {"name":"t","hostname":"h.example","prefix":"/t/","route_type":"streaming","timeout_ms":20000,
   "service":"tools","max_attempts":1,"retention_s":60},
  {"name":"fp","hostname":"h.example","prefix":"/f/plain/","route_type":"idempotent",
   "timeout_ms":60000,"service":"faulty","max_attempts":1},
  {"name":"fs","hostname":"h.example","prefix":"/f/stream/","route_type":"streaming",
   "timeout_ms":60000,"service":"faulty","max_attempts":1,"gap_aim_ms":30000},
  {"name":"fr","hostname":"h.example","prefix":"/f/resumable/","route_type":"streaming",
   "timeout_ms":60000,"service":"faulty","max_attempts":1,"resumable":true,"gap_aim_ms":30000},
  {"name":"fk","hostname":"h.example","prefix":"/f/kept/","route_type":"streaming",
   "timeout_ms":60000,"service":"faulty","max_attempts":1,"retention_s":60,"retain_context":true,
   "gap_aim_ms":30000}],
  "services":[{"name":"tools","max_connections":10},{"name":"faulty","max_connections":2000}],
  "limits":{}})";

/// \returns limits above those of the daemon, which adds fields of its own.
http_limits replicaLimits()
{
    http_limits limits;
    limits.maxHeaderBytes = 64U << 10U;
    limits.maxTotalBodyBytes = 1LL << 30U;
    return limits;
}

} // namespace

platform_fixture::platform_fixture(const entry_settings &settings)
    : m_store(m_context.get_executor(), m_rows),
      m_replica(m_context.get_executor(), replicaLimits(),
                [this](const http_request &r, response_writer &w) { return answerRequest(r, w); })
{
    const std::uint16_t port = m_replica.listen({"127.0.0.1", 0});
    m_address = fmt::format("127.0.0.1:{}", port);
    m_store.nextTrouble = [this](std::string_view) {
        return isStoreSilent ? store_trouble::Silent : store_trouble::None;
    };
    writeRow({"op", "", "config"}, configuration);
    writeReplica("ready", bornFirst, 1);
    writeSettings(settings);
    m_thread = std::thread([this] { m_context.run(); });
}

platform_fixture::~platform_fixture()
{
    m_context.stop();
    m_thread.join();
}

void platform_fixture::writeSettings(const entry_settings &settings)
{
    if (m_storePort == 0)
        m_storePort = m_store.listen();
    std::ofstream file(settingsPath());
    file << fmt::format("node_name = 'e'\nip = '127.0.0.1'\nzone = 'z'\nport_range = [0, 0]\n"
                        "[listen]\nfront = '127.0.0.1:0'\nready = '127.0.0.1:0'\n"
                        "control = '127.0.0.1:0'\ndirectory = '127.0.0.1:0'\n"
                        "[limits]\nmemory_mb = {}\nmax_fds = {}\n"
                        "[bounds]\ngrace_s = {}\n[provider]\naddress = '127.0.0.1:{}'\n"
                        "writes_per_s = 20000\n",
                        settings.memoryMegabytes, settings.fileDescriptors, settings.graceSeconds,
                        m_storePort);
}

child platform_fixture::startEntry(std::vector<std::string> arguments) const
{
    setenv("AZUREHILL_SETTINGS", settingsPath().c_str(), 1);
    child entry("entry", AZUREHILL_BINARIES "/azurehill-entry", std::move(arguments),
                folder.path());
    unsetenv("AZUREHILL_SETTINGS");
    return entry;
}

void platform_fixture::writeReplica(const std::string &state, std::int64_t born, int sequence)
{
    writeRow({"servers", "", "i-1"},
             fmt::format(R"({{"service":"tools","address":"{}","zone":"z","slots":4,)"
                         R"("state":"{}","seq_no":{},"born":{}}})",
                         m_address, state, sequence, born));
}

void platform_fixture::writeFaultyReplica(std::uint16_t port)
{
    writeRow({"servers", "", "i-faulty"},
             fmt::format(R"({{"service":"faulty","address":"127.0.0.1:{}","zone":"z",)"
                         R"("slots":2000,"state":"ready","seq_no":1,"born":{}}})",
                         port, bornFirst));
}

void platform_fixture::writeRow(const row_name &name, const std::string &value)
{
    store_transaction t;
    t.writes.push_back({name, value});
    if (!m_thread.joinable()) {
        static_cast<void>(m_rows.apply(t));
        return;
    }
    asio::post(m_context, [this, t] { static_cast<void>(m_rows.apply(t)); });
}

std::array<std::uint16_t, 4> platform_fixture::ports() const
{
    std::array<std::uint16_t, 4> all{};
    std::ifstream file(folder.path() + "/entry.port");
    for (std::uint16_t &port : all)
        file >> port;
    return all;
}

awaitable<void> platform_fixture::answerRequest(const http_request &request,
                                                response_writer &writer)
{
    ++arrived;
    while (!mayAnswer)
        co_await sleepFor(milliseconds(10));
    http_response response;
    response.headers.add("X-Azurehill-Request-Id", request.headers.get("X-Azurehill-Request-Id"));
    response.headers.add("X-Azurehill-Server-Stamp", "s");
    const bool isStream = request.path().starts_with("/t/");
    if (isStream)
        response.headers.add("Content-Type", "text/event-stream");
    const bool isLarge = request.path().starts_with("/a/large");
    response.body = isStream ? "id: 1\ndata: e\n\n" : "whole";
    if (isLarge)
        response.body = std::string(largeAnswerBytes, 'x');
    co_await writer.write(std::move(response));
}

http_response exchangeWith(std::uint16_t port, http_request request)
{
    asio::io_context context;
    http_response answer;
    answer.status = 0;
    auto go = [&]() -> awaitable<void> {
        endpoint peer{"127.0.0.1", port};
        const auto result = co_await exchangeOnce(std::move(peer), std::move(request),
                                                  runtime_clock::now() + requestTimeout);
        if (result)
            answer = *result;
    };
    asio::co_spawn(context, go(), asio::detached);
    context.run();
    return answer;
}

http_response get(std::uint16_t port, const std::string &target)
{
    http_request request;
    request.target = target;
    request.headers.add("Host", "h.example");
    request.headers.add("X-Azurehill-Request-Id", "r1");
    return exchangeWith(port, std::move(request));
}

bool isReady(const platform_fixture &fixture)
{
    const std::uint16_t port = fixture.ports()[1];
    return port != 0 && get(port, "/azurehill/ready").status == 200;
}

} // namespace azurehill::process_test
