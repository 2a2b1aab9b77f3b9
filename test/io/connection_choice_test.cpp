#include <doctest/doctest.h>

// entry_fixture.h uses doctest's macros.
#include "entry_fixture.h"

namespace azurehill::test {

namespace {

constexpr std::string_view refusal = "HTTP/1.1 503 Busy\r\nX-Azurehill-Request-Id: ID\r\n"
                                     "X-Azurehill-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

class two_replicas : public entry_fixture
{
public:
    /// \returns whether a request to \p path succeeds.
    bool succeeds(const std::string &path)
    {
        const std::string id = "r" + std::to_string(++m_requests);
        return ask(fmt::format("POST {} HTTP/1.1\r\nX-Azurehill-Request-Id: {}", path, id))
            .starts_with("HTTP/1.1 200");
    }
    /// \returns the replica that the first request has reached.
    scripted_replica &first() { return a.arrived.empty() ? b : a; }

private:
    int m_requests = 0;
};

} // namespace

TEST_SUITE("choice by connection")
{
    // Guards against a new connection for each replica that the random factor picks.
    TEST_CASE("requests in a row go to the replica with the connection")
    {
        const paused_clock pause;
        two_replicas w;
        for (int i = 0; i < 10; ++i)
            REQUIRE(w.succeeds("/unsafe/x"));
        CHECK(w.a.connections + w.b.connections == 1);

        SUBCASE("while the request may use it")
        {
            runtime_clock::advance(seconds(10));
            for (int i = 0; i < 10; ++i)
                REQUIRE(w.succeeds("/safe/x"));
            CHECK(w.a.connections + w.b.connections == 1);
            // A non-idempotent request may not use a connection that has been idle for 10 s.
            runtime_clock::advance(seconds(10));
            REQUIRE(w.succeeds("/unsafe/x"));
            CHECK(w.a.connections + w.b.connections == 2);
        }
    }

    // Guards against a full replica that gets each next request first, because the daemon has a
    // connection to it.
    TEST_CASE("a replica that refused a request gets none for a short time")
    {
        const paused_clock pause;
        two_replicas w;
        REQUIRE(w.succeeds("/unsafe/x"));
        scripted_replica &full = w.first();
        full.script = {std::string(refusal)};
        REQUIRE(w.succeeds("/unsafe/x"));
        CHECK(full.arrived.size() == 2);
        for (int i = 0; i < 10; ++i)
            REQUIRE(w.succeeds("/unsafe/x"));
        CHECK(full.arrived.size() == 2);

        SUBCASE("and gets requests again after that")
        {
            runtime_clock::advance(seconds(1));
            for (int i = 0; i < 40; ++i)
                REQUIRE(w.succeeds("/unsafe/x"));
            CHECK(full.arrived.size() > 2);
        }
    }
}

} // namespace azurehill::test
