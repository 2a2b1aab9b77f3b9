#include "http/http.h"
#include "process/child.h"
#include "runtime/runtime.h"
#include "standin/replica_standin.h"
#include "standin/store_standin.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <sstream>
#include <thread>

namespace azurehill::process_test {

namespace {

constexpr std::chrono::milliseconds testTimeout(20'000);
/// Bound on the replicas that may end under one request.
constexpr int maxEnded = 3;
constexpr int replicas = 8;
constexpr std::uint16_t operatorPort = 7130;

constexpr const char *configuration = R"({"version":7,"routes":[
  {"name":"plain","hostname":"h.example","prefix":"/plain/","route_type":"idempotent",
   "timeout_ms":5000,"service":"s","max_attempts":2},
  {"name":"events","hostname":"h.example","prefix":"/events/","route_type":"streaming",
   "timeout_ms":5000,"service":"s","max_attempts":2},
  {"name":"resumed","hostname":"h.example","prefix":"/events/resumed/","route_type":"streaming",
   "timeout_ms":5000,"service":"s","max_attempts":2,"resumable":true}],
  "services":[{"name":"s","max_connections":10}],"limits":{}})";

/// \brief Test fixture: a store on a thread of its own, replicas and daemons as processes.
class crash_fixture
{
public:
    explicit crash_fixture(int hosts) : m_store(m_context.get_executor(), m_rows)
    {
        m_storePort = m_store.listen();
        write({"op", "", "config"}, configuration);
        for (int i = 0; i < replicas; ++i)
            startReplica(fmt::format("i-{}", i));
        m_thread = std::thread([this] { m_context.run(); });
        for (int i = 0; i < hosts; ++i)
            startHost(i);
        waitUntilServing(hosts);
    }
    ~crash_fixture()
    {
        m_context.stop();
        m_thread.join();
    }
    crash_fixture(const crash_fixture &) = delete;
    crash_fixture &operator=(const crash_fixture &) = delete;

    /// \brief Sends one client attempt to the host number \p host. \returns its answer; status 0 if
    /// there is none, or it broke off.
    http_response ask(std::size_t host, const std::string &target)
    {
        http_request request;
        request.target = target;
        request.headers.add("Host", "h.example");
        request.headers.add("X-Azurehill-Request-Id", fmt::format("r{}", ++m_attempts));
        return exchange(portOf(host, 0), std::move(request));
    }

    /// \brief Sends an operator's request to the host number \p host.
    static http_response operate(std::size_t host, const std::string &method,
                                 const std::string &target)
    {
        http_request request;
        request.method = method;
        request.target = target;
        return exchange({ipOf(host), operatorPort}, std::move(request));
    }

    /// \brief Sends client attempts of one request, whatever they are answered, to the hosts in
    /// turn. \returns the last answer.
    http_response askAgainAndAgain(const std::string &target)
    {
        constexpr int attempts = 12;
        http_response last;
        for (int i = 0; i < attempts; ++i) {
            last = ask(std::size_t(i) % m_hosts.size(), target);
            removeEndedReplicas();
        }
        return last;
    }

    /// \brief Removes the entries of the replicas that have ended.
    /// \returns the number of replicas that have ended so far.
    int removeEndedReplicas()
    {
        int ended = 0;
        for (child &replica : m_replicas) {
            if (!replica.exitStatus())
                continue;
            ++ended;
            asio::post(m_context, [this, id = replica.name()] {
                store_transaction t;
                t.removals.push_back({"servers", "", id});
                static_cast<void>(m_rows.apply(t));
            });
        }
        return ended;
    }

    /// \returns the lines of the event \p event that the hosts have logged.
    std::string logged(std::string_view event) const
    {
        const std::string field = fmt::format(R"("event":"{}")", event);
        std::string found;
        for (const child &host : m_hosts) {
            std::istringstream lines(host.log());
            for (std::string line; std::getline(lines, line);) {
                if (line.find(field) != std::string::npos)
                    found += "\n" + host.name() + " " + line;
            }
        }
        return found;
    }

private:
    static http_response exchange(endpoint peer, http_request request)
    {
        asio::io_context context;
        http_response answer;
        answer.status = 0;
        auto go = [&]() -> awaitable<void> {
            const time_point deadline = runtime_clock::now() + testTimeout;
            const auto result = co_await exchangeOnce(peer, request, deadline);
            if (result)
                answer = *result;
        };
        asio::co_spawn(context, go(), asio::detached);
        context.run();
        return answer;
    }

    void write(const row_name &name, const std::string &value)
    {
        store_transaction t;
        t.writes.push_back({name, value});
        static_cast<void>(m_rows.apply(t));
    }

    void startReplica(const std::string &id)
    {
        m_replicas.emplace_back(id, AZUREHILL_BINARIES "/azurehill-standin",
                                std::vector<std::string>{"--role", "replica", "--name", id},
                                m_folder.path());
        child &replica = m_replicas.back();
        REQUIRE(holdsWithin(testTimeout, [&] { return replica.address().has_value(); }));
        write({"servers", "", id},
              fmt::format(R"({{"service":"s","address":"{}","zone":"z","slots":4,)"
                          R"("state":"ready","seq_no":1,"born":1700000000000}})",
                          toText(*replica.address())));
    }

    static std::string ipOf(std::size_t host) { return fmt::format("127.0.0.{}", host + 2); }

    void startHost(int number)
    {
        const std::string name = fmt::format("host{}", number);
        const std::string ip = ipOf(std::size_t(number));
        const std::string path = m_folder.path() + "/" + name + ".toml";
        std::ofstream(path) << fmt::format(
            "node_name = '{0}'\nip = '{1}'\nzone = 'z'\nport_range = [7100, 7115]\n"
            "seeds = ['127.0.0.2:7120']\n"
            "[listen]\nfront = '{1}:0'\nready = '{1}:0'\ncontrol = '{1}:7120'\n"
            "directory = '{1}:0'\n[provider]\naddress = '127.0.0.1:{2}'\n",
            name, ip, m_storePort);
        setenv("AZUREHILL_SETTINGS", path.c_str(), 1);
        m_hosts.emplace_back(
            name, AZUREHILL_BINARIES "/azurehill-entry",
            std::vector<std::string>{"--metrics-port", std::to_string(operatorPort)},
            m_folder.path());
        unsetenv("AZUREHILL_SETTINGS");
    }

    /// \returns the address at which the host listens for clients (0) or readiness checks (1).
    endpoint portOf(std::size_t host, std::size_t which) const
    {
        std::array<std::uint16_t, 2> ports{};
        std::ifstream file(m_folder.path() + "/" + m_hosts[host].name() + ".port");
        for (std::uint16_t &port : ports)
            file >> port;
        return {ipOf(host), ports.at(which)};
    }

    void waitUntilServing(int hosts)
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            REQUIRE(holdsWithin(testTimeout, [&] {
                http_request request;
                request.target = "/azurehill/ready";
                const endpoint address = portOf(i, 1);
                return address.port != 0 && exchange(address, request).status == 200;
            }));
        }
        const std::string all = fmt::format(R"("alive":{})", hosts);
        const auto knowsAll = [&](const child &host) {
            return hosts == 1 || host.log().find(all) != std::string::npos;
        };
        REQUIRE(holdsWithin(testTimeout,
                            [&] { return std::all_of(m_hosts.begin(), m_hosts.end(), knowsAll); }));
    }

    asio::io_context m_context;
    row_store m_rows;
    store_standin m_store;
    std::uint16_t m_storePort = 0;
    scratch_folder m_folder;
    std::deque<child> m_replicas;
    std::deque<child> m_hosts;
    std::thread m_thread;
    int m_attempts = 0;
};

} // namespace

TEST_SUITE("requests that end their replicas")
{
    // Guards against a request that ends one replica after the other: its client's attempts each
    // counted for themselves, on each host.
    TEST_CASE("a request that ends its replicas is not sent once three have ended")
    {
        for (const int hosts : {1, 3}) {
            for (const char *target :
                 {"/plain/x?end=before_head", "/plain/x?end=inside_body",
                  "/events/x?end=between_events", "/events/resumed/x?end=inside_body"}) {
                const std::string where = fmt::format("{} at {} hosts", target, hosts);
                CAPTURE(where);
                crash_fixture fixture(hosts);
                const http_response last = fixture.askAgainAndAgain(target);
                INFO(fixture.logged("send_ended"));
                INFO(fixture.logged("send_lost"));
                INFO(fixture.logged("request_quarantined"));
                CHECK(fixture.removeEndedReplicas() <= maxEnded);
                CHECK(last.status == 503);
                // Another request of the same route is served.
                CHECK(fixture.ask(0, "/plain/other").body == "whole");
            }
        }
    }

    // Guards against a stream that is resumed at one replica after the other, which all end.
    TEST_CASE("one client attempt of a request that ends its replicas ends three at most")
    {
        for (const char *target : {"/plain/x?end=before_head", "/events/resumed/x?end=before_head",
                                   "/events/resumed/x?end=between_events"}) {
            CAPTURE(std::string(target));
            crash_fixture fixture(1);
            CHECK(fixture.ask(0, target).status != 200);
            CHECK(fixture.removeEndedReplicas() <= maxEnded);
        }
    }

    // Guards against a request that stays refused once its cause is mended.
    TEST_CASE("an operator sees which requests are quarantined, and lifts that on all hosts")
    {
        crash_fixture fixture(3);
        fixture.askAgainAndAgain("/plain/x?end=before_head");
        const std::string listed = fixture.operate(1, "GET", "/quarantine").body;
        const std::string_view key = R"("fingerprint":")";
        const std::size_t at = listed.find(key);
        REQUIRE(at != std::string::npos);
        constexpr std::size_t digits = 32;
        const std::string path = "/quarantine/" + listed.substr(at + key.size(), digits);
        CHECK(fixture.operate(2, "DELETE", path).status == 200);
        CHECK(fixture.operate(0, "GET", "/quarantine").body == "[]");
        CHECK(fixture.operate(0, "DELETE", "/quarantine/short").status == 400);
    }

    // Guards against a request that is refused because of replicas that ended after their answer.
    TEST_CASE("a replica that ends after its answer did not end under the request")
    {
        crash_fixture fixture(1);
        constexpr int calls = 5;
        int whole = 0;
        for (int i = 0; i < calls; ++i) {
            whole += fixture.ask(0, "/plain/x?end=after_answer").body == "whole" ? 1 : 0;
            fixture.removeEndedReplicas();
        }
        CHECK(whole == calls);
        CHECK(holdsWithin(testTimeout, [&] { return fixture.removeEndedReplicas() == calls; }));
    }
}

} // namespace azurehill::process_test
